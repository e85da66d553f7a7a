// Package lease is a service of the log-based instance. It holds and votes on the majority leases of this instance:
// primaries of backends, the zone's delegate, token servers and, as the delegate, the zone's authority. The decisions
// are in internal/decide/lease; this package exchanges heartbeats and publishes the result, which the services that act
// for backends or customers read.
package lease

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// ErrSettings means that the durations contradict each other.
var ErrSettings = errors.New("lease settings contradict each other")

// Settings holds the durations of leases. Heartbeat must be at most a third of TTL, AuthorityTTL and FreshFor, so that
// one lost heartbeat loses no lease.
type Settings struct {
	// TTL is how long a lease is valid after its claims were sent. Default 400ms.
	TTL time.Duration
	// Heartbeat is the interval of heartbeats. Default 100ms.
	Heartbeat time.Duration
	// AuthorityTTL is TTL for the authority of a zone. Default 600ms.
	AuthorityTTL time.Duration
	// FreshFor is how long a view of the log counts as fresh, measured from the start of the read that proved it. Default
	// 300ms.
	FreshFor time.Duration
	// ZoneSilence is the time without a heartbeat of any instance of a zone after which other zones claim its authority.
	// Default 2s: a zone that loses its delegate is unresponsive for less than 1 s.
	ZoneSilence time.Duration
	// TokenShards is the number of token servers of the zone. Default 4.
	TokenShards uint32
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		TTL: 400 * time.Millisecond, Heartbeat: 100 * time.Millisecond, AuthorityTTL: 600 * time.Millisecond,
		FreshFor: 300 * time.Millisecond, ZoneSilence: 2 * time.Second, TokenShards: 4,
	}
}

// Service is the service named lease. All fields but the snapshot belong to the control goroutine once the kernel runs.
type Service struct {
	self     service.Self
	settings Settings
	log      *zap.Logger
	counters counters
	kernel   *kernel.Kernel
	sender   service.HeartbeatSender
	snapshot kernel.Snapshot[service.LeaseView]

	view          *ownership.View
	config        *operator.Config
	configVersion uint64
	proofs        proofs
	peers         map[entity.InstanceID]*peer

	// group holds this instance's vote and claims in its lease group, which key identifies.
	group     *lease.Participant
	key       ownership.GroupKey
	member    bool
	report    rosterReport
	misplaced misplaced

	// zones holds the zone's vote and claims. Invariant: it is nil unless this instance has gained the delegate lease and
	// has not observed its end.
	zones      *lease.Participant
	zoneRoster lease.Roster
	contacts   map[entity.Zone]*contact
	// knownLoss is the offset that a zone must have applied before it gets this zone's vote: a loss of the zone may be
	// recorded before that offset.
	knownLoss map[entity.Zone]entity.Offset

	// votes holds the zones that this instance has voted to be lost, from before the vote is appended until it ends.
	votes map[entity.Zone]bool

	leaving  bool
	stopping *stopping
	changed  bool // a lease was gained or lost in this turn
}

type counters struct {
	sent, answered, failed, skipped metrics.Counter
	gained, lost                    metrics.Counter
}

// Messages that the service sends to itself.
type (
	heartbeatDue      struct{}
	heartbeatAnswered struct {
		call     call
		response service.HeartbeatResponse
		err      error
	}
)

// New returns the service of an instance. Its counters are registered with the prefix "lease.".
func New(self service.Self, settings Settings, log *zap.Logger, registry metrics.Registry) *Service {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("lease."+name, registry) }
	return &Service{
		self: self, settings: settings, log: log, proofs: newProofs(),
		peers: map[entity.InstanceID]*peer{}, contacts: map[entity.Zone]*contact{},
		knownLoss: map[entity.Zone]entity.Offset{}, votes: map[entity.Zone]bool{},
		counters: counters{
			sent: counter("heartbeats.sent"), answered: counter("heartbeats.answered"),
			failed: counter("heartbeats.failed"), skipped: counter("heartbeats.skipped"),
			gained: counter("gained"), lost: counter("lost"),
		},
	}
}

