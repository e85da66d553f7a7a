package admission_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
)

const customer entity.CustomerID = "c"

// holder is an instance with its own clock. It may have been replaced and still run.
type holder struct {
	client *admission.Client
	pool   *admission.TokenPool
	offset time.Duration
	drift  float64 // of its clock relative to the server's
	// sequence is the sequence of the last request.
	sequence uint64
}

func (h *holder) clock(now time.Duration) time.Duration {
	return h.offset + time.Duration(float64(now)*(1+h.drift))
}

// server is a token server that grants tokens until its lease ends.
type server struct {
	*admission.Server
	until time.Duration
}

// message is a request or a response in flight.
type message struct {
	at       time.Duration
	holder   *holder
	request  admission.Request
	response *admission.Response // nil for a request
}

// world is a zone in virtual time whose network loses, delays, duplicates and reorders messages.
type world struct {
	limits   admission.Limits
	now      time.Duration
	servers  []*server // the last one is current; the others have lost their lease
	holders  []*holder
	network  []message
	admitted []time.Duration
	started  int
}

func newWorld(t *rapid.T, limits admission.Limits, holders int) *world {
	w := &world{limits: limits}
	w.addServer(0)
	for range holders {
		w.addHolder(t)
	}
	return w
}

func (w *world) addServer(at time.Duration) {
	s := &server{Server: admission.NewServer(at), until: 1 << 62}
	s.SetLimits(at, map[entity.CustomerID]admission.Limits{customer: w.limits})
	w.servers = append(w.servers, s)
}

func (w *world) addHolder(t *rapid.T) {
	w.started++
	h := &holder{
		client: admission.NewClient(entity.InstanceID(fmt.Sprint("i", w.started)), 0, 0),
		offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
		drift:  rapid.SampledFrom([]float64{-0.01, 0, 0.01}).Draw(t, "drift"),
	}
	h.pool = h.client.Pool(customer)
	w.holders = append(w.holders, h)
}

func (w *world) holder(t *rapid.T) *holder {
	return w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")]
}

func (w *world) spend(h *holder, count int) {
	for range count {
		h.pool.CountArrival()
		if ok, _ := h.pool.Spend(h.clock(w.now)); ok {
			w.admitted = append(w.admitted, w.now)
		}
	}
}

func (w *world) sendRequest(t *rapid.T, h *holder) {
	if h.client.Busy() {
		return
	}
	waiting := rapid.SampledFrom([]int{100, 10, 1}).Draw(t, "waiting")
	r := h.client.Request(h.clock(w.now), map[entity.CustomerID]int{customer: waiting})
	h.sequence = r.Sequence
	w.send(t, message{holder: h, request: r})
}

// send delivers a message zero to two times, after independent delays.
func (w *world) send(t *rapid.T, m message) {
	for range rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 1, 2, 2, 0}).Draw(t, "copies") {
		delay := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 1, 1, 60, 150, 190, 250, 500}).Draw(t, "delay")
		m.at = w.now + time.Duration(delay)*time.Millisecond
		w.network = append(w.network, m)
	}
}

// advance advances the time and delivers the messages that arrive meanwhile.
func (w *world) advance(t *rapid.T, d time.Duration) {
	end := w.now + d
	for {
		i := w.earliest(end)
		if i < 0 {
			w.now = end
			return
		}
		m := w.network[i]
		w.network = slices.Delete(w.network, i, i+1)
		w.now = max(w.now, m.at)
		w.deliver(t, m)
	}
}

func (w *world) earliest(end time.Duration) int {
	best := -1
	for i, m := range w.network {
		if m.at <= end && (best < 0 || m.at < w.network[best].at) {
			best = i
		}
	}
	return best
}

func (w *world) deliver(t *rapid.T, m message) {
	if m.response != nil {
		m.holder.client.HandleResponse(m.holder.clock(w.now), m.request.Sequence, *m.response)
		m.holder.client.Publish(customer)
		return
	}
	s := w.servers[len(w.servers)-1]
	if rapid.IntRange(0, 9).Draw(t, "asks a previous server") == 9 {
		s = rapid.SampledFrom(w.servers).Draw(t, "server")
	}
	r := admission.Response{}
	if w.now < s.until {
		r = s.Lease(w.now, m.request)
	}
	w.send(t, message{holder: m.holder, request: m.request, response: &r})
}

// replaceServer ends the lease of the current server and starts the next one after a pause.
func (w *world) replaceServer(t *rapid.T) {
	w.servers[len(w.servers)-1].until = w.now
	w.advance(t, time.Duration(rapid.SampledFrom([]int{0, 100, 300}).Draw(t, "vacant"))*time.Millisecond)
	w.addServer(w.now)
}

// excess returns the number of requests by which the admissions exceed rate*t + burst in the worst window.
func excess(admitted []time.Duration, l admission.Limits) float64 {
	level, at, worst := float64(l.Burst), time.Duration(0), 0.0
	for _, now := range admitted {
		level = min(float64(l.Burst), level+l.Rate*(now-at).Seconds()) - 1
		at = now
		worst = max(worst, -level)
	}
	return worst
}
