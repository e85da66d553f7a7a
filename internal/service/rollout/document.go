package rollout

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// documentName is the name of the document in the store.
const documentName = "rollouts"

// maxRejected and maxPast bound the lists in a record.
const (
	maxRejected = 8
	maxPast     = 8
)

// document contains the rollouts of all services.
type document struct {
	Services map[entity.ServiceName]record `json:"services"`
}

// record is the state of the rollout of a service.
type record struct {
	To         string `json:"to"`
	DurationMS int64  `json:"durationMS"`
	// AgeMS is the time from the first sight of the order to the write.
	AgeMS  int64         `json:"ageMS"`
	Phase  rollout.Phase `json:"phase"`
	Reason string        `json:"reason,omitempty"`
	// Told is the last phase that the operator has been told, 0 if none. A successor writes a missing status again.
	Told rollout.Phase `json:"told,omitempty"`
	// Rejected are versions of earlier rollouts that were rolled back.
	Rejected []string `json:"rejected,omitempty"`
	// Past are the ends of earlier orders that the operator has not been told.
	Past []past `json:"past,omitempty"`
}

// past is a phase of an order.
type past struct {
	To         string        `json:"to"`
	DurationMS int64         `json:"durationMS"`
	Phase      rollout.Phase `json:"phase"`
}

func (p past) order(name entity.ServiceName) service.RolloutOrder {
	return service.RolloutOrder{Service: name, To: p.To, Duration: time.Duration(p.DurationMS) * time.Millisecond}
}

// same reports whether two records differ at most in their age.
func (r record) same(o record) bool {
	return r.To == o.To && r.DurationMS == o.DurationMS && r.Phase == o.Phase && r.Told == o.Told &&
		slices.Equal(r.Rejected, o.Rejected) && slices.Equal(r.Past, o.Past)
}

// readIfDue reads the document if this instance has never read it, if it needs the newest version, or if its state was not confirmed
// for some time.
func (s *Service) readIfDue(t *kernel.Turn) {
	now := t.Now()
	if s.reading || s.writing || now < s.nextRead {
		return
	}
	due := !s.loaded
	for _, r := range s.rollouts {
		due = due || !r.phase.Ended() && now-r.confirmedAt >= confirmBefore || r.coordinating && s.seen > s.version
	}
	if !due {
		return
	}
	s.reading = true
	s.nextRead = now + readInterval
	known := s.version
	s.metrics.reads.Inc(1)
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		d, err := s.store.Load(ctx, documentName, known)
		return readDone{document: d, sent: now, err: err}
	})
}

func (s *Service) readDone(t *kernel.Turn, m readDone) {
	s.reading = false
	if m.err != nil {
		s.metrics.failures.Inc(1)
		telemetry.EventRolloutsReadFailed.Log(s.log, zap.Error(m.err))
		return
	}
	if m.document.Value != nil && m.document.Version > s.version {
		d := document{}
		if err := json.Unmarshal(m.document.Value, &d); err != nil {
			telemetry.EventRolloutsUnreadable.Log(s.log, zap.Uint64("version", uint64(m.document.Version)), zap.Error(err))
			return
		}
		s.install(t, d, m.document.Version, m.sent)
	}
	s.loaded = true
	s.confirmAll(m.document.Version, m.sent)
}

// confirmAll records that the store has confirmed all states that are as new as its document.
func (s *Service) confirmAll(version service.Version, at time.Duration) {
	s.seen = max(s.seen, s.version)
	for _, r := range s.rollouts {
		if r.written && r.version <= version {
			r.confirm(at)
		}
	}
}

// install makes a document of the store the current one and adopts the states in it.
func (s *Service) install(t *kernel.Turn, d document, version service.Version, at time.Duration) {
	for name, rec := range d.Services {
		if s.document.Services[name].To != rec.To {
			s.recordsAt[name] = at
		}
	}
	s.document, s.version, s.seen, s.documentAt = d, version, max(s.seen, version), at
	for name, rec := range d.Services {
		if s.dropped[name] {
			continue
		}
		s.adopt(t, reportedState{
			service: name, to: rec.To, duration: time.Duration(rec.DurationMS) * time.Millisecond, phase: rec.Phase, reason: rec.Reason,
			version: version, seenAt: at - time.Duration(rec.AgeMS)*time.Millisecond, confirmedAt: at, stored: true,
		})
		if r := s.rollouts[name]; r != nil && r.to == rec.To {
			r.rejected = map[string]bool{}
			for _, v := range rec.Rejected {
				r.rejected[v] = true
			}
		}
	}
	for name, r := range s.rollouts {
		if _, ok := d.Services[name]; !ok && r.written && r.version < version && r.withdrawn {
			s.remove(t, r, "no longer in the document")
		}
	}
}

// writeIfDue writes the document if this instance wants to change the record of a service that it coordinates.
func (s *Service) writeIfDue(t *kernel.Turn) {
	now := t.Now()
	if s.writing || s.reading || !s.loaded || s.seen > s.version || now < s.nextWrite {
		return
	}
	next := document{Services: maps.Clone(s.document.Services)}
	if next.Services == nil {
		next.Services = map[entity.ServiceName]record{}
	}
	changed := false
	for name, r := range s.rollouts {
		old, ok := next.Services[name]
		if !r.coordinating || ok && old.To != r.to && old.To != r.former && s.ordersAt < s.recordsAt[name]+orderLag {
			continue // the order in the document may be newer than the one that this instance has read
		}
		if rec := s.wantedRecord(r, old, ok, now); !ok || !rec.same(old) {
			next.Services[name], changed = rec, true
		}
	}
	for name := range next.Services {
		if s.dropped[name] && s.first(name, now) {
			delete(next.Services, name)
			changed = true
		}
	}
	if changed {
		s.write(t, next)
	}
}

