package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// KeyView is the published ownership of key ranges.
type KeyView struct {
	State   *keyrange.State
	Version Version
	// Granted contains the fences of ranges that are granted although the table does not yet mark them so.
	Granted map[uint64]bool
	// ReadAt is when the table was last confirmed by the store, and Since when this version was first observed.
	ReadAt, Since time.Duration
	Coordinator   bool
	// Changed is closed when a newer view is published.
	Changed chan struct{}
}

// KeySource provides the ownership of keys to traffic goroutines.
type KeySource interface {
	KeyView() *KeyView
	// ReportMisdirected reports that a backend refused a key that it owns by the table of this version.
	ReportMisdirected(version Version)
}

// KeysRequested is sent by members to keys and contains what one instance reports to the coordinator: the keys that callers recently
// requested, and the service times measured at the backends of partitioned services since the last report.
type KeysRequested struct {
	Keys     []uint32
	Measured []BackendMeasurement
	At       time.Duration
}

// BackendMeasurement sums up what one instance has measured at one backend.
type BackendMeasurement struct {
	Backend uint32 // short hash
	Answers int
	// ServiceTime is the sum over the answers of the time for which each kept one slot busy.
	ServiceTime time.Duration
}

// TableChange is the difference between two successive versions of the table.
type TableChange struct {
	From, To Version
	Delta    keyrange.Delta
}

// KeyReport is sent by keys to members, which sends the newest one with each heartbeat.
type KeyReport struct {
	TableVersion  Version
	Coordinator   bool
	CoordinatorID entity.InstanceID
	GrantedFences []uint64
	// StoreReachable is false while this instance cannot reach the store.
	StoreReachable bool
	// Change is sent to all peers with the heartbeat that Urgent requests; nil if there is none.
	Change *TableChange
	// Urgent requests an immediate heartbeat.
	Urgent bool
}

// IdentityChecker asks an address which backend answers there.
type IdentityChecker interface {
	// Identify returns the ID that the status path of an address answers with. It returns an error if no backend has stated its ID.
	Identify(ctx context.Context, address, path string) (entity.BackendID, error)
}

// CommandSender sends grants and releases to a backend, one at a time on one connection.
type CommandSender interface {
	// SendCommand sends one grant or release and returns its result.
	SendCommand(ctx context.Context, backend *catalog.Backend, command keyrange.Command) keyrange.Result
	// RaiseFence makes a backend reject every grant of a service below the fence, including grants that are still in flight.
	RaiseFence(ctx context.Context, backend *catalog.Backend, fence uint64) error
}
