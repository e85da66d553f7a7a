package control

import "github.com/rcrowley/go-metrics"

// counters are the metrics of the control service.
type counters struct {
	applied, dropped, appends, appendErrors, readErrors, relays, checkpoints metrics.Counter
	offset                                                                   metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("control."+name, r) }
	return counters{
		applied:      counter("records_applied"),
		dropped:      counter("records_dropped"),
		appends:      counter("appends"),
		appendErrors: counter("append_errors"),
		readErrors:   counter("read_errors"),
		relays:       counter("relayed_reads"),
		checkpoints:  counter("checkpoints"),
		offset:       metrics.GetOrRegisterGauge("control.offset", r),
	}
}
