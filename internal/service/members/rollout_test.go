package members

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// fakeRollouts records the reports of peers.
type fakeRollouts struct {
	reports   map[entity.InstanceID][]*service.RolloutReport
	forgotten []entity.InstanceID
}

func (f *fakeRollouts) RolloutReport(time.Duration) *service.RolloutReport { return nil }

func (f *fakeRollouts) ApplyRolloutReport(peer entity.InstanceID, _ bool, r *service.RolloutReport, _ time.Duration) {
	f.reports[peer] = append(f.reports[peer], r)
}

func (f *fakeRollouts) ForgetRolloutPeer(peer entity.InstanceID) {
	f.forgotten = append(f.forgotten, peer)
}

// Guards against a malformed report that is applied or not counted, and against instances without a report that are not known to decide.
func TestRolloutReportsOfPeers(t *testing.T) {
	s, rollouts := newMembers(1), &fakeRollouts{reports: map[entity.InstanceID][]*service.RolloutReport{}}
	s.rollout = rollouts
	p := s.peers["other-0"]
	good, bad, none := &fleetpb.Heartbeat{From: &fleetpb.Member{}}, &fleetpb.Heartbeat{From: &fleetpb.Member{}}, &fleetpb.Heartbeat{From: &fleetpb.Member{}}
	report := &service.RolloutReport{States: []service.RolloutReportState{{Service: "s", To: "v2", Phase: service.RolloutRunning}}}
	fleetpb.SetRollout(good, report)
	fleetpb.SetRollout(bad, &service.RolloutReport{States: []service.RolloutReportState{{Service: "s", To: "v2"}}})
	for _, m := range []*fleetpb.Heartbeat{good, bad, none} {
		s.receiveRollouts(p, m, time.Second)
	}
	require.Equal(t, []*service.RolloutReport{report, nil, nil}, rollouts.reports["other-0"])
	require.Equal(t, int64(1), s.badRollouts.Count())
}
