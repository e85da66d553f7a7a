package main

import (
	"fmt"
	"time"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/internal/standin/platform"
)

// standinCommand groups the stand-ins.
type standinCommand struct {
	Platform standinPlatform `command:"platform" description:"Append-only log with offsets and a lagging instance list"`
	Backend  standinBackend  `command:"backend" description:"Back end that accepts fenced grants, drains, starts cold and sheds"`
}

// standinPlatform runs the platform's stand-in.
type standinPlatform struct {
	Listen     string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:7000" description:"Listen address"`
	KeepCount  int           `long:"keep-count" value-name:"N" description:"Records kept per stream, 0 for all"`
	KeepAge    time.Duration `long:"keep-age" value-name:"DURATION" description:"How long records are kept, 0 for ever"`
	ListLag    time.Duration `long:"list-lag" value-name:"DURATION" description:"How far the instance list lags"`
	ListExpiry time.Duration `long:"list-expiry" value-name:"DURATION" default:"5s" description:"When an entry without refresh disappears"`
}

// Execute implements flags.Commander.
func (c *standinPlatform) Execute([]string) error {
	server, err := platform.Start(c.Listen, platform.Options{
		KeepCount: c.KeepCount, KeepAge: c.KeepAge, ListLag: c.ListLag, ListExpiry: c.ListExpiry,
	})
	if err != nil {
		return err
	}
	return runStandin("platform", server)
}

// standinBackend runs a back end's stand-in.
type standinBackend struct {
	Listen       string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:7100" description:"Listen address"`
	Slots        int           `long:"slots" value-name:"N" default:"2" description:"Requests that run at once"`
	Queue        int           `long:"queue" value-name:"N" default:"4" description:"Requests that wait for a slot; more are shed"`
	ChecksTokens bool          `long:"checks-tokens" description:"Refuse requests with an outdated fencing token"`
	Work         time.Duration `long:"work" value-name:"DURATION" default:"2ms" description:"Time of a request when warm"`
	ColdWork     time.Duration `long:"cold-work" value-name:"DURATION" default:"20ms" description:"Time of a request when cold"`
	WarmAfter    int           `long:"warm-after" value-name:"N" default:"20" description:"Answered requests until warm"`
	ColdLimit    int           `long:"cold-limit" value-name:"N" default:"2" description:"Requests at once that a cold back end bears"`
	ReportLag    time.Duration `long:"report-lag" value-name:"DURATION" description:"How far the health and load reports lag"`
}

// Execute implements flags.Commander.
func (c *standinBackend) Execute([]string) error {
	server, err := backend.Start(c.Listen, backend.Options{
		Slots: c.Slots, Queue: c.Queue, ChecksTokens: c.ChecksTokens, Work: c.Work, ColdWork: c.ColdWork,
		WarmAfter: c.WarmAfter, ColdLimit: c.ColdLimit, ReportLag: c.ReportLag,
	})
	if err != nil {
		return err
	}
	return runStandin("backend", server)
}

// runStandin prints the address and serves until a signal.
func runStandin(kind string, server interface {
	Address() string
	Close() error
},
) error {
	ctx, stop := signalContext()
	defer stop()
	fmt.Printf("%s stand-in listening on %s\n", kind, server.Address())
	<-ctx.Done()
	return server.Close()
}
