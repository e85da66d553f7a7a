package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// exitInterrupted is the exit code after a second SIGINT: 128 and the number of the signal, as shells report it.
const exitInterrupted = 130

// signals receives the signals of a process that serves requests. It never restores a default action, which would end the
// process together with its requests in flight. Of signals that arrive before the previous one of their kind was handled, one
// is kept.
type signals struct {
	terminations chan os.Signal // SIGTERM; also SIGHUP, see receiveTerminalSignals
	interrupts   chan os.Signal // SIGINT
	hangups      chan os.Signal // SIGHUP
}

// receiveSignals begins to receive the signals of this process. A command that serves requests calls it before anything else.
func receiveSignals() *signals {
	s := &signals{
		terminations: make(chan os.Signal, 1), interrupts: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1),
	}
	signal.Notify(s.terminations, syscall.SIGTERM)
	signal.Notify(s.interrupts, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	// A write to standard output or standard error whose reader has exited would end the process; it returns an error instead.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// receiveTerminalSignals is receiveSignals for commands that run at a terminal: SIGHUP, which reports that the terminal was
// closed, stops them like SIGTERM.
func receiveTerminalSignals() *signals {
	s := receiveSignals()
	signal.Notify(s.terminations, syscall.SIGHUP)
	return s
}

// ignoreHangups logs each SIGHUP. Commands that read their settings only at the start call it.
func (s *signals) ignoreHangups(log *zap.Logger) {
	go func() {
		for range s.hangups {
			telemetry.EventHangupIgnored.Log(log)
		}
	}()
}

// stopContext returns a context that ends at the first SIGTERM or SIGINT. A SIGTERM during the stop has no effect. A second
// SIGINT, with which an operator at a terminal gives up waiting, terminates the process at once.
func (s *signals) stopContext(log *zap.Logger) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	go s.watch(stop, log)
	return ctx
}

// watch handles the signals that stop the process. It never returns.
func (s *signals) watch(stop context.CancelFunc, log *zap.Logger) {
	stopping, interrupted := false, false
	for {
		select {
		case <-s.terminations:
			if stopping {
				telemetry.EventTerminationIgnored.Log(log)
			}
		case <-s.interrupts:
			if interrupted {
				telemetry.EventInterrupted.Log(log)
				_ = log.Sync() // the process exits in any case
				os.Exit(exitInterrupted)
			}
			interrupted = true
		}
		stopping = true
		stop()
	}
}

// signalContext returns a context that ends at the first SIGINT or SIGTERM, for commands that serve no requests. A second signal
// terminates the process at once.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
