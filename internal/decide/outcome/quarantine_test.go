package outcome_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
)

// Guards against a request that crashes every back end and is never held back, and against innocents that are, however
// the requests are mixed. The simulated back end has two slots, and a crash breaks whatever runs on it.
func TestOnlyTheRequestThatCrashesIsHeldBack(t *testing.T) {
	killer := outcome.Suspect{Customer: "c", Fingerprint: 99}
	rapid.Check(t, func(t *rapid.T) {
		q := outcome.NewQuarantine()
		var evidence outcome.Evidence
		now, crashes := time.Duration(0), 0
		for range rapid.IntRange(20, 60).Draw(t, "rounds") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			var running []outcome.Suspect
			alone := false
			for range 2 {
				s := outcome.Suspect{Customer: "c", Fingerprint: uint64(rapid.IntRange(0, 3).Draw(t, "request"))}
				if rapid.Bool().Draw(t, "killer") {
					s = killer
				}
				switch q.Treat(s, now) {
				case outcome.TreatHeld:
					if s != killer {
						t.Fatalf("innocent request %d is held back", s.Fingerprint)
					}
				case outcome.TreatAlone:
					if len(running) == 0 && !alone {
						running, alone = append(running, s), true
					}
				default:
					if !alone {
						running = append(running, s)
					}
				}
			}
			crash := false
			for _, s := range running {
				crash = crash || s == killer
			}
			if !crash {
				for _, s := range running {
					q.Clear(s)
				}
				continue
			}
			crashes++
			for _, s := range running {
				evidence.RecordBroken(s, 0, now)
				q.Suspect(s, now)
			}
			if blamed, ok := evidence.ProcessChanged(now + time.Millisecond); ok {
				q.Blame(blamed, now)
			}
		}
		// One crash among others makes suspects, and two alone hold the request back.
		if crashes > 3 {
			t.Fatalf("%d crashes by the same request", crashes)
		}
	})
}
