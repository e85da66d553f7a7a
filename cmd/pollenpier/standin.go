package main

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/internal/standin/platform"
)

// standinCommand contains the commands for the simulated platform and the simulated backend.
type standinCommand struct {
	Platform standinPlatform `command:"platform" description:"Append-only log with offsets and a lagging instance list"`
	Backend  standinBackend  `command:"backend" description:"Backend that accepts fenced grants, drains, starts cold and sheds load"`
}

// standinPlatform runs a simulated platform.
type standinPlatform struct {
	Listen     string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:7000" description:"Listen address"`
	KeepCount  int           `long:"keep-count" value-name:"N" description:"Number of records kept per stream; 0 for no limit"`
	KeepAge    time.Duration `long:"keep-age" value-name:"DURATION" description:"How long records are kept; 0 for no limit"`
	ListLag    time.Duration `long:"list-lag" value-name:"DURATION" description:"Delay of changes in the instance list"`
	ListExpiry time.Duration `long:"list-expiry" value-name:"DURATION" default:"5s" description:"Time after which an entry that is not refreshed expires"`
}

// Execute implements flags.Commander.
func (c *standinPlatform) Execute([]string) error {
	signals := receiveTerminalSignals()
	server, err := platform.Start(c.Listen, platform.Options{
		KeepCount: c.KeepCount, KeepAge: c.KeepAge, ListLag: c.ListLag, ListExpiry: c.ListExpiry,
	})
	if err != nil {
		return err
	}
	return runStandin("platform", server, signals)
}

// standinBackend runs a simulated backend.
type standinBackend struct {
	Listen       string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:7100" description:"Listen address"`
	Slots        int           `long:"slots" value-name:"N" default:"2" description:"Number of requests that run at once"`
	Queue        int           `long:"queue" value-name:"N" default:"4" description:"Number of requests that wait for a slot; more are shed"`
	ChecksTokens bool          `long:"checks-tokens" description:"Refuse requests with an outdated fencing token"`
	Work         time.Duration `long:"work" value-name:"DURATION" default:"2ms" description:"Service time of a request when warm"`
	ColdWork     time.Duration `long:"cold-work" value-name:"DURATION" default:"20ms" description:"Service time of a request when cold"`
	WarmAfter    int           `long:"warm-after" value-name:"N" default:"20" description:"Number of answered requests after which the backend is warm"`
	ColdLimit    int           `long:"cold-limit" value-name:"N" default:"2" description:"Number of requests in flight that a cold backend can handle"`
	ReportLag    time.Duration `long:"report-lag" value-name:"DURATION" description:"Delay of the health and load reports"`
}

// Execute implements flags.Commander.
func (c *standinBackend) Execute([]string) error {
	signals := receiveTerminalSignals()
	server, err := backend.Start(c.Listen, backend.Options{
		Slots: c.Slots, Queue: c.Queue, ChecksTokens: c.ChecksTokens, Work: c.Work, ColdWork: c.ColdWork,
		WarmAfter: c.WarmAfter, ColdLimit: c.ColdLimit, ReportLag: c.ReportLag,
	})
	if err != nil {
		return err
	}
	return runStandin("backend", server, signals)
}

// runStandin prints the address of a simulated server and runs it until SIGINT, SIGTERM or SIGHUP.
func runStandin(kind string, server interface {
	Address() string
	Close() error
}, signals *signals,
) error {
	fmt.Printf("simulated %s listening on %s\n", kind, server.Address())
	<-signals.stopContext(zap.NewNop()).Done() // a simulated server has no log
	return server.Close()
}
