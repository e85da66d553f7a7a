package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// node is the planned state of one back end.
type node struct {
	Backend
	capacity float64
	load     float64 // of the partitions owned or coming
	owned    int     // partitions served now and not moving away
	incoming int     // partitions on the way here
	parts    []entity.Partition
	sorted   bool
	inHeap   int // index in the receivers, -1 if not there
	inDonors int // index in the donors, -1 if not there
}

// rho is the load relative to the capacity. Only comparisons and differences matter, so it is scaled by the caller.
func (n *node) rho(extra float64) float64 { return (n.load + extra) / n.capacity }

// room is the number of partitions that the back end may receive in this step: as many as it serves, and at least its
// slots. A cold back end therefore fills up in doubling steps.
func (n *node) room() int { return max(n.Slots, n.owned) - n.incoming }

type plan struct {
	in        Input
	settings  Settings
	nodes     map[entity.BackendID]*node
	receivers nodeHeap
	donors    nodeHeap
	weights   []float64 // load of each partition; the base partitions have 1 on average
	fair      float64   // total load divided by total capacity
	budget    int       // moves that may still start and are not due to a loss
	moves     []Move
}

func newPlan(in Input, settings Settings) *plan {
	p := &plan{in: in, settings: settings, nodes: make(map[entity.BackendID]*node, len(in.Backends))}
	for _, b := range in.Backends {
		p.addNode(b)
	}
	p.weigh()
	total, capacity := 0.0, 0.0
	for i, owner := range in.Owners {
		if p.unused(entity.Partition(i)) {
			continue
		}
		total += p.weights[i]
		p.count(entity.Partition(i), owner)
	}
	// The order of a sum decides its last bits, so the map's order must not.
	for _, n := range p.ordered() {
		if n.State == Active {
			capacity += n.capacity
		}
	}
	p.fair = total / max(capacity, minCapacity)
	p.budget += int(float64(len(in.Owners))*settings.MaxMoves) + 1
	p.receivers = newHeap(p.nodes, lessLoaded, func(n *node) *int { return &n.inHeap })
	p.donors = newHeap(p.nodes, moreLoaded, func(n *node) *int { return &n.inDonors })
	return p
}

// minCapacity keeps divisions finite for back ends without slots.
const minCapacity = 1e-9

func (p *plan) addNode(b Backend) {
	if b.Factor <= 0 || b.Factor > 1 {
		b.Factor = 1
	}
	capacity := max(float64(b.Slots)*b.Factor, minCapacity)
	p.nodes[b.ID] = &node{Backend: b, capacity: capacity, inHeap: -1, inDonors: -1}
}

// unused reports whether a virtual partition belongs to no hot key.
func (p *plan) unused(partition entity.Partition) bool {
	return uint32(partition) >= p.in.Count && p.in.Owners[partition].Backend == ""
}

// weigh sets the load of each partition: one half counts the partition and one half is the measured load, if it is known
// for all owners. The constant half damps the noise of the measurement and spreads idle keys.
func (p *plan) weigh() {
	p.weights = make([]float64, len(p.in.Owners))
	rates, sum, known := p.rates()
	for i := range p.weights {
		p.weights[i] = 1
		if known && sum > 0 {
			p.weights[i] = 0.5 + 0.5*rates[i]*float64(p.in.Count)/sum
		}
	}
}

// rates estimates each partition's requests per second: virtual ones are measured, and the rest of a back end's load is
// spread evenly over its base partitions.
func (p *plan) rates() (rates []float64, sum float64, known bool) {
	rates = make([]float64, len(p.in.Owners))
	bases := make(map[entity.BackendID]int, len(p.nodes))
	rest := make(map[entity.BackendID]float64, len(p.nodes))
	for id, n := range p.nodes {
		rest[id] = n.Rate
	}
	for i, owner := range p.in.Owners {
		n, ok := p.nodes[owner.Backend]
		if owner.Backend != "" && (!ok || n.Rate < 0) {
			return nil, 0, false
		}
		if uint32(i) < p.in.Count {
			bases[owner.Backend]++
			continue
		}
		rates[i] = p.in.VirtualRate[entity.Partition(i)]
		rest[owner.Backend] -= rates[i]
		sum += rates[i]
	}
	for i := range p.in.Count {
		owner := p.in.Owners[i].Backend
		if owner != "" {
			rates[i] = max(rest[owner], 0) / float64(bases[owner])
		}
		sum += rates[i]
	}
	return rates, sum, true
}

