package keys

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// heat is the requests by key of all instances within the window of the balance.
type heat struct {
	batches []heatBatch
}

type heatBatch struct {
	at   time.Duration
	keys []uint32
}

func (h *heat) add(keys []uint32, at time.Duration) {
	if len(keys) > 0 {
		h.batches = append(h.batches, heatBatch{at: at, keys: keys})
	}
}

func (h *heat) expire(now time.Duration) {
	i := 0
	for i < len(h.batches) && now-h.batches[i].at > keyrange.KeyLoadWindow {
		i++
	}
	h.batches = h.batches[i:]
}

func (h *heat) counts() keyrange.KeyLoad {
	counts := keyrange.KeyLoad{}
	for _, b := range h.batches {
		for _, k := range b.keys {
			counts[k]++
		}
	}
	return counts
}
