package explain

import (
	"fmt"
	"io"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// WhereQuery asks where a request would go.
type WhereQuery struct {
	Host string  `json:"host"`
	Path string  `json:"path"`
	Key  *uint32 `json:"key,omitempty"` // nil if the request has none
	// CustomerKey authorizes the request. It is never part of an answer.
	CustomerKey string `json:"customerKey,omitempty"`
}

// Where is the answer to a WhereQuery. Times are in milliseconds.
type Where struct {
	ConfigVersion uint64        `json:"configVersion"`
	Route         string        `json:"route,omitempty"`
	Customer      string        `json:"customer,omitempty"`
	Refused       *WhereRefusal `json:"refused,omitempty"`
	Targets       []WhereTarget `json:"targets,omitempty"`
}

// WhereRefusal says why a request would be refused.
type WhereRefusal struct {
	Reason       string `json:"reason"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMS int64  `json:"retryAfterMS,omitempty"`
}

// WhereTarget is one of the services of a route. Backend is empty if the request would be refused.
type WhereTarget struct {
	Service      string         `json:"service"`
	Share        float64        `json:"share"`
	Owner        string         `json:"owner,omitempty"`
	TableVersion uint64         `json:"tableVersion,omitempty"`
	Backend      string         `json:"backend,omitempty"`
	ExpectedMS   int64          `json:"expectedMS,omitempty"`
	Refused      *WhereRefusal  `json:"refused,omitempty"`
	Backends     []WhereBackend `json:"backends,omitempty"`
}

// WhereBackend is a backend that may be sent the request.
type WhereBackend struct {
	ID         string  `json:"id"`
	Zone       string  `json:"zone"`
	Cold       bool    `json:"cold,omitempty"`
	Paused     bool    `json:"paused,omitempty"`
	HeldOffMS  int64   `json:"heldOffMS,omitempty"`
	InFlight   int     `json:"inFlight"`
	Limit      float64 `json:"limit"`
	ServiceMS  int64   `json:"serviceMS"`
	ExpectedMS int64   `json:"expectedMS"`
}

// NewWhere returns the answer for a forecast.
func NewWhere(f service.Forecast) Where {
	w := Where{ConfigVersion: f.ConfigVersion, Route: f.Route, Customer: string(f.Customer), Refused: refusal(f.Refused, 0)}
	for i := range f.Targets {
		t := &f.Targets[i]
		target := WhereTarget{
			Service: string(t.Service), Share: t.Share, Owner: string(t.Owner), TableVersion: uint64(t.TableVersion),
			ExpectedMS: t.Choice.ExpectedLatency.Milliseconds(), Refused: refusal(t.Refused, 0),
		}
		switch {
		case target.Refused != nil:
		case t.Choice.Backend == nil:
			target.Refused = refusal(entity.NotRun(t.Choice.Reason, ""), t.Choice.RetryAfter)
		default:
			target.Backend = string(t.Choice.Backend.ID)
		}
		for _, b := range t.Backends {
			target.Backends = append(target.Backends, WhereBackend{
				ID: string(b.ID), Zone: string(b.Zone), Cold: b.Cold, Paused: b.Paused, HeldOffMS: b.HeldOff.Milliseconds(),
				InFlight: b.InFlight, Limit: b.Limit, ServiceMS: b.ServiceTime.Milliseconds(), ExpectedMS: b.Expected.Milliseconds(),
			})
		}
		w.Targets = append(w.Targets, target)
	}
	return w
}

func refusal(o entity.Outcome, retry time.Duration) *WhereRefusal {
	if o.Kind != entity.OutcomeNotRun {
		return nil
	}
	return &WhereRefusal{Reason: string(o.Reason), Detail: o.Detail, RetryAfterMS: retry.Milliseconds()}
}

// Sent reports whether the request would be sent to a backend, whichever of the services it goes to.
func (w *Where) Sent() bool {
	for i := range w.Targets {
		if w.Targets[i].Refused != nil {
			return false
		}
	}
	return w.Refused == nil && len(w.Targets) > 0
}

// WriteText writes the answer for people. Write errors are ignored.
func (w *Where) WriteText(out io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("config version %d, route %q, customer %q", w.ConfigVersion, w.Route, w.Customer)
	if w.Refused != nil {
		line("refused: %s", w.Refused)
	}
	for i := range w.Targets {
		t := &w.Targets[i]
		line("service %s, %.0f%% of the route's requests", t.Service, t.Share*100)
		if t.Owner != "" {
			line("  key owned by %s by table version %d", t.Owner, t.TableVersion)
		}
		if t.Refused != nil {
			line("  refused: %s", t.Refused)
		} else {
			line("  sent to %s, answer expected after %d ms", t.Backend, t.ExpectedMS)
		}
		for _, b := range t.Backends {
			line("    %-20s zone %-8s %3d in flight, limit %.1f, service time %d ms, expected %d ms%s",
				b.ID, b.Zone, b.InFlight, b.Limit, b.ServiceMS, b.ExpectedMS, b.notes())
		}
	}
}

// String returns the refusal for people.
func (r *WhereRefusal) String() string {
	text := r.Reason
	if r.Detail != "" {
		text += " (" + r.Detail + ")"
	}
	if r.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after %d ms", r.RetryAfterMS)
	}
	return text
}

func (b *WhereBackend) notes() string {
	text := ""
	if b.Cold {
		text += ", cold"
	}
	if b.Paused {
		text += ", could not be reached"
	}
	if b.HeldOffMS > 0 {
		text += fmt.Sprintf(", asks for no requests for %d ms", b.HeldOffMS)
	}
	return text
}
