package keys

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// keyLoad holds the keys requested at all instances within keyrange.KeyLoadWindow, or within keyrange.ExposureWindow if long is set.
type keyLoad struct {
	batches []keyLoadBatch
	long    bool
}

type keyLoadBatch struct {
	at   time.Duration
	keys []uint32
}

func (h *keyLoad) add(keys []uint32, at time.Duration) {
	if len(keys) > 0 {
		h.batches = append(h.batches, keyLoadBatch{at: at, keys: keys})
	}
}

func (h *keyLoad) expire(now time.Duration) {
	i, window := 0, keyrange.KeyLoadWindow
	if h.long {
		window = keyrange.ExposureWindow
	}
	for i < len(h.batches) && now-h.batches[i].at > window {
		i++
	}
	h.batches = h.batches[i:]
}

// counts returns the number of requests by key within a window.
func (h *keyLoad) counts(now, window time.Duration) keyrange.KeyLoad {
	counts := keyrange.KeyLoad{}
	for _, b := range h.batches {
		if now-b.at > window {
			continue
		}
		for _, k := range b.keys {
			counts[k]++
		}
	}
	return counts
}