// count adds a partition to the back end that serves it or will serve it.
func (p *plan) count(partition entity.Partition, owner ownership.Owner) {
	if owner.Moving() {
		if n, ok := p.nodes[owner.To]; ok {
			n.load += p.weights[partition]
			n.incoming++
		}
		p.budget--
		return
	}
	if n, ok := p.nodes[owner.Backend]; ok {
		n.load += p.weights[partition]
		n.owned++
		n.parts = append(n.parts, partition)
	}
}

// placeOrphans gives partitions that nobody serves, or will serve, to the least loaded back ends at once.
func (p *plan) placeOrphans() {
	for i, owner := range p.in.Owners {
		partition := entity.Partition(i)
		if reason := p.orphaned(partition, owner); reason != "" {
			p.assign(partition, p.receivers.items[0], reason)
		}
	}
}

func (p *plan) orphaned(partition entity.Partition, owner ownership.Owner) Reason {
	switch {
	case p.unused(partition):
		return ""
	case owner.Backend == "":
		return ReasonUnowned
	case owner.Moving():
		if !p.takes(owner.To) {
			return ReasonRedirect
		}
		return ""
	}
	if n, ok := p.nodes[owner.Backend]; !ok || n.State == Lost {
		return ReasonLost
	}
	return ""
}

func (p *plan) takes(id entity.BackendID) bool {
	n, ok := p.nodes[id]
	return ok && n.State == Active
}

// assign plans a move of a partition that no active back end counts as its own.
func (p *plan) assign(partition entity.Partition, to *node, reason Reason) {
	p.moves = append(p.moves, Move{Partition: partition, To: to.ID, Reason: reason})
	to.load += p.weights[partition]
	to.incoming++
	heap.Fix(&p.receivers, to.inHeap)
	if to.inDonors >= 0 {
		heap.Fix(&p.donors, to.inDonors)
	}
}

// placeLeaving moves partitions off leaving back ends as far as the receivers have room.
func (p *plan) placeLeaving() {
	for _, n := range p.ordered() {
		if n.State != Leaving {
			continue
		}
		for _, partition := range n.parts {
			to := p.receiver()
			if to == nil || p.budget <= 0 {
				return
			}
			p.budget--
			p.assign(partition, to, ReasonLeaving)
		}
	}
}

// ordered returns the nodes in order of their ids.
func (p *plan) ordered() []*node {
	nodes := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// receiver returns the least loaded back end with room, nil if there is none. Those without room leave the heap.
func (p *plan) receiver() *node {
	for len(p.receivers.items) > 0 {
		n := p.receivers.items[0]
		if n.room() > 0 {
			return n
		}
		heap.Pop(&p.receivers)
	}
	return nil
}

// balance moves partitions from the most loaded to the least loaded back ends while the gain exceeds the cost.
func (p *plan) balance() {
	if p.fair <= 0 {
		return
	}
	threshold := p.settings.Unavailable.Seconds() / p.settings.Horizon.Seconds() * p.fair
	for p.budget > 0 && len(p.donors.items) > 0 {
		to := p.receiver()
		if to == nil {
			return
		}
		from := p.donors.items[0]
		if from.rho(0)-to.rho(0) <= threshold {
			return
		}
		i, ok := p.bestPart(from, to, threshold)
		if !ok {
			heap.Pop(&p.donors)
			continue
		}
		p.transfer(from, to, i)
	}
}

// bestPart returns the index of the heaviest partition whose move is worth its cost: it needs the fewest moves.
func (p *plan) bestPart(from, to *node, threshold float64) (int, bool) {
	if !from.sorted {
		slices.SortFunc(from.parts, func(a, b entity.Partition) int {
			return cmp.Or(cmp.Compare(p.weights[b], p.weights[a]), cmp.Compare(a, b))
		})
		from.sorted = true
	}
	for i, partition := range from.parts {
		if from.rho(0)-to.rho(p.weights[partition]) > threshold {
			return i, true
		}
	}
	return 0, false
}

func (p *plan) transfer(from, to *node, i int) {
	partition := from.parts[i]
	from.parts = slices.Delete(from.parts, i, i+1)
	from.load -= p.weights[partition]
	from.owned--
	p.budget--
	heap.Fix(&p.donors, from.inDonors)
	if from.inHeap >= 0 {
		heap.Fix(&p.receivers, from.inHeap)
	}
	p.assign(partition, to, ReasonBalance)
}
