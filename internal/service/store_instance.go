package service

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/decide/shutdown"
	"github.com/pollenpier/pollenpier/internal/decide/storesync"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// Names of the services of a store-based instance, which connects to backends directly and keeps the ownership of key ranges
// in the platform's store.
const (
	// Store reads and writes documents in the platform's store.
	Store kernel.Name = "store"
	// Feed polls the operators' configuration and the backend records and sends them to the directory.
	Feed kernel.Name = "feed"
	// Directory owns the view of configuration, backends and zones.
	Directory kernel.Name = "directory"
	// Members exchanges heartbeats with peers.
	Members kernel.Name = "members"
	// Keys assigns key ranges to backends.
	Keys kernel.Name = "keys"
	// Loads tracks the load that this instance and its peers put on backends, and customers' rates.
	Loads kernel.Name = "loads"
	// Router validates and admits a call, chooses a backend, sends the call and records the result.
	Router kernel.Name = "router"
	// Endpoints sends requests and commands to backends.
	Endpoints kernel.Name = "endpoints"
	// Frontend accepts the callers' requests and encodes the replies.
	Frontend kernel.Name = "entry"
)

// Version numbers the successive contents of a document. Zero means that there is none yet.
type Version uint64

// Errors of calls to the store.
var (
	// ErrConflict means that the document has another version; nothing was written.
	ErrConflict = errors.New("document has another version")
	// ErrStoreRefused means that the store rejected the call without any effect.
	ErrStoreRefused = errors.New("store refused the call")
	// ErrStoreUnknown means that no usable answer was received. A write may still take effect seconds later if its condition
	// still holds then.
	ErrStoreUnknown = errors.New("no answer from the store")
)

// Document is a named value in the store.
type Document struct {
	Value   []byte
	Version Version
}

// DocumentStore accesses data in the platform's store that must outlive the instances.
type DocumentStore interface {
	// Load returns the document if its version is newer than known. Otherwise Value is nil and Version is known.
	Load(ctx context.Context, name string, known Version) (Document, error)
	// Replace writes the document if its version is still known, and returns the new version.
	Replace(ctx context.Context, name string, value []byte, known Version) (Version, error)
	// Register writes a value under a key of a collection and overwrites any earlier value.
	Register(ctx context.Context, collection, key string, value []byte) error
	// ListRegistered returns the newest values of a collection by key.
	ListRegistered(ctx context.Context, collection string) (map[string][]byte, error)
}

// DirectoryView is the immutable view of configuration, backends and zones on which traffic goroutines base their decisions.
type DirectoryView struct {
	// Config is nil until the first configuration has been read.
	Config *catalog.Config
	// Services lists the backends of each service, including leaving ones, sorted by id.
	Services map[entity.ServiceName][]*catalog.Backend
	Backends map[entity.BackendID]*catalog.Backend
	// Evacuated zones get no requests.
	Evacuated map[entity.Zone]bool
	// EvacuatedSince is when this instance learned of the evacuation of each zone, on the kernel's clock.
	EvacuatedSince map[entity.Zone]time.Duration
	// ReadAt is when the newest read of backends that is part of this view was sent to the store, on the kernel's clock.
	ReadAt time.Duration
	// Generation grows with each publication.
	Generation uint64
}

// DirectorySource provides the current view to traffic goroutines.
type DirectorySource interface {
	Directory() *DirectoryView
	// Ready returns a channel that is closed when the first configuration is effective and the backends have been read.
	Ready() <-chan struct{}
}

// StoreSync lets the zone reader poll the store for its zone, so that the other instances of the zone read only after a change.
// Its methods are safe for concurrent use and never block.
type StoreSync interface {
	// LocalUpdate returns how far this instance has read the store, which members sends with heartbeats.
	LocalUpdate() storesync.Update
	// ReceiveUpdate applies a store update from the zone reader.
	ReceiveUpdate(update storesync.Update, now time.Duration)
}

