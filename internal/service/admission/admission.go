// Package admission is a service of the log-based instance. It decides whether a customer may send one more request. It
// spends tokens that it leases from the token server of its zone, and it is that server while it holds the lease of the
// shard.
package admission

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// shard is the customer shard. There is only one so far.
const shard uint32 = 0

// Service is the service named admission. The fields below availability belong to the control goroutine.
type Service struct {
	self     service.Self
	settings Settings
	logger   *zap.Logger
	counters counters
	kernel   *kernel.Kernel
	leaser   service.TokenLeaser
	leases   service.LeaseSource

	table        kernel.Snapshot[accounts]
	availability kernel.Snapshot[admission.Availability]

	config *operator.Config
	view   *ownership.View
	limits map[entity.CustomerID]admission.Limits
	zones  zoneLists
	client *admission.Client
	demand map[entity.CustomerID]*demand
	// pendingDemand holds the entries of demand that may need tokens.
	pendingDemand map[entity.CustomerID]*demand
	calls         calls
	server        *admission.Server // nil while another instance is the token server
	heldLease     service.HeldLease // the lease that server was created for
}

// demand is the demand of one customer at this instance.
type demand struct {
	queue queue
	// low is true if tokens are requested although no request waits.
	low bool
	// retryAt is the time before which the server has no token.
	retryAt time.Duration
}

type counters struct{ refused, unavailable, requests, failures, granted metrics.Counter }

// New returns the service. Settings that are zero get their defaults.
func New(self service.Self, settings Settings, logger *zap.Logger, registry metrics.Registry) *Service {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("admission."+name, registry) }
	s := &Service{
		self:     self,
		settings: settings.withDefaults(),
		logger:   logger,
		counters: counters{
			refused:     counter("refused"),
			unavailable: counter("refused.unavailable"),
			requests:    counter("token.requests"),
			failures:    counter("token.requests.failed"),
			granted:     counter("tokens.granted"),
		},
		client:        admission.NewClient(self.ID, shard, 0),
		demand:        map[entity.CustomerID]*demand{},
		pendingDemand: map[entity.CustomerID]*demand{},
	}
	s.availability.Publish(&admission.Availability{})
	return s
}

// Name returns the name in the kernel's registry.
func (s *Service) Name() kernel.Name { return service.Admission }

// Needs returns the peers and the leases.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Peers, service.Lease} }

// Provision looks up the peers and the leases.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.leaser, err = kernel.Lookup[service.TokenLeaser](r, service.Peers); err != nil {
		return err
	}
	s.leases, err = kernel.Lookup[service.LeaseSource](r, service.Lease)
	return err
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start does nothing: the limits arrive as messages.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing: the remaining tokens expire.
func (s *Service) Stop(context.Context) error { return nil }

// lowTokens is posted when the token pool of a customer is nearly empty.
type lowTokens struct{ customer entity.CustomerID }

// Handle handles one message, on the control goroutine.
func (s *Service) Handle(turn *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case *waiter:
		if d, ok := s.demand[m.customer]; ok {
			d.queue.waiters = append(d.queue.waiters, m)
			s.pendingDemand[m.customer] = d
		}
	case lowTokens:
		if d, ok := s.demand[m.customer]; ok {
			d.low = true
			s.pendingDemand[m.customer] = d
		}
	case service.ConfigChanged:
		s.config = m.Config
		s.changeLimits(turn)
	case service.OwnershipChanged:
		s.view = m.View
		s.changeLimits(turn)
	case service.LeaseChanged:
		s.updateRole(turn.Now())
	case service.TokensQuery:
		service.SendReply(m.Reply, s.answer(turn.Now(), m.Request))
	case callDone:
		s.finishCall(turn, m)
	case wake:
		s.calls.wakeAt = 0
	case zonesExpired:
		s.changeLimits(turn)
	}
	s.call(turn)
}

// changeLimits computes the limits of this zone from the configuration and the shares of the zones.
func (s *Service) changeLimits(turn *kernel.Turn) {
	if s.config == nil || s.view == nil {
		return
	}
	s.updateZones(turn)
	previous := s.limits
	s.limits = make(map[entity.CustomerID]admission.Limits, len(s.config.Customers))
	table := make(accounts, len(s.config.Customers))
	for _, c := range s.config.Customers {
		id := entity.CustomerID(c.Name)
		l := s.share(id, admission.Limits{Rate: c.Rate, Burst: c.Burst})
		s.limits[id] = l
		if old := previous[id]; l.Rate < old.Rate || l.Burst < old.Burst {
			s.client.Withdraw(id)
		}
		table[id] = s.account(id, l)
	}
	for id := range previous {
		if _, ok := s.limits[id]; !ok {
			s.client.Forget(id)
			delete(s.demand, id)
			delete(s.pendingDemand, id)
		}
	}
	s.table.Publish(&table)
	if s.server != nil {
		s.server.SetLimits(turn.Now(), s.limits)
	}
}

// account returns the account of a customer for traffic goroutines. It carries over the token pool and the count of
// waiting requests.
func (s *Service) account(id entity.CustomerID, l admission.Limits) *account {
	if _, ok := s.demand[id]; !ok {
		s.demand[id] = &demand{}
	}
	if table := s.table.Load(); table != nil {
		if previous, ok := (*table)[id]; ok {
			return &account{pool: previous.pool, limits: l, low: previous.low, queued: previous.queued}
		}
	}
	return newAccount(s.client.Pool(id), id, l)
}

// updateRole takes over or gives up the role of the token server. The lease is read each time, because it may have been
// lost and gained again, or may have lapsed while this process was paused.
func (s *Service) updateRole(now time.Duration) {
	var held service.HeldLease
	if view := s.leases.Leases(); view != nil {
		held = view.Held[service.TokenLease(shard)]
	}
	switch {
	case now >= held.Until:
		if s.server != nil {
			telemetry.EventTokenServerLost.Log(s.logger)
		}
		s.server = nil
	case s.server == nil || held.Term != s.heldLease.Term || held.Since != s.heldLease.Since:
		s.server = admission.NewServer(now)
		s.server.SetLimits(now, s.limits)
		telemetry.EventTokenServerGained.Log(s.logger, zap.Uint64("term", uint64(held.Term)))
	}
	s.heldLease = held
}

// answer answers a request to the token server, of this or another instance.
func (s *Service) answer(now time.Duration, r service.TokenRequest) service.TokenResponse {
	s.updateRole(now)
	if s.server == nil || r.Shard != shard {
		return service.TokenResponse{Redirect: s.holder()}
	}
	response := s.server.Lease(now, r)
	for _, g := range response.Grants {
		s.counters.granted.Inc(int64(g.Tokens))
	}
	return response
}

// holder returns the instance that is the token server, empty if it is not known.
func (s *Service) holder() entity.InstanceID {
	if view := s.leases.Leases(); view != nil {
		return view.Holders[service.TokenLease(shard)]
	}
	return ""
}

var _ service.Admitter = (*Service)(nil)
