// Package service holds what the named services know of each other: their names, the interfaces by which they are looked up
// in the registry, and the messages that they exchange. Service packages do not import one another.
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

// Names of the services.
const (
	// Platform reaches the platform's log and instance list.
	Platform kernel.Name = "platform"
	// Backends reaches the back ends.
	Backends kernel.Name = "backends"
	// Peers sends calls to other instances.
	Peers kernel.Name = "peers"
	// PeerServer answers calls of other instances.
	PeerServer kernel.Name = "peerserver"
	// Config replays the configuration stream.
	Config kernel.Name = "config"
	// Control replays the control stream and owns the ownership state.
	Control kernel.Name = "control"
	// Lease holds and votes on majority leases.
	Lease kernel.Name = "lease"
	// Admission hands out and spends rate tokens.
	Admission kernel.Name = "admission"
	// Routing publishes the routing snapshot.
	Routing kernel.Name = "routing"
	// Dispatch sends requests to the back ends that this instance is primary of.
	Dispatch kernel.Name = "dispatch"
	// Gateway takes the callers' requests.
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

// Request is one caller's request on its way to the owner of its key. It is free of any wire format.
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
	// IdempotencyChecked is true if the idempotency memory was asked, so that a refusal speaks of all attempts of an at-most-once
	// request and not of this one alone.
	IdempotencyChecked bool
	// Holder names the instance to ask instead if the reason is not-holder.
	Holder entity.InstanceID
}

// Dispatcher runs a request on the owner of its key, queueing it in front of the back end. It refuses a request for a back
// end whose primary is another instance.
type Dispatcher interface {
	Dispatch(ctx context.Context, req *Request) Response
}

// Forwarder sends a request to another instance, which dispatches it.
type Forwarder interface {
	Forward(ctx context.Context, address string, req *Request) Response
}

// Admitter decides whether a customer may send one more request now. A refusal carries the time to wait, in Wait.
type Admitter interface {
	Admit(ctx context.Context, customer entity.CustomerID) AdmitResult
}

// AdmitResult is the result of Admit.
type AdmitResult struct {
	Outcome entity.Outcome // kind answered means admitted
	Wait    time.Duration
}

// LeaseName names a lease: a back end, a zone's delegate, a zone's authority or a token shard.
type LeaseName string

// LeaseView is the immutable published state of the leases of this instance.
type LeaseView struct {
	// Held maps the leases that this instance holds to their validity.
	Held map[LeaseName]HeldLease
	// Holders maps names to the holder that this instance last promised or heard of.
	Holders map[LeaseName]entity.InstanceID
	// Misplaced are the leases that another live instance should hold, and has been fit to hold for some time.
	Misplaced []LeaseName
	// FreshUntil is the time until which this instance's view of the log counts as fresh.
	FreshUntil time.Duration
	// AuthorityUntil is the time until which the zone's authority is valid. The cut-off hold of a service adds to it.
	AuthorityUntil time.Duration
}

// HeldLease is a lease that this instance holds.
type HeldLease struct {
	Term entity.Term
	// Since is when this holding began and Until when it ends, on the kernel's clock. No other instance has held the lease
	// in between.
	Since time.Duration
	Until time.Duration
}

// BackendLease is the name of the lease that makes an instance the primary of a back end.
func BackendLease(id entity.BackendID) LeaseName { return LeaseName("backend/" + id) }

// DelegateLease is the name of the lease that makes an instance its zone's delegate.
func DelegateLease(z entity.Zone) LeaseName { return LeaseName("zone/" + z) }

// AuthorityLease is the name of the lease that a zone holds over itself, with the other zones' delegates as voters.
func AuthorityLease(z entity.Zone) LeaseName { return LeaseName("authority/" + z) }

// TokenLease is the name of the lease that makes an instance the token server of a customer shard in its zone.
func TokenLease(shard uint32) LeaseName {
	return LeaseName("tokens/" + strconv.FormatUint(uint64(shard), 10))
}

// LeaseSource gives traffic goroutines the current leases.
type LeaseSource interface {
	Leases() *LeaseView
}

// MayAct reports whether the primary of a back end may renew its session and send to it at time now: its lease is valid
// and either its view of the log is fresh or its zone's authority was valid within the cut-off hold.
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
