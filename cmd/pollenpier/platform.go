package main

import (
	"os"
	"runtime/debug"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/platform"
)

// platformCommand runs one store-based instance on the users' platform.
type platformCommand struct {
	LogLevel string `long:"log-level" default:"info" description:"Lowest level that is logged: debug, info, warn or error"`
}

// heapGrowth is the growth of the heap, in percent, at which the garbage collector runs. It is low because the state is small and memory
// is expensive.
const heapGrowth = 60

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	signals := receiveSignals()
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.Errorf("environment variable %s must name the settings file", platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(heapGrowth)
	if heap := s.CallerLimits().Heap; heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	log, err := telemetry.NewBoundedLogger(c.LogLevel, os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	process, err := platform.NewProcess(s, nil, signals.hangups, log)
	if err != nil {
		return err
	}
	return process.Run(signals.stopContext(log), s.Node)
}
