package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits on the volume of the log.
const (
	// queuedLines is the capacity of the queue of lines to be written. A full queue drops lines and never blocks a request.
	queuedLines = 4096
	// perSecond is the number of lines of one event that are written in each second. Of the lines beyond it, one in oneIn is
	// written.
	perSecond = 40
	oneIn     = 50
	// syncWait limits how long Sync waits for the queue to be written before the process exits.
	syncWait = 500 * time.Millisecond
)

// boundedWriter queues lines for one goroutine, which writes them to out. It counts the lines that were not written.
type boundedWriter struct {
	queue   chan queued
	dropped atomic.Int64
	out     io.Writer
}

// queued is a line to be written, or a mark that is closed when all earlier lines have been written.
type queued struct {
	line []byte
	mark chan<- struct{}
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{queue: make(chan queued, queuedLines), out: out}
	go w.run()
	return w
}

func (w *boundedWriter) run() {
	for next := range w.queue {
		if next.mark != nil {
			close(next.mark)
			continue
		}
		if _, err := w.out.Write(next.line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of line. It never blocks and returns no error: if the queue is full, the line is dropped and counted.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- queued{line: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all queued lines have been written, for syncWait at most. It returns no error.
func (w *boundedWriter) Sync() error {
	timeout := time.NewTimer(syncWait)
	defer timeout.Stop()
	written := make(chan struct{})
	select {
	case w.queue <- queued{mark: written}:
	case <-timeout.C:
		return nil
	}
	select {
	case <-written:
	case <-timeout.C:
	}
	return nil
}

// NewBoundedLogger returns a logger that writes JSON lines to out and never blocks its callers: each event has a budget of
// lines per second, beyond which only a sample of its lines is kept, and the kept lines pass through a bounded queue. Level is
// debug, info, warn or error; an unknown level is an error.
func NewBoundedLogger(level string, out io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	writer := newBoundedWriter(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, parsed)
	var sampled atomic.Int64
	limited := zapcore.NewSamplerWithOptions(core, time.Second, perSecond, oneIn,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				sampled.Add(1)
			}
		}))
	log := zap.New(limited)
	go reportDrops(log, &sampled, &writer.dropped)
	return log, nil
}

// reportInterval is the interval of the reports about dropped lines.
const reportInterval = 10 * time.Second

// reportDrops logs the number of lines dropped in each reportInterval, if there were any. It never returns.
func reportDrops(log *zap.Logger, sampled, dropped *atomic.Int64) {
	for range time.Tick(reportInterval) {
		s, d := sampled.Swap(0), dropped.Swap(0)
		if s+d > 0 {
			EventLinesDropped.Log(log, zap.Int64("over_budget", s), zap.Int64("queue_full", d))
		}
	}
}
