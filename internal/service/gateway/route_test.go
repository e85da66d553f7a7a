package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/routing"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// fakes implements the services that the gateway looks up and records where requests are sent.
type fakes struct {
	snapshot *routing.Snapshot
	sent     []entity.InstanceID
	answer   func(n int, to string, req *service.Request) service.Response
}

func (f *fakes) Routing() *routing.Snapshot { return f.snapshot }
func (f *fakes) Leases() *service.LeaseView { return nil }

func (f *fakes) Forward(_ context.Context, address string, req *service.Request) service.Response {
	f.sent = append(f.sent, entity.InstanceID(address))
	return f.answer(len(f.sent), address, req)
}

func (f *fakes) Dispatch(context.Context, *service.Request) service.Response {
	return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, "unexpected local dispatch")}
}

// newTestGateway returns a gateway with one backend whose lease group consists of the instances i1 to i3. Their addresses equal
// their IDs.
func newTestGateway(t *testing.T, answer func(n int, to string, req *service.Request) service.Response) (*Gateway, *fakes) {
	t.Helper()
	config := (&operator.Config{
		Zones: []operator.Zone{{Name: "a"}},
		Services: []operator.Service{{
			Name: "order", Partitions: 1,
			Routes:   []operator.Route{{Path: "/", Kind: operator.RouteIdempotent, Access: operator.AccessOpen}},
			Backends: []operator.Backend{{Name: "b", Zone: "a", Address: "127.0.0.1:1", Slots: 1}},
		}},
	}).WithDefaults()
	view := &ownership.View{Services: map[entity.ServiceName]*ownership.ServiceView{
		"order": {Count: 1, Owners: []ownership.Owner{{Backend: "b", Epoch: 5}}},
	}}
	for _, id := range []string{"i1", "i2", "i3"} {
		view.Members = append(view.Members, ownership.Member{ID: entity.InstanceID(id), Zone: "a", Address: id})
	}
	f := &fakes{snapshot: routing.Build(config, 1, view), answer: answer}
	g := New(service.Self{ID: "self"}, Settings{}, zap.NewNop(), metrics.NewRegistry())
	g.routing, g.leases, g.forward, g.dispatch = f, f, f, f
	k, err := kernel.New(kernel.NewSystemClock(), nil)
	require.NoError(t, err)
	g.kernel = k
	return g, f
}

func testRequest(idempotent bool, body string) *service.Request {
	return &service.Request{
		ID: "r", Service: "order", Key: "k", Method: "POST", Path: "/", Body: strings.NewReader(body),
		Length: int64(len(body)), Deadline: time.Second, Idempotent: idempotent,
	}
}

func answered() service.Response {
	return service.Response{Outcome: entity.Answered(), Status: 200, Body: io.NopCloser(strings.NewReader(""))}
}

// Guards against a failover that is visible to the caller: a request that was refused for a transient cause must be retried with
// its complete body.
func TestRefusedRequestIsRetriedWithItsBody(t *testing.T) {
	reasons := []entity.Reason{
		entity.ReasonNotHolder, entity.ReasonUnreachable, entity.ReasonFenced, entity.ReasonLeaseLost, entity.ReasonStopping,
	}
	g, _ := newTestGateway(t, func(n int, _ string, req *service.Request) service.Response {
		body, err := io.ReadAll(req.Body)
		if err != nil || string(body) != "petals" || req.Epoch != 5 {
			return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, "wrong request")}
		}
		if n <= len(reasons) {
			return service.Response{Outcome: entity.NotRun(reasons[n-1], "")}
		}
		return answered()
	})
	resp := g.route(context.Background(), testRequest(false, "petals"))
	require.Equal(t, entity.Answered(), resp.Outcome)
}

// Guards against a second execution of a request whose outcome is unknown.
func TestUnknownOutcomeIsNotRetriedUnlessIdempotent(t *testing.T) {
	connectionLost := func(int, string, *service.Request) service.Response {
		return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, "")}
	}
	g, f := newTestGateway(t, connectionLost)
	resp := g.route(context.Background(), testRequest(false, "x"))
	require.Equal(t, entity.OutcomeUnknown, resp.Outcome.Kind)
	require.Len(t, f.sent, 1)
}

// Guards against a retry storm: if every connection to a backend is lost, retries must stay within a tenth of the requests.
func TestRetriesOfUnknownOutcomesKeepToTheBudget(t *testing.T) {
	g, f := newTestGateway(t, func(int, string, *service.Request) service.Response {
		return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, "")}
	})
	const requests = 100
	for range requests {
		g.route(context.Background(), testRequest(true, "x"))
	}
	require.LessOrEqual(t, len(f.sent), requests+requests/10)
	require.Greater(t, len(f.sent), requests)
}

// Guards against requests that are repeatedly sent to an instance that is not the primary although its refusal names the primary.
func TestHolderNamedInRefusalIsTriedNext(t *testing.T) {
	g, f := newTestGateway(t, func(_ int, to string, _ *service.Request) service.Response {
		if to == "i2" {
			return answered()
		}
		return service.Response{Outcome: entity.NotRun(entity.ReasonNotHolder, ""), Holder: "i2"}
	})
	for range 3 {
		require.Equal(t, entity.Answered(), g.route(context.Background(), testRequest(false, "")).Outcome)
	}
	require.LessOrEqual(t, len(f.sent), 4, "the primary named in a refusal was not recorded: %v", f.sent)
}

// Guards against another attempt with a truncated body: a streamed body that has been read cannot be sent again.
func TestStreamedBodyIsSentOnce(t *testing.T) {
	g, f := newTestGateway(t, func(_ int, _ string, req *service.Request) service.Response {
		if _, err := io.CopyN(io.Discard, req.Body, 10); err != nil {
			return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, err.Error())}
		}
		return service.Response{Outcome: entity.NotRun(entity.ReasonFenced, "")}
	})
	req := testRequest(false, strings.Repeat("x", replayLimit+1))
	resp := g.route(context.Background(), req)
	require.Equal(t, entity.ReasonFenced, resp.Outcome.Reason)
	require.Len(t, f.sent, 1)
}

// Guards against a repeated order that is falsely reported as not run: a refusal before the idempotency memory was checked
// doesn't cover the earlier attempts of the order.
func TestRefusalOfARepeatIsUnknownUnlessChecked(t *testing.T) {
	refused := service.Response{Outcome: entity.NotRun(entity.ReasonRateLimited, "")}
	checked := service.Response{Outcome: entity.NotRun(entity.ReasonShed, ""), IdempotencyChecked: true}
	for _, c := range []struct {
		name       string
		idempotent bool
		age        time.Duration
		resp       service.Response
		want       entity.OutcomeKind
	}{
		{"first attempt", false, 0, refused, entity.OutcomeNotRun},
		{"repeat", false, time.Second, refused, entity.OutcomeUnknown},
		{"age not stated", false, -1, refused, entity.OutcomeUnknown},
		{"repeat after the memory was checked", false, time.Second, checked, entity.OutcomeNotRun},
		{"idempotent", true, -1, refused, entity.OutcomeNotRun},
		{"answered", false, -1, answered(), entity.OutcomeAnswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := testRequest(c.idempotent, "")
			req.Age = c.age
			require.Equal(t, c.want, overallOutcome(req, c.resp).Kind)
		})
	}
}
