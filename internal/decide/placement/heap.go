package placement

import (
	"container/heap"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// nodeHeap orders backends by load. Equal loads are ordered by id, so that the result does not depend on the iteration order of
// the map.
type nodeHeap struct {
	items []*node
	less  func(a, b *node) bool
	index func(*node) *int
}

func lessLoaded(a, b *node) bool {
	if x, y := a.rho(0), b.rho(0); x != y {
		return x < y
	}
	return a.ID < b.ID
}

func moreLoaded(a, b *node) bool {
	if x, y := a.rho(0), b.rho(0); x != y {
		return x > y
	}
	return a.ID < b.ID
}

// newHeap returns a heap of the active backends that have slots.
func newHeap(nodes map[entity.BackendID]*node, less func(a, b *node) bool, index func(*node) *int) nodeHeap {
	h := nodeHeap{less: less, index: index}
	for _, n := range nodes {
		if n.State != Active || n.Slots <= 0 {
			continue
		}
		*index(n) = len(h.items)
		h.items = append(h.items, n)
	}
	heap.Init(&h)
	return h
}

// Len returns the number of backends.
func (h *nodeHeap) Len() int { return len(h.items) }

// Less compares two backends.
func (h *nodeHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap exchanges two backends.
func (h *nodeHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push adds a backend.
func (h *nodeHeap) Push(x any) {
	n := x.(*node)
	*h.index(n) = len(h.items)
	h.items = append(h.items, n)
}

// Pop removes the last backend.
func (h *nodeHeap) Pop() any {
	last := len(h.items) - 1
	n := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.index(n) = -1
	return n
}
