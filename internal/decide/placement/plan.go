package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// node is the planned state of one backend.
type node struct {
	Backend
	capacity   float64
	load       float64 // of the partitions that are owned or incoming
	owned      int     // partitions that are served now and not moving to another backend
	incoming   int     // partitions that are moving to this backend
	partitions []entity.Partition
	sorted     bool
	inHeap     int // index in the receivers, -1 if not there
	inDonors   int // index in the donors, -1 if not there
}

// rho returns the load, including extra, relative to the capacity. It is scaled by the caller, since only comparisons and
// differences matter.
func (n *node) rho(extra float64) float64 { return (n.load + extra) / n.capacity }

// receivable returns the number of partitions that the backend may still receive in this step: the larger of the number that it
// serves and its slots, less the incoming ones. A cold backend therefore gets at most one partition per slot in its first step,
// and the number of its partitions at most doubles in each later step.
func (n *node) receivable() int { return max(n.Slots, n.owned) - n.incoming }

type plan struct {
	in        Input
	settings  Settings
	nodes     map[entity.BackendID]*node
	receivers nodeHeap
	donors    nodeHeap
	weights   []float64 // load of each partition; the base partitions have 1 on average
	fair      float64   // total load divided by total capacity
	budget    int       // moves from leaving backends and for balance that may still start
	moves     []Move
}

func newPlan(in Input, settings Settings) *plan {
	p := &plan{in: in, settings: settings, nodes: make(map[entity.BackendID]*node, len(in.Backends))}
	for _, b := range in.Backends {
		p.addNode(b)
	}
	p.setWeights()
	total, capacity := 0.0, 0.0
	for i, owner := range in.Owners {
		if p.unused(entity.Partition(i)) {
			continue
		}
		total += p.weights[i]
		p.count(entity.Partition(i), owner)
	}
	// The order of summation affects the last bits of a sum, so it must not be the iteration order of the map.
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

// minCapacity keeps divisions finite for backends without slots.
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

// setWeights sets the load of each partition. One half is constant, and the other half is the measured load if it is known for
// all owners. The constant half damps the noise of the measurement and spreads idle keys.
func (p *plan) setWeights() {
	p.weights = make([]float64, len(p.in.Owners))
	rates, sum, known := p.rates()
	for i := range p.weights {
		p.weights[i] = 1
		if known && sum > 0 {
			p.weights[i] = 0.5 + 0.5*rates[i]*float64(p.in.Count)/sum
		}
	}
}

// rates estimates the requests per second of each partition. The rates of virtual partitions are measured; the remaining load
// of a backend is divided evenly between its base partitions.
func (p *plan) rates() (rates []float64, sum float64, known bool) {
	rates = make([]float64, len(p.in.Owners))
	basePartitions := make(map[entity.BackendID]int, len(p.nodes))
	remaining := make(map[entity.BackendID]float64, len(p.nodes))
	for id, n := range p.nodes {
		remaining[id] = n.Rate
	}
	for i, owner := range p.in.Owners {
		n, ok := p.nodes[owner.Backend]
		if owner.Backend != "" && (!ok || n.Rate < 0) {
			return nil, 0, false
		}
		if uint32(i) < p.in.Count {
			basePartitions[owner.Backend]++
			continue
		}
		rates[i] = p.in.VirtualRate[entity.Partition(i)]
		remaining[owner.Backend] -= rates[i]
		sum += rates[i]
	}
	for i := range p.in.Count {
		owner := p.in.Owners[i].Backend
		if owner != "" {
			rates[i] = max(remaining[owner], 0) / float64(basePartitions[owner])
		}
		sum += rates[i]
	}
	return rates, sum, true
}

// count adds a partition to the backend that serves it or will serve it.
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
		n.partitions = append(n.partitions, partition)
	}
}

// placeOrphans assigns partitions that no backend serves or will serve to the least loaded backends at once.
func (p *plan) placeOrphans() {
	for i, owner := range p.in.Owners {
		partition := entity.Partition(i)
		if reason := p.orphanReason(partition, owner); reason != "" {
			p.assign(partition, p.receivers.items[0], reason)
		}
	}
}

func (p *plan) orphanReason(partition entity.Partition, owner ownership.Owner) Reason {
	switch {
	case p.unused(partition):
		return ""
	case owner.Backend == "":
		return ReasonUnowned
	case owner.Moving():
		if !p.isActive(owner.To) {
			return ReasonRedirect
		}
		return ""
	}
	if n, ok := p.nodes[owner.Backend]; !ok || n.State == Lost {
		return ReasonLost
	}
	return ""
}

func (p *plan) isActive(id entity.BackendID) bool {
	n, ok := p.nodes[id]
	return ok && n.State == Active
}

// assign plans the move of a partition that is not counted for any active backend.
func (p *plan) assign(partition entity.Partition, to *node, reason Reason) {
	p.moves = append(p.moves, Move{Partition: partition, To: to.ID, Reason: reason})
	to.load += p.weights[partition]
	to.incoming++
	heap.Fix(&p.receivers, to.inHeap)
	if to.inDonors >= 0 {
		heap.Fix(&p.donors, to.inDonors)
	}
}

// placeLeaving moves partitions from leaving backends while receivers can take more and the budget lasts.
func (p *plan) placeLeaving() {
	for _, n := range p.ordered() {
		if n.State != Leaving {
			continue
		}
		for _, partition := range n.partitions {
			to := p.receiver()
			if to == nil || p.budget <= 0 {
				return
			}
			p.budget--
			p.assign(partition, to, ReasonLeaving)
		}
	}
}

// ordered returns the nodes in the order of their ids.
func (p *plan) ordered() []*node {
	nodes := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// receiver returns the least loaded backend that may receive partitions, nil if there is none. Backends that may receive no
// more are removed from the heap.
func (p *plan) receiver() *node {
	for len(p.receivers.items) > 0 {
		n := p.receivers.items[0]
		if n.receivable() > 0 {
			return n
		}
		heap.Pop(&p.receivers)
	}
	return nil
}

// balance moves partitions from the most loaded to the least loaded backends while the gain exceeds the cost.
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
		i, ok := p.bestPartition(from, to, threshold)
		if !ok {
			heap.Pop(&p.donors)
			continue
		}
		p.transfer(from, to, i)
	}
}

// bestPartition returns the index of the heaviest partition whose move is worth its cost. Moving heavy partitions first needs
// the fewest moves.
func (p *plan) bestPartition(from, to *node, threshold float64) (int, bool) {
	if !from.sorted {
		slices.SortFunc(from.partitions, func(a, b entity.Partition) int {
			return cmp.Or(cmp.Compare(p.weights[b], p.weights[a]), cmp.Compare(a, b))
		})
		from.sorted = true
	}
	for i, partition := range from.partitions {
		if from.rho(0)-to.rho(p.weights[partition]) > threshold {
			return i, true
		}
	}
	return 0, false
}

func (p *plan) transfer(from, to *node, i int) {
	partition := from.partitions[i]
	from.partitions = slices.Delete(from.partitions, i, i+1)
	from.load -= p.weights[partition]
	from.owned--
	p.budget--
	heap.Fix(&p.donors, from.inDonors)
	if from.inHeap >= 0 {
		heap.Fix(&p.receivers, from.inHeap)
	}
	p.assign(partition, to, ReasonBalance)
}
