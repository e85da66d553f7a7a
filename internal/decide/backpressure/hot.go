package backpressure

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// hotCounters is the number of keys that are counted at the same time. A key with more than 1/64 of the requests is always
// among them.
const hotCounters = 64

// HotCount is a key with an upper bound of the number of its requests.
type HotCount struct {
	Service  entity.ServiceName
	Hash     entity.KeyHash
	Requests uint64
}

// HotKeys finds the keys with the most requests by the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005). It is not
// safe for concurrent use.
type HotKeys struct {
	index  map[entity.KeyHash]int
	counts []HotCount
}

// NewHotKeys returns an empty count.
func NewHotKeys() *HotKeys {
	return &HotKeys{index: make(map[entity.KeyHash]int, hotCounters), counts: make([]HotCount, 0, hotCounters)}
}

// Add counts one request for a key.
func (h *HotKeys) Add(service entity.ServiceName, hash entity.KeyHash) {
	if i, ok := h.index[hash]; ok {
		h.counts[i].Requests++
		return
	}
	if len(h.counts) < hotCounters {
		h.index[hash] = len(h.counts)
		h.counts = append(h.counts, HotCount{service, hash, 1})
		return
	}
	least := 0
	for i := range h.counts {
		if h.counts[i].Requests < h.counts[least].Requests {
			least = i
		}
	}
	delete(h.index, h.counts[least].Hash)
	h.index[hash] = least
	h.counts[least] = HotCount{service, hash, h.counts[least].Requests + 1}
}

// Top returns at most n keys, those with the most requests first, and resets the count.
func (h *HotKeys) Top(n int) []HotCount {
	sorted := slices.Clone(h.counts)
	slices.SortFunc(sorted, func(a, b HotCount) int {
		if a.Requests != b.Requests {
			return int(b.Requests) - int(a.Requests)
		}
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	clear(h.index)
	h.counts = h.counts[:0]
	return sorted[:min(n, len(sorted))]
}
