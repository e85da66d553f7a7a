package outcome_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
)

// Guards against a request that crashes every backend and is never quarantined, and against other requests that are quarantined,
// in any mix of requests. The simulated backend has two slots, and a crash affects all requests that are running on it.
func TestOnlyTheRequestThatCrashesIsQuarantined(t *testing.T) {
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
				case outcome.TreatQuarantined:
					if s != killer {
						t.Fatalf("request %d is quarantined although it did not crash the backend", s.Fingerprint)
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
		// A crash with other requests in flight marks suspects; two crashes of a request that runs alone quarantine it.
		if crashes > 3 {
			t.Fatalf("%d crashes by the same request", crashes)
		}
	})
}
