package service

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// MembersView is the published state of the peers.
type MembersView struct {
	// ReachableShare is the fraction of all instances that are reachable from this one, itself included, between 0 and 1.
	ReachableShare float64
	// ReachableCount is the number of reachable instances, including itself and newly listed instances, which may serve already.
	ReachableCount int
	// Instances are all instances that may be sending requests, reachable or not, including this one and those that are leaving.
	Instances []entity.InstanceID
	// KnownCount is the number of these instances. It is larger than the length of Instances until their list has been read.
	KnownCount int
	// Staleness is the maximum age of the numbers that peers report.
	Staleness time.Duration
}

// MembersSource provides the state of the peers to traffic goroutines.
type MembersSource interface {
	MembersView() *MembersView
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

// Parts of a heartbeat that other services contribute. Members collects them when it sends.
type (
	// TrafficReport summarizes the recent traffic of this instance.
	TrafficReport struct {
		InFlight map[uint32]uint32    // requests in flight by short hash of the backend
		ColdSent map[uint32]uint32    // requests sent to cold backends in the last second
		Admitted map[uint32]uint64    // requests admitted since the start, by short hash of the customer
		Refused  map[uint32]uint64    // requests refused for the rate since the start, for the same customers
		Keys     []uint32             // keys requested since the last report
		Measured []BackendMeasurement // service times measured since the last report
		Crashing []uint64             // fingerprints of requests that crashed backends
		Leaving  []uint64             // hashes of backend processes that have just stated that they are leaving, see keyrange.Holder
		Refusing []uint32             // backends that refuse connections
	}
	// PeerTraffic is the traffic report of a peer.
	PeerTraffic struct {
		Instance entity.InstanceID
		TrafficReport
	}
)

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
