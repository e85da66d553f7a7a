// Package service defines what the services share: their names in the kernel's registry, the interfaces under which they look
// each other up, and the control messages that they exchange. Service packages import this package and never one another.
// Services of the log-based instance are declared here, those of the store-based instance in store_instance.go.
package service

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// Names of the services of a log-based instance.
const (
	// Platform is the client of the platform's log and instance list.
	Platform kernel.Name = "platform"
	// Backends is the client of the backends.
	Backends kernel.Name = "backends"
	// Peers sends calls to peers.
	Peers kernel.Name = "peers"
	// PeerServer answers calls from peers.
	PeerServer kernel.Name = "peerserver"
	// Config replays the configuration stream.
	Config kernel.Name = "config"
	// Control replays the control stream and owns the ownership state.
	Control kernel.Name = "control"
	// Lease holds and votes on majority leases.
	Lease kernel.Name = "lease"
	// Admission grants and spends rate tokens.
	Admission kernel.Name = "admission"
	// Routing publishes the routing snapshot.
	Routing kernel.Name = "routing"
	// Dispatch sends requests to the backends that this instance is primary of.
	Dispatch kernel.Name = "dispatch"
	// Gateway accepts the callers' requests.
	Gateway kernel.Name = "gateway"
	// Admin answers status, health, readiness and metrics requests.
	Admin kernel.Name = "admin"
)

// Self identifies this process.
type Self struct {
	ID      entity.InstanceID
	Zone    entity.Zone
	Address string // peer address, host:port
}

// Request is a caller's request that is being routed to the owner of its key. It is independent of any wire format.
type Request struct {
	ID             string
	Service        entity.ServiceName
	Customer       entity.CustomerID
	Key            string
	Partition      entity.Partition
	Epoch          entity.Epoch
	Backend        entity.BackendID
	Method         string
	Path           string
	RawQuery       string
	Header         http.Header
	Body           io.Reader
	Length         int64         // bytes; -1 if unknown
	Deadline       time.Duration // on the kernel's clock
	Idempotent     bool
	IdempotencyKey string
	Age            time.Duration // since the caller first sent it; negative if not stated
}

// Response is the result of a request. Status, Header, Length and Body are set only if the outcome is answered. The
// receiver must close Body; Body ends with io.EOF only if the answer is complete.
type Response struct {
	Outcome entity.Outcome
	Status  int
	Header  http.Header
	Length  int64 // bytes; -1 if unknown
	Body    io.ReadCloser
	// IdempotencyChecked is true if the idempotency memory was consulted. A refusal then applies to all attempts of an
	// at-most-once request and not only to this one.
	IdempotencyChecked bool
	// Holder is the instance to ask instead if the reason is not-holder.
	Holder entity.InstanceID
}

// Dispatcher queues a request for the backend that owns its key and runs it there. It refuses a request for a backend whose
// primary is another instance.
type Dispatcher interface {
	Dispatch(ctx context.Context, req *Request) Response
}

// Forwarder sends a request to a peer, which dispatches it.
type Forwarder interface {
	Forward(ctx context.Context, address string, req *Request) Response
}

// Admitter decides whether a customer may send one more request now. If it refuses, Wait is the time to wait before a retry.
type Admitter interface {
	Admit(ctx context.Context, customer entity.CustomerID) AdmitResult
}

// AdmitResult is the result of Admit.
type AdmitResult struct {
	Outcome entity.Outcome // kind answered means admitted
	Wait    time.Duration
}

// LeaseName names a lease for a backend, a zone's delegate, a zone's authority or a token shard.
type LeaseName string

// LeaseView is the immutable published state of the leases of this instance.
type LeaseView struct {
	// Held maps the leases that this instance holds to their term and validity.
	Held map[LeaseName]HeldLease
	// Holders maps names to the holder that this instance last promised the lease to or learned from a peer.
	Holders map[LeaseName]entity.InstanceID
	// Misplaced lists held leases that another live instance should hold and has been able to hold for some time.
	Misplaced []LeaseName
	// FreshUntil is the time until which this instance's view of the log counts as fresh.
	FreshUntil time.Duration
	// AuthorityUntil is the time until which the zone's authority is valid. The cut-off hold of a service adds to it.
	AuthorityUntil time.Duration
}

// HeldLease is a lease that this instance holds.
type HeldLease struct {
	Term entity.Term
	// Since is when this instance acquired the lease and Until when it lapses, on the kernel's clock. No other instance has
	// held the lease in between.
	Since time.Duration
	Until time.Duration
}

// BackendLease returns the name of the lease that makes an instance the primary of a backend.
func BackendLease(id entity.BackendID) LeaseName { return LeaseName("backend/" + id) }

// DelegateLease returns the name of the lease that makes an instance its zone's delegate.
func DelegateLease(z entity.Zone) LeaseName { return LeaseName("zone/" + z) }

// AuthorityLease returns the name of the lease by which a zone has authority over itself. The other zones' delegates vote on it.
func AuthorityLease(z entity.Zone) LeaseName { return LeaseName("authority/" + z) }

// TokenLease returns the name of the lease that makes an instance the token server of a customer shard in its zone.
func TokenLease(shard uint32) LeaseName {
	return LeaseName("tokens/" + strconv.FormatUint(uint64(shard), 10))
}

// LeaseSource provides the current leases to traffic goroutines.
type LeaseSource interface {
	Leases() *LeaseView
}

// MayAct returns the term of the backend's lease, and whether its primary may renew the session and send requests at time now.
// It may if the lease is valid and either its view of the log is fresh or its zone's authority was valid within cutoffHold.
func (v *LeaseView) MayAct(id entity.BackendID, now, cutoffHold time.Duration) (entity.Term, bool) {
	if v == nil {
		return 0, false
	}
	held, ok := v.Held[BackendLease(id)]
	if !ok || now >= held.Until {
		return 0, false
	}
	if now < v.FreshUntil || now < v.AuthorityUntil+cutoffHold {
		return held.Term, true
	}
	return 0, false
}