// ConfigRead is sent by the feed to the directory for each configuration read from the store.
type ConfigRead struct{ Config *catalog.Config }

// BackendsRead is sent by the feed to the directory and contains the backend records that changed, in the order of the store.
type BackendsRead struct {
	Entries []BackendEntry
	// Complete is true if Entries are all records in the store, so that backends missing from it have been removed.
	Complete bool
	// At is when the read was sent, on the kernel's clock.
	At time.Duration
	// PreviousReadAt is when the previous successful read was sent. New records in Entries were written after that. It is zero
	// if there was no such read.
	PreviousReadAt time.Duration
}

// BackendEntry is a backend record or, if Backend is nil, its removal.
type BackendEntry struct {
	ID      entity.BackendID
	Backend *catalog.Backend
	// RemainingWarmup is how much longer the backend is cold.
	RemainingWarmup time.Duration
}

// ZonesRead is sent by the feed to the directory and contains the zones that are currently evacuated.
type ZonesRead struct{ Evacuated map[entity.Zone]bool }

// BackendsLeaving is sent by members to the directory and contains the backend processes that have stated in an answer to this
// instance or to a peer that they are leaving.
type BackendsLeaving struct {
	Processes []uint64 // see keyrange.Holder.Hash
	// At is a time, on the kernel's clock, before this instance learned of it. Their drain time counts from then.
	At time.Duration
}

// StoreOutage is sent by the feed to the directory when reads of the store fail and when they succeed again.
type StoreOutage struct {
	Unavailable bool
	At          time.Duration
}

// DirectoryChanged is sent by the directory to keys and loads after it has published a view.
type DirectoryChanged struct{ View *DirectoryView }

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

// MembersView is the published state of the peers.
type MembersView struct {
	// ReachableShare is the fraction of all instances that are reachable from this one, itself included, between 0 and 1.
	ReachableShare float64
	// ReachableCount is the number of reachable instances, including itself and newly listed instances, which may serve already.
	ReachableCount int
	// Staleness is the maximum age of the numbers that peers report.
	Staleness time.Duration
}

// MembersSource provides the state of the peers to traffic goroutines.
type MembersSource interface {
	MembersView() *MembersView
}

// KeysRequested is sent by members to keys and contains the keys that callers recently requested from one instance.
type KeysRequested struct {
	Keys []uint32
	At   time.Duration
}

// PeerHeartbeat is sent by members to keys for each heartbeat received from a peer.
type PeerHeartbeat struct {
	Instance       entity.InstanceID
	Zone           entity.Zone
	TableVersion   Version
	Coordinator    bool
	StoreReachable bool
	Leaving        bool
	GrantedFences  []uint64
	Refusing       []uint32
	// Cores is the processing capacity of the instance in CPU cores.
	Cores float64
	At    time.Duration
	// Change is the difference that the coordinator publishes after it has written the table; nil if there is none.
	Change *TableChange
}

// TableChange is the difference between two successive versions of the table.
type TableChange struct {
	From, To Version
	Delta    keyrange.Delta
}

// Parts of a heartbeat that other services contribute. Members collects them when it sends.
type (
	// TrafficReport summarizes the recent traffic of this instance.
	TrafficReport struct {
		InFlight map[uint32]uint32 // requests in flight by short hash of the backend
		ColdSent map[uint32]uint32 // requests sent to cold backends in the last second
		Admitted map[uint32]uint64 // requests admitted since the start, by short hash of the customer
		Refused  map[uint32]uint64 // requests refused for the rate since the start, for the same customers
		Keys     []uint32          // keys requested since the last report
		Crashing []uint64          // fingerprints of requests that crashed backends
		Leaving  []uint64          // hashes of backend processes that have just stated that they are leaving, see keyrange.Holder
		Refusing []uint32          // backends that refuse connections
	}
	// PeerTraffic is the traffic report of a peer.
	PeerTraffic struct {
		Instance entity.InstanceID
		TrafficReport
	}
)

