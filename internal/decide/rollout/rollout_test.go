package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/rollout"
)

// Guards against an instance that exceeds its share of requests to the new version, or does not use it, also when the share changes,
// when requests are not sent after all, and after a time without canaries.
func TestMeterKeepsToTheShare(t *testing.T) {
	const share, burst = 0.08, 2.0
	m := rollout.NewMeter(burst)
	sentNew, all := 0, 0
	now := time.Duration(0)
	for i := range 20000 {
		now += 2 * time.Millisecond
		usable := i < 8000 || i > 12000
		toNew := usable && m.Reserve(now)
		if toNew && i%50 == 0 {
			continue // no free slot
		}
		m.Sent(toNew, share)
		all++
		if toNew {
			sentNew++
		}
		require.LessOrEqual(t, float64(sentNew), share*float64(all)+burst)
	}
	require.Greater(t, float64(sentNew), 0.9*share*16000)
}

// Guards against bursts whose sum over all instances exceeds the slack.
func TestBurstsTogetherAreHalfOfTheSlack(t *testing.T) {
	for _, n := range []int{1, 8, 195, 10000} {
		require.InDelta(t, 25, float64(n)*rollout.Burst(50, n), 1e-9)
	}
}

// Guards against instances that choose different canaries, against cold ones while there are warm ones, and against a load of the
// canaries that differs from the one after the switch.
func TestCanariesAreTheSameOnAllInstances(t *testing.T) {
	var list, reversed []rollout.Backend
	for i := range 40 {
		list = append(list, rollout.Backend{ID: fmt.Sprint("b", i), Cold: i >= 30})
		reversed = append([]rollout.Backend{list[i]}, reversed...)
	}
	order := rollout.Order("s/v2", list)
	require.Equal(t, order, rollout.Order("s/v2", reversed))
	for i, b := range order {
		require.Equal(t, i >= 30, b.Cold)
	}
	require.NotEqual(t, order, rollout.Order("s/v3", list))
	for backends, want := range map[int]int{0: 0, 1: 1, 2: 2, 10: 2, 40: 3, 100: 8} {
		require.Equal(t, want, rollout.Canaries(backends, 0.08), "%d backends", backends)
	}
}

// Guards against a phase that follows too early, too late or from the wrong one: each row is a state and the phase that must follow.
func TestNextPhase(t *testing.T) {
	base := rollout.Progress{
		Phase: rollout.Running, Duration: 12 * time.Second, NewAnswers: 50, NewSlots: 10, OldSlots: 10, Majority: true, Applied: true, KeysMoved: true,
	}
	bad := rollout.Verdict{Bad: true, Reason: "bad"}
	switching := func(p *rollout.Progress) { p.Phase = rollout.Switching }
	for name, row := range map[string]struct {
		age    time.Duration
		change func(p *rollout.Progress)
		want   rollout.Phase
		reason string
	}{
		"share stays small":       {7900 * time.Millisecond, nil, rollout.Running, ""},
		"switch":                  {8 * time.Second, nil, rollout.Switching, rollout.ReasonGood},
		"bad":                     {time.Second, func(p *rollout.Progress) { p.Verdict = bad }, rollout.RolledBack, "bad"},
		"suspect":                 {9 * time.Second, func(p *rollout.Progress) { p.Verdict.Suspect = true }, rollout.Running, ""},
		"suspect for long":        {10 * time.Second, func(p *rollout.Progress) { p.Verdict.Suspect = true }, rollout.Switching, rollout.ReasonGood},
		"likely at the switch":    {10 * time.Second, func(p *rollout.Progress) { p.Verdict.Likely = true }, rollout.RolledBack, ""},
		"withdrawn":               {time.Second, func(p *rollout.Progress) { p.Withdrawn = true }, rollout.RolledBack, rollout.ReasonWithdrawn},
		"replaced":                {time.Second, func(p *rollout.Progress) { p.Replaced = true }, rollout.RolledBack, rollout.ReasonReplaced},
		"few new backends":        {10 * time.Second, func(p *rollout.Progress) { p.NewSlots = 4 }, rollout.Running, ""},
		"few until the end":       {10500 * time.Millisecond, func(p *rollout.Progress) { p.NewSlots = 4 }, rollout.RolledBack, rollout.ReasonTooFew},
		"no answers yet":          {10 * time.Second, func(p *rollout.Progress) { p.NewAnswers = 0 }, rollout.Running, ""},
		"no answers until end":    {11500 * time.Millisecond, func(p *rollout.Progress) { p.NewAnswers = 0 }, rollout.RolledBack, rollout.ReasonNoEvidence},
		"isolated coordinator":    {11 * time.Second, func(p *rollout.Progress) { p.Majority = false }, rollout.Running, ""},
		"watched after switch":    {9 * time.Second, switching, rollout.Switching, ""},
		"completed":               {10 * time.Second, switching, rollout.Completed, rollout.ReasonMoved},
		"requests in progress":    {12 * time.Second, func(p *rollout.Progress) { switching(p); p.Applied = false }, rollout.Switching, ""},
		"in progress for long":    {13500 * time.Millisecond, func(p *rollout.Progress) { switching(p); p.Applied = false }, rollout.RolledBack, rollout.ReasonNotFinished},
		"keys not moved":          {11 * time.Second, func(p *rollout.Progress) { switching(p); p.KeysMoved = false }, rollout.Switching, ""},
		"bad after the switch":    {11 * time.Second, func(p *rollout.Progress) { switching(p); p.Verdict = bad }, rollout.RolledBack, "bad"},
		"completed stays":         {11 * time.Second, func(p *rollout.Progress) { p.Phase = rollout.Completed; p.Verdict = bad }, rollout.Completed, ""},
		"rolled back stays":       {11 * time.Second, func(p *rollout.Progress) { p.Phase = rollout.RolledBack }, rollout.RolledBack, ""},
		"old backends gone early": {8 * time.Second, func(p *rollout.Progress) { p.OldSlots = 0 }, rollout.Switching, rollout.ReasonGood},
	} {
		p := base
		p.Age = row.age
		if row.change != nil {
			row.change(&p)
		}
		phase, reason := rollout.Next(p)
		require.Equal(t, row.want, phase, name)
		require.Equal(t, row.reason, reason, name)
	}
}

// Guards against a phase that goes back when states arrive in another order than they were written.
func TestPhasesOnlyAdvance(t *testing.T) {
	all := []rollout.Phase{rollout.Running, rollout.Switching, rollout.Completed, rollout.RolledBack}
	for i, p := range all {
		for j, old := range all {
			require.Equal(t, i > j && old != rollout.Completed, p.Supersedes(old), "%v after %v", p, old)
		}
	}
}

// Guards against a share that exceeds the limit, and against a switch that leaves too little time for it.
func TestShareStaysBelowTheLimit(t *testing.T) {
	for _, d := range []time.Duration{5 * time.Second, 12 * time.Second, time.Minute} {
		last := 0.0
		for age := time.Duration(0); age < d; age += 100 * time.Millisecond {
			share := rollout.Share(age, d, 0.1)
			require.GreaterOrEqual(t, share, last)
			last = share
		}
		require.InDelta(t, 0.08, last, 1e-9)
	}
	require.Equal(t, 8*time.Second, rollout.SwitchAt(12*time.Second))
	require.Equal(t, 3*time.Second, rollout.SwitchAt(5*time.Second))
}
