package rollout

import (
	"math"
	"slices"

	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
)

// Backend is a usable backend of the new version.
type Backend struct {
	ID   string
	Cold bool
}

// minCanaries is the smallest number of canaries where there are as many backends. A fault of one of two does not look like one of
// the version.
const minCanaries = 2

// Order returns the backends in the order in which they become canaries, which is the same on all instances: warm ones first, then by
// rendezvous hashing over the order's name.
func Order(order string, backends []Backend) []Backend {
	ordered := rendezvous.OrderBy(order, backends, func(b Backend) string { return b.ID })
	slices.SortStableFunc(ordered, func(a, b Backend) int {
		switch {
		case a.Cold == b.Cold:
			return 0
		case a.Cold:
			return 1
		default:
			return -1
		}
	})
	return ordered
}

// Canaries returns the number of backends, out of the given number, to which the share is sent. Each of them then gets about the load
// that it will have after the switch, so that a version that fails only under load is found before.
func Canaries(backends int, share float64) int {
	return min(max(int(math.Round(share*float64(backends))), minCanaries), backends)
}