// BackendTimeSource provides the service times that this instance has measured at backends.
type BackendTimeSource interface {
	// ServiceTimes returns the service time of one request at each backend, or zero if there are too few measurements.
	ServiceTimes(ids []entity.BackendID) []time.Duration
}

// LeavingRecorder records that a backend process has stated in an answer that it is leaving. Members reports it to the directory of
// each instance.
type LeavingRecorder interface {
	RecordLeaving(process keyrange.Holder, now time.Duration)
}

// TrafficExchange is the interface through which members exchanges traffic reports with peers. Its methods are safe for
// concurrent use and never block.
type TrafficExchange interface {
	// Report returns the traffic report of this instance. It omits customers without requests, and backends without answers, in
	// the window before now, unless full is set. Full must be set for peers that have not received the earlier numbers.
	Report(now, window time.Duration, full bool) TrafficReport
	// ApplyPeerReport applies the traffic report of a peer.
	ApplyPeerReport(peer PeerTraffic, now time.Duration)
	// ForgetPeer discards the reports of a peer.
	ForgetPeer(instance entity.InstanceID)
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

// Call is a caller's request, independent of any wire format.
type Call struct {
	ID     string
	Method string
	Host   string
	Path   string
	Target string // path and query as sent by the caller
	// Credential is the customer's API key; empty if the request has none.
	Credential string
	// Key is the routed key; HasKey is false if the request has none.
	Key    uint32
	HasKey bool
	Header http.Header // without hop-by-hop headers and headers of the router's own protocol
	Body   []byte
	// Received is when the request was read, and Deadline when the caller stops waiting, both on the kernel's clock.
	Received, Deadline time.Duration
	// Stop is the schedule of the instance's planned stop at the time at which the request was read.
	Stop shutdown.Schedule
}

// Reply is the result of a call.
type Reply struct {
	Outcome entity.Outcome
	Status  int // of the backend, if answered
	Header  http.Header
	Body    []byte
	// RetryAfter is the time after which a retry may succeed if the call was not run; zero if unknown.
	RetryAfter time.Duration
}

// CallRouter routes calls to backends.
type CallRouter interface {
	// Route sends a call to a backend and returns the result.
	Route(ctx context.Context, call *Call) Reply
	// Ready reports whether calls can be served.
	Ready() bool
}

// Delivery is one attempt to send a call to a backend.
type Delivery struct {
	Backend   *catalog.Backend
	Call      *Call
	Customer  entity.CustomerID
	Remaining time.Duration
}

// Attempt is a request that is counted as in flight at a backend.
type Attempt struct {
	Backend     entity.BackendID
	Incarnation int64 // of the backend process
	Position    int   // requests at the backend when it was sent, itself included
	Sent        time.Duration
	// Service, Route and Work are those of the request.
	Service entity.ServiceName
	Route   string
	Work    balance.Work
}

// Choice is the backend chosen for a request, or the reason why there is none.
type Choice struct {
	Backend *catalog.Backend // nil if there is none
	Reason  entity.Reason
	// ExpectedLatency is the time until the answer is expected. RetryAfter is the time until a slot is likely to be free if
	// there is none now.
	ExpectedLatency, RetryAfter time.Duration
}

// LoadTracker tracks the load of backends and customers as measured by this instance and reported by its peers. It admits
// requests and chooses backends on that basis. Its methods are safe for concurrent use and never wait for control state.
type LoadTracker interface {
	// Admit takes a token from the customer's rate. If there is none, the second result is the time until the next token.
	Admit(customer *catalog.Customer, members *MembersView, now time.Duration) (bool, time.Duration)
	// RefundToken refunds the token of a request that no backend has run.
	RefundToken(customer *catalog.Customer)
	// Choose chooses one of the candidates and counts the request there.
	Choose(q LoadQuery) (Choice, Attempt)
	// FinishAttempt records the result of an attempt.
	FinishAttempt(a Attempt, r *DeliveryResult, now time.Duration)
	// TakeRetryToken takes a token from the retry budget of a service and returns false if there is none.
	TakeRetryToken(service entity.ServiceName) bool
	// CountRequest counts a request for a service, which adds to the service's retry budget, and the key that it requests.
	CountRequest(service entity.ServiceName, instances int, key uint32, hasKey bool)
	// Quarantined reports whether a request is quarantined because backends crashed while they ran it.
	Quarantined(fingerprint uint64, now time.Duration) bool
	// ConnectionLost records that the connection of a request to a backend was lost.
	ConnectionLost(fingerprint uint64, b *catalog.Backend, now time.Duration)
	// BackendTerminated records that a backend has terminated. It returns the blamed request, if there is one.
	BackendTerminated(id entity.BackendID, now time.Duration) (uint64, bool)
	// ReconcileBackends records the termination of each backend that is missing from backends or runs there as another process.
	// It returns the blamed requests.
	ReconcileBackends(backends map[entity.BackendID]*catalog.Backend, now time.Duration) []uint64
	// RequestAnswered records that a request was answered.
	RequestAnswered(fingerprint uint64, now time.Duration)
	// NextTarget returns the index of the next target of a route by weighted round robin.
	NextTarget(route *catalog.Route) int
}

// LoadQuery contains the criteria by which LoadTracker chooses a backend.
type LoadQuery struct {
	Service    *catalog.Service
	Route      string
	Candidates []*catalog.Backend
	// Excluded contains backends that were already tried.
	Excluded  map[entity.BackendID]bool
	Zone      entity.Zone
	Instances int
	Goal      balance.LatencyGoal
	Now       time.Duration
}

// BackendLoad is the load that a backend reports with an answer.
type BackendLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the current to the usual service time; 1 if the backend does not report it.
	Slowdown float64
}