func (s *Service) write(t *kernel.Turn, d document) {
	raw, err := json.Marshal(d)
	if err != nil {
		t.InvariantViolated(err)
		return
	}
	s.writing = true
	s.metrics.writes.Inc(1)
	known, sent := s.version, t.Now()
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		version, err := s.store.Replace(ctx, documentName, raw, known)
		return writeDone{document: d, version: version, sent: sent, err: err}
	})
}

func (s *Service) writeDone(t *kernel.Turn, m writeDone) {
	s.writing = false
	if m.err != nil {
		s.metrics.failures.Inc(1)
		telemetry.EventRolloutsWriteFailed.Log(s.log, zap.Uint64("known", uint64(s.version)), zap.Error(m.err))
		// This write or that of another instance may have taken effect.
		s.nextWrite, s.nextRead, s.loaded = t.Now()+retry, t.Now(), false
		return
	}
	s.install(t, m.document, m.version, m.sent)
	s.confirmAll(m.version, m.sent)
	t.Send(service.Members, service.RolloutChanged{})
}

// wantedRecord returns the record that the coordinator of a rollout wants in place of an old one, if there is one.
func (s *Service) wantedRecord(r *state, old record, ok bool, now time.Duration) record {
	rec := record{
		To: r.to, DurationMS: r.duration.Milliseconds(), AgeMS: (now - r.seenAt).Milliseconds(), Phase: r.phase, Reason: r.reason,
	}
	if r.wanted != 0 {
		rec.Phase, rec.Reason = r.wanted, r.wantedReason
	}
	if !ok {
		return rec
	}
	rec.Past = old.Past
	rejected := slices.Clone(old.Rejected)
	if old.To == r.to {
		rec.Told = old.Told
		if old.Phase.Ended() {
			rec.Phase, rec.Reason = old.Phase, old.Reason
		}
	} else {
		end := endOf(old)
		if old.Told != end.Phase {
			rec.Past = append(slices.Clone(old.Past), end)
		}
		if end.Phase == rollout.RolledBack {
			rejected = append(rejected, old.To)
		}
	}
	if r.told.To == r.to {
		rec.Told = max(rec.Told, r.told.Phase)
	}
	rec.Past = slices.DeleteFunc(slices.Clone(rec.Past), func(p past) bool { return p == r.told })
	rec.Past = rec.Past[max(0, len(rec.Past)-maxPast):]
	rejected = slices.DeleteFunc(rejected, func(v string) bool { return v == r.to || !s.listed(r.service, v) })
	rec.Rejected = rejected[max(0, len(rejected)-maxRejected):]
	return rec
}

// endOf returns the end of the order in a record that another order replaces.
func endOf(r record) past {
	phase := rollout.RolledBack
	if r.Phase == rollout.Completed {
		phase = rollout.Completed
	}
	return past{To: r.To, DurationMS: r.DurationMS, Phase: phase}
}

// tellIfDue writes the oldest status that the operator has not been told, one at a time.
func (s *Service) tellIfDue(t *kernel.Turn, r *state) {
	now := t.Now()
	old, ok := s.document.Services[r.service]
	if !ok || !r.coordinating || r.telling || now < r.nextTell || s.seen > s.version || s.writing || old.To != r.to {
		return
	}
	rec := s.wantedRecord(r, old, true, now)
	var next past
	switch {
	case len(rec.Past) > 0:
		next = rec.Past[0]
	case rec.Told < old.Phase && (old.Phase != rollout.Switching || rec.Told == 0):
		next = past{To: old.To, DurationMS: old.DurationMS, Phase: old.Phase}
	default:
		return
	}
	r.telling = true
	name, known := r.service, s.version
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// An instance that is isolated from its peers may not know that another one has written a later phase.
		d, err := s.store.Load(ctx, documentName, known)
		if err == nil && d.Version != known {
			err = service.ErrConflict
		}
		if err != nil {
			return tellDone{service: name, told: next, err: err}
		}
		err = s.status.WriteRolloutStatus(ctx, next.order(name), service.RolloutPhase(next.Phase))
		return tellDone{service: name, told: next, err: err}
	})
}

// tellDone records in the document that the operator has been told.
func (s *Service) tellDone(t *kernel.Turn, m tellDone) {
	fields := []zap.Field{
		zap.String("service", string(m.service)), zap.String("version", m.told.To), zap.Stringer("phase", m.told.Phase), zap.Error(m.err),
	}
	r := s.rollouts[m.service]
	if r != nil {
		r.telling = false
	}
	if m.err != nil {
		s.metrics.failures.Inc(1)
		telemetry.EventRolloutStatusFailed.Log(s.log, fields...)
		if r != nil {
			r.nextTell = t.Now() + retry
		}
		s.loaded = s.loaded && !errors.Is(m.err, service.ErrConflict)
		return
	}
	telemetry.EventRolloutStatusWritten.Log(s.log, fields...)
	if r != nil {
		// This becomes part of the next write of the document. If that fails at all, a successor writes the status again.
		r.told = m.told
	}
}
