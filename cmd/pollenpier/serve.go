package main

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/app"
	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// serveCommand runs one log-based instance.
type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"Settings file of the instance"`
}

// Time limits: startTimeout for the start, and stopMargin, in addition to the drain timeout, for the planned stop.
const (
	startTimeout = 15 * time.Second
	stopMargin   = 15 * time.Second
)

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	signals := receiveSignals()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	signals.ignoreHangups(log)
	if s.Trace {
		end := telemetry.StartTracing(log)
		defer func() { _ = end(context.Background()) }()
	}
	return serve(signals.stopContext(log), s, log)
}

// serve runs an instance until ctx ends and then performs a planned stop. If ctx ends during the start, serve completes the start
// first, because only a started instance can finish the requests that it has accepted.
func serve(ctx context.Context, s *settings.Settings, log *zap.Logger) error {
	instance, err := app.New(s, log)
	if err != nil {
		return err
	}
	starting, cancelStart := context.WithTimeout(context.Background(), startTimeout)
	defer cancelStart()
	if err := instance.Start(starting); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancelStop := context.WithTimeout(context.Background(), s.DrainTimeout+stopMargin)
	defer cancelStop()
	if err := instance.Stop(stopping); err != nil {
		return errors.Wrap(err, "planned stop")
	}
	return nil
}
