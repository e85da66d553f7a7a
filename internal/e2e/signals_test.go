package e2e

import (
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
)

// longRequest is the time for which a request is in flight while signals are sent.
const longRequest = 1500 * time.Millisecond

// hangupInterval is short, so that a signal arrives in each step of the start and of the stop.
const hangupInterval = 200 * time.Microsecond

// Guards against an instance that exits at a repeated SIGTERM during its planned stop and aborts the requests in flight.
func TestRepeatedTerminationAbortsNoRequest(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}}, true)
	i := s.addInstance("a")
	s.waitServed(manyKeys(4))
	long := s.startLong(i)
	for range 3 {
		_ = i.cmd.Process.Signal(syscall.SIGTERM) // fails when the process has exited, which the answer shows
		time.Sleep(longRequest / 8)
	}
	r := <-long
	require.Equal(t, "answered", r.outcome, "%+v", r)
	s.requireCleanExit(i.process)
}

// Guards against an operator who cannot end a process at a terminal, because a second SIGINT is ignored like a second SIGTERM.
func TestSecondInterruptEndsTheInstance(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}}, true)
	i := s.addInstance("a")
	s.waitServed(manyKeys(4))
	long := s.startLong(i)
	require.NoError(t, i.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, i.cmd.Process.Signal(os.Interrupt))
	s.eventually(func() bool { return strings.Contains(i.log.String(), "instance stopping") }, "the instance does not stop")
	time.Sleep(longRequest / 8)
	require.NoError(t, i.cmd.Process.Signal(os.Interrupt))
	r := <-long
	require.Error(t, r.err, "the process waited for its requests: %+v", r)
	<-i.exited
	require.Equal(t, 130, i.cmd.ProcessState.ExitCode())
}

// Guards against an instance that reports a failed start because it is asked to stop before the start is complete.
func TestTerminationDuringTheStartIsAPlannedStop(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}}, true)
	i, feed := s.addWaitingInstance("a")
	require.NoError(t, i.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond) // the process waits for its settings
	feed()
	s.requireCleanExit(i.process)
}

// Guards against an instance that is ended by SIGHUP while it reads its settings, starts, serves or stops.
func TestHangupEndsNoInstance(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}}, true)
	i, feed := s.addWaitingInstance("a")
	stop := i.sendHangups()
	defer stop()
	time.Sleep(100 * time.Millisecond) // the process waits for its settings
	feed()
	s.waitListening(i.process)
	s.waitServed(manyKeys(4))
	long := s.startLong(i)
	require.NoError(t, i.cmd.Process.Signal(syscall.SIGTERM))
	r := <-long
	require.Equal(t, "answered", r.outcome, "%+v", r)
	s.requireCleanExit(i.process)
}

// Guards against an instance that is ended by SIGPIPE, with its requests in flight, when the reader of its log exits.
func TestLostLogReaderEndsNoInstance(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}}, true)
	i, path := s.newInstance("a")
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	i.process = s.runWithOutput(writer, i.admin, "serve", "--settings", path)
	require.NoError(t, writer.Close()) // the process has the only copy
	go func() { _, _ = io.Copy(i.log, reader) }()
	s.waitListening(i.process)
	s.waitServed(manyKeys(4))
	long := s.startLong(i)
	require.NoError(t, reader.Close())
	require.NoError(t, i.cmd.Process.Signal(syscall.SIGTERM))
	r := <-long
	require.Equal(t, "answered", r.outcome, "%+v", r)
	s.requireCleanExit(i.process)
}

// Guards against a simulated server that is killed when its terminal is closed, instead of stopping.
func TestHangupStopsASimulatedServer(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}}, true)
	require.NoError(t, s.backends["a1"].cmd.Process.Signal(syscall.SIGHUP))
	s.requireCleanExit(s.backends["a1"])
}

// addWaitingInstance starts an instance that waits for its settings until the returned function is called. The process has opened
// the file when addWaitingInstance returns.
func (s *site) addWaitingInstance(zone string) (i *instance, feed func()) {
	s.t.Helper()
	i, path := s.newInstance(zone)
	settings, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.NoError(s.t, os.Remove(path))
	require.NoError(s.t, syscall.Mkfifo(path, 0o600))
	i.process = s.run(i.admin, "serve", "--settings", path)
	var pipe *os.File
	s.eventually(func() bool { // fails with ENXIO until the process has opened the file
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, "the process did not open its settings")
	return i, func() {
		_, err := pipe.Write(settings)
		require.NoError(s.t, err, "a signal ended the process")
		require.NoError(s.t, pipe.Close())
	}
}

// startLong sends a request that is in flight for longRequest and waits until a backend runs it. The result arrives at the
// returned channel.
func (s *site) startLong(i *instance) <-chan result {
	s.t.Helper()
	s.setFaults("a1", backend.Faults{LatencyMs: int(longRequest.Milliseconds())})
	long := make(chan result, 1)
	go func() { long <- bookNew(i.callers, "key-0", "long") }()
	s.eventually(func() bool {
		list := s.executions("a1")
		return list[len(list)-1].IdempotencyKey == "long"
	}, "the long request did not start")
	return long
}

// sendHangups sends SIGHUP to the process every hangupInterval until the returned function is called.
func (p *process) sendHangups() (stop func()) {
	done := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		ticker := time.NewTicker(hangupInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				_ = p.cmd.Process.Signal(syscall.SIGHUP) // fails when the process has exited
			}
		}
	})
	return func() {
		close(done)
		sender.Wait()
	}
}

// requireCleanExit waits until a process has exited and fails the test if a signal ended it or its exit code is not 0.
func (s *site) requireCleanExit(p *process) {
	s.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		require.Fail(s.t, "the process did not exit")
	}
	require.True(s.t, p.cmd.ProcessState.Success(), "the process ended with: %s", p.cmd.ProcessState)
}
