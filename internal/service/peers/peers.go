// Package peers is the service of a log-based instance that sends calls to its peers. Other services look it up under the
// interfaces that are listed below.
package peers

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/network"
	"github.com/pollenpier/pollenpier/internal/peer"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Peers is the service named peers. Its methods may be called from any goroutine.
type Peers struct{ *peer.Client }

// Interfaces that other services look up under the name peers.
var (
	_ service.Forwarder         = (*Peers)(nil)
	_ service.HeartbeatSender   = (*Peers)(nil)
	_ service.StateSource       = (*Peers)(nil)
	_ service.ConfigStateSource = (*Peers)(nil)
	_ service.RecordSource      = (*Peers)(nil)
	_ service.OutcomeCopier     = (*Peers)(nil)
	_ service.TokenLeaser       = (*Peers)(nil)
	_ service.RampStateSender   = (*Peers)(nil)
)

// New returns the service. A nil dial stands for the operating system's network.
func New(clock kernel.Clock, dial network.DialFunc) *Peers {
	return &Peers{Client: peer.NewClient(clock, dial)}
}

// Name implements kernel.Service.
func (p *Peers) Name() kernel.Name { return service.Peers }

// Needs implements kernel.Service.
func (p *Peers) Needs() []kernel.Name { return nil }

// Provision implements kernel.Service.
func (p *Peers) Provision(*kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (p *Peers) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (p *Peers) Stop(context.Context) error { return p.Close() }