// DeliveryResult is the result of a delivery.
type DeliveryResult struct {
	// Outcome is answered, not run or unknown.
	Outcome entity.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Load    *BackendLoad
	// Misdirected means that the backend has no valid grant for the key, or that another backend answered.
	Misdirected bool
	// Leaving means that the backend stated in the answer that it is leaving.
	Leaving bool
	// HoldOff is how long the backend asks to be sent no requests; zero if it does not.
	HoldOff time.Duration
}

// Deliverer sends calls to backends.
type Deliverer interface {
	Deliver(ctx context.Context, d Delivery) DeliveryResult
}

// CommandSender sends grants and releases to a backend, one at a time on one connection.
type CommandSender interface {
	// SendCommand sends one grant or release and returns its result.
	SendCommand(ctx context.Context, backend *catalog.Backend, command keyrange.Command) keyrange.Result
	// RaiseFence makes a backend reject every grant of a service below the fence, including grants that are still in flight.
	RaiseFence(ctx context.Context, backend *catalog.Backend, fence uint64) error
}

// InstanceConfig is what the platform configures for this process: its identity, its zone, and the time limits that apply.
type InstanceConfig struct {
	ID   entity.InstanceID
	Zone entity.Zone
	// PeerAddress is where peers send heartbeats, host:port.
	PeerAddress string
	// Cores is the processing capacity of the instance in CPU cores. Instances with more cores are preferred as coordinator.
	Cores float64
	// Heartbeat is the interval at which backends renew their records.
	Heartbeat time.Duration
	// MaxGrantTTL is the maximum grant TTL.
	MaxGrantTTL time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of requests over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ShutdownGrace is the time between the request to stop and the forced termination.
	ShutdownGrace time.Duration
	// ConfigApply is the time within which a configuration must be effective.
	ConfigApply time.Duration
	// DrainTime is how long a leaving backend may still get new requests.
	DrainTime time.Duration
}