// Name returns service.Lease.
func (s *Service) Name() kernel.Name { return service.Lease }

// Needs returns the peers, which send the heartbeats.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Peers} }

// Provision looks up the sender of heartbeats. The wait of the vote begins here, before anything can be promised.
func (s *Service) Provision(r *kernel.Resolver) error {
	sender, err := kernel.Lookup[service.HeartbeatSender](r, service.Peers)
	if err != nil {
		return err
	}
	s.sender, s.kernel = sender, r.Kernel()
	s.key = ownership.GroupKey{Zone: s.self.Zone}
	s.group = s.newGroup(s.kernel.Now())
	s.publish(s.kernel.Now())
	return nil
}

// Validate checks the durations.
func (s *Service) Validate() error {
	c := s.settings
	shortest := min(c.TTL, c.AuthorityTTL, c.FreshFor)
	if c.Heartbeat <= 0 || shortest < 3*c.Heartbeat || c.ZoneSilence < c.AuthorityTTL {
		return errors.Wrapf(ErrSettings, "%+v", c)
	}
	return nil
}

// Start sends the first heartbeat.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Lease, heartbeatDue{})
}

// Drain releases all leases, so that the other members claim them at once. The dispatch service has drained before.
// Drain returns an error if the context ends before the release.
func (s *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := s.kernel.Deliver(ctx, service.Lease, service.StopLeases{Done: done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "release leases")
	}
}

// Stop does nothing: leases that Drain has not released lapse.
func (s *Service) Stop(context.Context) error { return nil }

// Leases returns the last published leases. Any goroutine may call it.
func (s *Service) Leases() *service.LeaseView { return s.snapshot.Load() }

// Handle handles one message, on the control goroutine.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case heartbeatDue:
		s.heartbeat(t)
		t.After(s.settings.Heartbeat, heartbeatDue{})
	case heartbeatAnswered:
		s.answered(t, m)
	case service.HeartbeatReceived:
		s.received(t, m)
	case service.LogRead:
		s.logRead(m)
	case service.OwnershipChanged:
		s.ownershipChanged(t, m.View)
	case service.ConfigChanged:
		s.configChanged(t, m)
	case service.ZoneVote:
		s.votes[m.Zone] = m.Active
	case service.HandOverLeases:
		s.applyGroup(t, s.group.HandOver(t.Now(), names(m.Names)))
	case service.BeginLeaving:
		s.leaving = true
		s.group.Holder.Leave()
	case service.StopLeases:
		s.stop(t, m.Done)
	}
	s.publish(t.Now())
	if s.changed {
		s.changed = false
		s.announce(t)
	}
}

func (s *Service) newGroup(now time.Duration) *lease.Participant {
	id := lease.Member(s.self.ID)
	timing := lease.Timing{TTL: s.settings.TTL, Heartbeat: s.settings.Heartbeat}
	return lease.NewParticipant(now, id, id, timing, lease.SafeVoter(s.settings.TTL))
}

func (s *Service) newZones(now time.Duration) *lease.Participant {
	timing := lease.Timing{TTL: s.settings.AuthorityTTL, Heartbeat: s.settings.Heartbeat}
	p := lease.NewParticipant(now, lease.Member(s.self.Zone), lease.Member(s.self.ID), timing,
		lease.SafeVoter(s.settings.AuthorityTTL))
	p.SetRoster(s.zoneRoster)
	p.Holder.SetOwnName(lease.Name(service.AuthorityLease(s.self.Zone)))
	return p
}

// logRead applies a read of the control stream as a proof of freshness. The configuration has its own freshness.
func (s *Service) logRead(m service.LogRead) {
	if m.Stream == platformapi.StreamControl {
		s.proofs.read(m)
	}
}
