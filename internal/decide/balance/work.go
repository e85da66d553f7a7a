package balance

import "time"

// routeLearnRate is the weight of a new measurement in the mean work of a route. It is lower than that of a backend, because the
// measurements of a route come from backends of different speeds.
const routeLearnRate = 0.05

// minMeasurements is the number of measurements from which the mean work of a service or a route counts as known.
const minMeasurements = 4

// Work is how much work a request is. The zero value is the work of a request of which nothing is known.
type Work struct {
	// Factor is the work relative to the mean of its service; zero counts as 1.
	Factor float64
	// Mean is the mean service time of the service over its backends and routes; zero if unknown.
	Mean time.Duration
}

func (w Work) factor() float64 {
	if w.Factor <= 0 {
		return 1
	}
	return w.Factor
}

// WorkTimes contains the mean service times of one service and of its routes, over all backends. Requests of different routes can
// differ by a factor of five, so a common mean would rate short requests as late and long ones as in time. The zero value knows
// nothing. It is not safe for concurrent use.
type WorkTimes struct {
	all    meanTime
	routes map[string]*meanTime
}

// meanTime is a moving mean.
type meanTime struct {
	mean  time.Duration
	count int
}

func (m *meanTime) add(sample time.Duration) {
	m.count++
	rate := max(routeLearnRate, 1/float64(m.count)) // the plain mean of the first samples
	m.mean += time.Duration(rate * float64(sample-m.mean))
}

// Record adds the service time of a request of a route.
func (w *WorkTimes) Record(route string, sample time.Duration) {
	w.all.add(sample)
	if w.routes == nil {
		w.routes = map[string]*meanTime{}
	}
	r := w.routes[route]
	if r == nil {
		r = &meanTime{}
		w.routes[route] = r
	}
	r.add(sample)
}

// Of returns the work of a request of a route.
func (w *WorkTimes) Of(route string) Work {
	if w.all.count < minMeasurements {
		return Work{}
	}
	work := Work{Factor: 1, Mean: w.all.mean}
	if r := w.routes[route]; r != nil && r.count >= minMeasurements && w.all.mean > 0 {
		work.Factor = float64(r.mean) / float64(w.all.mean)
	}
	return work
}

// KeepRoutes drops the routes that are not in use any more, so that a configuration that replaces its routes does not let the number
// of remembered ones grow.
func (w *WorkTimes) KeepRoutes(inUse func(route string) bool) {
	for route := range w.routes {
		if !inUse(route) {
			delete(w.routes, route)
		}
	}
}
