package outcome

import "time"

// Copies holds the records that the primaries of other back ends have given to this instance.
type Copies struct {
	limits   Limits
	records  map[Key]*copied
	ages     aging[*copied]
	horizons map[PartitionKey]*copied
	bytes    int
}

type copied struct {
	record Record // as it was at stored
	stored time.Duration
}

// NewCopies returns an empty store.
func NewCopies(limits Limits) *Copies {
	return &Copies{
		limits:   limits,
		records:  map[Key]*copied{},
		ages:     newAging[*copied](limits.Window),
		horizons: map[PartitionKey]*copied{},
	}
}

// Store keeps the records. It reports false, and keeps none of the new keys, if there is no room for all of them: the
// primary then asks another member. An older version never replaces a newer one, so late and repeated copies are harmless.
func (c *Copies) Store(records []Record, now time.Duration) bool {
	c.expire(now)
	if len(c.records)+len(records) > c.limits.Entries {
		return false
	}
	for _, r := range records {
		switch r.State {
		case StateHorizon:
			c.storeHorizon(r, now)
		case StateBlamed:
			// Blames belong to the quarantine.
		default:
			c.store(r, now)
		}
	}
	return true
}

func (c *Copies) store(r Record, now time.Duration) {
	if r.Answer != nil && c.bytes+r.Answer.size() > c.limits.AnswerBytes {
		r.Answer = nil
	}
	old, ok := c.records[r.Key]
	if ok && !old.record.Version.Less(r.Version) {
		return
	}
	if ok {
		c.bytes -= old.record.Answer.size()
	}
	held := &copied{r, now}
	c.records[r.Key] = held
	c.bytes += r.Answer.size()
	c.ages.add(now, held)
}

func (c *Copies) storeHorizon(r Record, now time.Duration) {
	p := r.PartitionKey()
	if old, ok := c.horizons[p]; ok {
		known := old.record.Version
		if r.Version.Less(known) || (r.Version == known && r.Confirmed == 0) {
			return
		}
	}
	c.horizons[p] = &copied{r, now}
}

func (c *Copies) expire(now time.Duration) {
	if now < c.limits.Window {
		return
	}
	c.ages.expire(now-c.limits.Window, func(held *copied) {
		if c.records[held.record.Key] != held {
			return
		}
		delete(c.records, held.record.Key)
		c.bytes -= held.record.Answer.size()
	})
	for p, held := range c.horizons {
		// After a window a horizon limits nothing and its complete copy holds nothing any more.
		if now-held.stored > c.limits.Window {
			delete(c.horizons, p)
		}
	}
}

// Export returns the records of the partitions with their horizons, including withdrawals.
func (c *Copies) Export(partitions []PartitionKey, now time.Duration) []Record {
	c.expire(now)
	wanted := filter(partitions)
	var records []Record
	for _, held := range c.records {
		if wanted(held.record.PartitionKey()) {
			records = append(records, held.aged(now))
		}
	}
	for p, held := range c.horizons {
		if wanted(p) {
			records = append(records, held.aged(now))
		}
	}
	return records
}

func (h *copied) aged(now time.Duration) Record {
	r := h.record
	held := now - h.stored
	r.Age += held
	if r.Confirmed > 0 {
		r.Confirmed += held
	}
	return r
}
