package app

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/network"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/admin"
	"github.com/pollenpier/pollenpier/internal/service/admission"
	"github.com/pollenpier/pollenpier/internal/service/backends"
	"github.com/pollenpier/pollenpier/internal/service/config"
	"github.com/pollenpier/pollenpier/internal/service/control"
	"github.com/pollenpier/pollenpier/internal/service/dispatch"
	"github.com/pollenpier/pollenpier/internal/service/gateway"
	"github.com/pollenpier/pollenpier/internal/service/lease"
	"github.com/pollenpier/pollenpier/internal/service/peers"
	"github.com/pollenpier/pollenpier/internal/service/peerserver"
	platformservice "github.com/pollenpier/pollenpier/internal/service/platform"
	"github.com/pollenpier/pollenpier/internal/service/routing"
	"github.com/pollenpier/pollenpier/internal/service/session"
	"github.com/pollenpier/pollenpier/internal/settings"
)

// stopDelay is the time from reporting not ready to closing the callers' listener in a planned stop. Balancers check
// readiness about every second.
const stopDelay = 2 * time.Second

// services provides all services of a log-based instance to the kernel.
var services = fx.Provide(
	fx.Annotate(newPlatform, asService...),
	fx.Annotate(newBackends, asService...),
	fx.Annotate(peers.New, asService...),
	fx.Annotate(newPeerServer, asService...),
	fx.Annotate(newConfig, asService...),
	fx.Annotate(newControl, asService...),
	fx.Annotate(newLease, asService...),
	fx.Annotate(newSession, asService...),
	fx.Annotate(newAdmission, asService...),
	fx.Annotate(newRouting, asService...),
	fx.Annotate(newDispatch, asService...),
	newGateway,
	fx.Annotate(func(g *gateway.Gateway) kernel.Service { return g }, fx.ResultTags(`group:"services"`)),
	newAdmin,
	fx.Annotate(func(a *admin.Admin) kernel.Service { return a }, fx.ResultTags(`group:"services"`)),
)

// asService adds the result of a constructor to the group of services.
var asService = []fx.Annotation{fx.As(new(kernel.Service)), fx.ResultTags(`group:"services"`)}

func newPlatform(
	self service.Self, s *settings.Settings, dial network.DialFunc, log *zap.Logger, r metrics.Registry,
) *platformservice.Service {
	return platformservice.New(self, platformservice.Settings{
		ClientSettings: platformapi.ClientSettings{
			Addresses:     s.Platform.Addresses,
			AppendTimeout: s.Platform.AppendTimeout,
			ReadTimeout:   s.Platform.ReadTimeout,
			DialTimeout:   s.Platform.DialTimeout,
			Dial:          dial,
		},
		RegisterInstance: s.RegisterInstance,
	}, log, r)
}

func newBackends(dial network.DialFunc, log *zap.Logger, r metrics.Registry) *backends.Service {
	return backends.New(backends.Settings{ClientSettings: backend.ClientSettings{Dial: dial}}, log, r)
}

func newPeerServer(s *settings.Settings, socket net.Listener, log *zap.Logger, clock kernel.Clock) *peerserver.PeerServer {
	return peerserver.New(peerserver.Settings{Listen: s.Listen.Peer}, socket, log, clock)
}

func newConfig(self service.Self, s *settings.Settings, log *zap.Logger, r metrics.Registry) *config.Service {
	return config.New(self, config.Settings{Peers: s.Peers}, log, r)
}

func newControl(self service.Self, s *settings.Settings, log *zap.Logger, r metrics.Registry) *control.Service {
	return control.New(self, control.Settings{Peers: s.Peers}, log, r)
}

func newLease(self service.Self, log *zap.Logger, r metrics.Registry) *lease.Service {
	return lease.New(self, lease.DefaultSettings(), log, r)
}

func newSession(self service.Self, log *zap.Logger, r metrics.Registry) *session.Service {
	return session.New(self, session.DefaultSettings(), log, r)
}

func newAdmission(self service.Self, log *zap.Logger, r metrics.Registry) *admission.Service {
	return admission.New(self, admission.Settings{}, log, r)
}

func newRouting(r metrics.Registry) *routing.Service { return routing.New(r) }

func newDispatch(self service.Self, log *zap.Logger, r metrics.Registry) *dispatch.Service {
	return dispatch.New(self, dispatch.DefaultSettings(), log, r)
}

func newGateway(self service.Self, s *settings.Settings, log *zap.Logger, r metrics.Registry) *gateway.Gateway {
	return gateway.New(self, gateway.Settings{
		Listen:         s.Listen.Callers,
		ListenInternal: s.Listen.Internal,
		KeyStaleness:   s.KeyStaleness,
		StopDelay:      stopDelay,
		DrainTimeout:   s.DrainTimeout,
	}, log, r)
}

func newAdmin(self service.Self, s *settings.Settings, log *zap.Logger, r metrics.Registry) *admin.Admin {
	return admin.New(self, admin.Settings{Listen: s.Listen.Admin}, log, r)
}
