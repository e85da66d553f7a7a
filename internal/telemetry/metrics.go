package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are reported for each timer.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteMetrics writes all counters, gauges and timers of r as text, one value per line. Dots and hyphens in names become
// underscores; times are in seconds. Write errors are ignored.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	out := bufio.NewWriter(w)
	defer func() { _ = out.Flush() }() // the only failure is that the client has disconnected
	const nanoseconds = 1e-9
	r.Each(func(name string, m any) {
		name = "pollenpier_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(out, "%s_total %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(out, "%s %d\n", name, m.Value())
		case metrics.Timer:
			snapshot := m.Snapshot()
			_, _ = fmt.Fprintf(out, "%s_seconds_count %d\n", name, snapshot.Count())
			for i, value := range snapshot.Percentiles(quantiles) {
				_, _ = fmt.Fprintf(out, "%s_seconds{quantile=\"%g\"} %g\n", name, quantiles[i], value*nanoseconds)
			}
		}
	})
}
