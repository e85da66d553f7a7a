package outcome

import (
	"slices"
	"time"
)

// Import merges records of other instances. If there are several records of a key, the newest counts. A running request becomes
// unknown, because its previous primary no longer reports its result here.
func (m *Memory) Import(records []Record, now time.Duration) {
	for key, r := range newestByKey(records) {
		if r.State == StateForgotten || r.Age >= m.limits.Window {
			continue
		}
		old, ok := m.entries[key]
		if ok && (old.local || !old.version.Less(r.Version)) {
			continue
		}
		if ok {
			m.dropAnswer(old)
		}
		m.insert(r, now)
	}
}

// insert adds a record of a request that does not run in this process. It ignores Limits.Entries, since a repeat of the request
// could run if its key were lost. The window still bounds the number of keys.
func (m *Memory) insert(r Record, now time.Duration) {
	e := &entry{
		key:         r.Key,
		fingerprint: r.Fingerprint,
		partition:   r.Partition,
		state:       r.State,
		version:     r.Version,
		at:          now - r.Age,
	}
	if e.state == StateRunning {
		e.state = StateUnknown
	}
	m.entries[r.Key] = e
	m.ages.add(e.at, e)
	if r.Answer != nil {
		m.storeAnswer(e, r.Answer)
	}
}

// newestByKey returns the newest record of each key. Horizons and blames are left out.
func newestByKey(records []Record) map[Key]Record {
	best := make(map[Key]Record, len(records))
	for _, r := range records {
		if r.State > StateForgotten {
			continue
		}
		old, ok := best[r.Key]
		if !ok || old.Version.Less(r.Version) {
			best[r.Key] = r
		}
	}
	return best
}

// Export returns the records of the partitions and their horizons. Nil means all partitions.
func (m *Memory) Export(partitions []PartitionKey, now time.Duration) []Record {
	m.expire(now)
	included := filter(partitions)
	records := make([]Record, 0, len(m.entries))
	for _, e := range m.entries {
		if included(PartitionKey{e.key.Service, e.partition}) {
			records = append(records, e.record(now))
		}
	}
	for p, h := range m.horizons {
		if included(p) {
			records = append(records, h.record(p, now))
		}
	}
	return records
}

func filter(partitions []PartitionKey) func(PartitionKey) bool {
	if partitions == nil {
		return func(PartitionKey) bool { return true }
	}
	set := make(map[PartitionKey]struct{}, len(partitions))
	for _, p := range partitions {
		set[p] = struct{}{}
	}
	return func(p PartitionKey) bool {
		_, ok := set[p]
		return ok
	}
}

// confirmMargin is subtracted from the time of a complete copy to allow for the transfer of the copy to its holder.
const confirmMargin = 2 * time.Second

// Horizon returns the completeness horizon of a partition: the time since which the instances of a lease group together have
// every at-most-once request.
//
// Each request is recorded at its primary and at one more member before it is sent. It is therefore still recorded if at most
// one member has lost its memory. since contains one time for each member of the group: the time since which the member has every
// record that it received, which is its start time, or now if it does not answer. Earlier requests are recorded as well if a
// member that answered has a complete copy that was made later. The horizon that an earlier primary has recorded limits the
// result.
func Horizon(since []time.Duration, records []Record, p PartitionKey, now time.Duration) time.Duration {
	group := now
	sorted := slices.Clone(since)
	slices.Sort(sorted)
	switch n := len(sorted); n {
	case 0:
	case 1:
		group = sorted[0]
	default:
		group = sorted[n-2]
	}
	recorded, ok := recordedHorizon(records, p)
	if !ok {
		return group
	}
	return max(extend(group, records, p, now), now-recorded.Age)
}

// extend moves the horizon of the group back to the earliest horizon of the complete copies that were made after it.
func extend(group time.Duration, records []Record, p PartitionKey, now time.Duration) time.Duration {
	extended := group
	for i := range records {
		r := &records[i]
		if r.State != StateHorizon || r.PartitionKey() != p || r.Confirmed <= 0 {
			continue
		}
		if group <= now-r.Confirmed-confirmMargin {
			extended = min(extended, now-r.Age)
		}
	}
	return extended
}

// recordedHorizon returns the newest horizon record of the partition, and false if there is none.
func recordedHorizon(records []Record, p PartitionKey) (Record, bool) {
	var best Record
	found := false
	for _, r := range records {
		if r.State != StateHorizon || r.PartitionKey() != p {
			continue
		}
		if !found || best.Version.Less(r.Version) {
			best, found = r, true
		}
	}
	return best, found
}
