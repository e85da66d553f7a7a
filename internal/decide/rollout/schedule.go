// Package rollout decides on the traffic of a service while it moves to backends of another version: which share goes to the new
// version and to which of its backends, whether the new version is worse than the old one, and when the rollout enters its next phase.
package rollout

import "time"

// Phase is the progress of a rollout. Phases only advance.
type Phase uint8

// Phases of a rollout.
const (
	// Running means that the new version gets a small share of the requests, by which it is compared with the old one.
	Running Phase = iota + 1
	// Switching means that all new requests go to the new version while requests in progress at the old one end.
	Switching
	// Completed means that the new version serves all requests.
	Completed
	// RolledBack means that the new version gets no requests.
	RolledBack
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Switching:
		return "switching"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	default:
		return "none"
	}
}

// Ended reports whether the rollout has reached its last phase.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Supersedes reports whether an instance that applies the phase old has to change to p, both being phases of the same rollout.
func (p Phase) Supersedes(old Phase) bool { return p > old && old != Completed }

// Reasons of a change of phase that do not come from the comparison.
const (
	ReasonOrdered     = "ordered"
	ReasonWithdrawn   = "order withdrawn"
	ReasonReplaced    = "order replaced"
	ReasonGood        = "not found worse than the old version"
	ReasonMoved       = "no request is in progress at the old version"
	ReasonNoEvidence  = "no evidence"
	ReasonTooFew      = "too few backends"
	ReasonNotFinished = "switch not finished"
)

// Parts of an order's time.
const (
	// maxSwitchTime and switchPart bound the time that is reserved for the switch at the end of the order's time. The share stays small
	// until then, since a version that turns bad late must still stay within the exposure limit.
	maxSwitchTime = 4 * time.Second
	switchPart    = 0.4
	// watchPart is the part of the switch time during which the new version is watched under the full load before it is completed, and
	// for which the switch is put off if there is some evidence against the version.
	watchPart = 0.5
	// decideBefore is how long before the end an order is rolled back that has no evidence, so that the result is written in time.
	decideBefore = 500 * time.Millisecond
	// tooFewBefore is how long before the end an order is rolled back that has too few backends of the new version.
	tooFewBefore = 1500 * time.Millisecond
	// overtime is how long after the end a switch may take that only waits for confirmations. Rolling back a good version is the
	// larger fault.
	overtime = 1500 * time.Millisecond
	// usedShare is the part of the exposure limit that the share uses. The rest is left for the time until a version that turns bad
	// during the switch is rolled back.
	usedShare = 0.8
	// firstShare is the part of the share at the time of the order, which rises to the whole during riseTime at most. A version that
	// is bad at once is found by the first tens of answers.
	firstShare = 0.4
	riseTime   = 2 * time.Second
	risePart   = 0.15
	// slotsPart is the part of the old version's slots that the new version must have at the switch.
	slotsPart = 0.5
)

func switchTime(duration time.Duration) time.Duration {
	return min(maxSwitchTime, time.Duration(switchPart*float64(duration)))
}

// SwitchAt returns the age of an order at which the switch begins.
func SwitchAt(duration time.Duration) time.Duration { return duration - switchTime(duration) }

// Share returns the share of a service's requests that may go to the new version at the given age of the order. Limit is the exposure
// limit, a fraction.
func Share(age, duration time.Duration, limit float64) float64 {
	rise := min(riseTime, time.Duration(risePart*float64(duration)))
	part := 1.0
	if age < rise {
		part = firstShare + (1-firstShare)*max(age.Seconds(), 0)/rise.Seconds()
	}
	return usedShare * limit * part
}

// Progress is what the coordinator of a rollout knows of it.
type Progress struct {
	Phase    Phase
	Age      time.Duration // of the order
	Duration time.Duration
	// Withdrawn and Replaced mean that the order is no longer in force.
	Withdrawn, Replaced bool
	Verdict             Verdict
	// NewAnswers is the number of answers of the new version.
	NewAnswers uint64
	// NewSlots and OldSlots are the slots of the usable backends of each version.
	NewSlots, OldSlots int
	// Majority means that the coordinator reaches at least half of the instances. Otherwise it may be the isolated one, and it only
	// rolls back.
	Majority bool
	// Applied means that every reachable instance applies the phase Switching and has no request in progress at old backends.
	Applied bool
	// KeysMoved means that no key has an owner of an old version. It is always true for services that are not partitioned.
	KeysMoved bool
}

// Next returns the phase that follows from the progress, with the reason if it differs from the present one.
func Next(p Progress) (Phase, string) {
	switch {
	case p.Phase.Ended():
		return p.Phase, ""
	case p.Withdrawn:
		return RolledBack, ReasonWithdrawn
	case p.Replaced:
		return RolledBack, ReasonReplaced
	case p.Verdict.Bad:
		return RolledBack, p.Verdict.Reason
	case p.Phase == Running:
		return nextOfRunning(p)
	default:
		return nextOfSwitching(p)
	}
}

func nextOfRunning(p Progress) (Phase, string) {
	start := SwitchAt(p.Duration)
	if p.Verdict.Suspect {
		start += time.Duration(watchPart * float64(switchTime(p.Duration)))
	}
	enough := p.NewSlots > 0 && float64(p.NewSlots) >= slotsPart*float64(p.OldSlots)
	switch {
	case p.Age < start:
		return Running, ""
	case p.Verdict.Likely:
		return RolledBack, p.Verdict.Reason
	case enough && p.NewAnswers > 0 && p.Majority:
		return Switching, ReasonGood
	case !enough && p.Age >= p.Duration-tooFewBefore:
		return RolledBack, ReasonTooFew
	case p.NewAnswers == 0 && p.Age >= p.Duration-decideBefore:
		return RolledBack, ReasonNoEvidence
	case p.Age >= p.Duration+overtime:
		return RolledBack, ReasonNotFinished
	}
	return Running, ""
}

func nextOfSwitching(p Progress) (Phase, string) {
	watched := SwitchAt(p.Duration) + time.Duration(watchPart*float64(switchTime(p.Duration)))
	if p.Verdict.Suspect {
		watched = p.Duration - decideBefore
	}
	switch {
	case p.Age >= watched && p.Applied && p.KeysMoved && p.Majority && p.NewSlots > 0:
		return Completed, ReasonMoved
	case p.Age >= p.Duration+overtime:
		return RolledBack, ReasonNotFinished
	}
	return Switching, ""
}
