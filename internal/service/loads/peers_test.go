package loads_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/loads"
)

// inFlightAt returns the position of the next request at a backend less one: the requests in flight there.
func inFlightAt(t *testing.T, s *loads.Service, b *catalog.Backend, now time.Duration) int {
	t.Helper()
	choice, attempt := chooseOf(s, now, b)
	require.NotNil(t, choice.Backend)
	s.FinishAttempt(attempt, &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonCanceled, "")}, now)
	return attempt.Position - 1
}

// Guards against requests of peers that are counted twice, not at all, or after they have ended: also at a backend that this
// instance uses for the first time after the report, and at one that has started again.
func TestInFlightOfPeersFollowsTheirReports(t *testing.T) {
	s, other, third := newLoads(), newLoads(), newLoads()
	first, late := &catalog.Backend{ID: "first", Slots: 9, Incarnation: 1}, &catalog.Backend{ID: "late", Slots: 9, Incarnation: 1}
	now := time.Second
	require.Zero(t, inFlightAt(t, s, first, now))
	_, one := chooseOf(other, now, first)
	chooseOf(other, now, late)
	chooseOf(third, now, first)
	exchange(other, s, "other", now)
	exchange(third, s, "third", now)
	require.Equal(t, 2, inFlightAt(t, s, first, now))
	require.Equal(t, 1, inFlightAt(t, s, late, now))
	other.FinishAttempt(one, &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonCanceled, "")}, now)
	exchange(other, s, "other", now)
	require.Equal(t, 1, inFlightAt(t, s, first, now))
	require.Equal(t, 1, inFlightAt(t, s, late, now))
	s.ForgetPeer("third")
	require.Zero(t, inFlightAt(t, s, first, now))
	s.ApplyPeerReport(service.PeerTraffic{Instance: "other"}, now) // the peer is unresponsive
	require.Zero(t, inFlightAt(t, s, late, now))
}

// BenchmarkApplyPeerReport measures the report of one of 194 peers with 10 requests in flight on 396 backends.
func BenchmarkApplyPeerReport(b *testing.B) {
	s := newLoads()
	backends := make([]*catalog.Backend, 396)
	for i := range backends {
		backends[i] = &catalog.Backend{ID: entity.BackendID(fmt.Sprint("b", i)), Slots: 2}
	}
	chooseOf(s, time.Second, backends...)
	reports := make([]service.PeerTraffic, 194)
	for i := range reports {
		peer := newLoads()
		for j := range 10 {
			chooseOf(peer, time.Second, backends[(i*7+j)%len(backends)])
		}
		reports[i] = service.PeerTraffic{Instance: entity.InstanceID(fmt.Sprint("i", i)), TrafficReport: peer.Report(time.Second, window, true)}
	}
	b.ResetTimer()
	for i := range b.N {
		s.ApplyPeerReport(reports[i%len(reports)], time.Second)
	}
}
