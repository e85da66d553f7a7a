package outcome

import "time"

// Copies stores the records that primaries at other instances have sent to this instance. It is not safe for concurrent use.
type Copies struct {
	limits   Limits
	records  map[Key]*storedRecord
	ages     aging[*storedRecord]
	horizons map[PartitionKey]*storedRecord
	bytes    int
}

type storedRecord struct {
	record   Record // as it was at storedAt
	storedAt time.Duration
}

// NewCopies returns an empty store.
func NewCopies(limits Limits) *Copies {
	return &Copies{
		limits:   limits,
		records:  map[Key]*storedRecord{},
		ages:     newAging[*storedRecord](limits.Window),
		horizons: map[PartitionKey]*storedRecord{},
	}
}

// Store stores the records. It stores none of them and reports false if there is no space for all of them; the primary then asks
// another member. An older version never replaces a newer one, so late and duplicate copies are harmless.
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
			// Blames are handled by the quarantine.
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
	added := &storedRecord{r, now}
	c.records[r.Key] = added
	c.bytes += r.Answer.size()
	c.ages.add(now, added)
}

func (c *Copies) storeHorizon(r Record, now time.Duration) {
	p := r.PartitionKey()
	if old, ok := c.horizons[p]; ok {
		known := old.record.Version
		if r.Version.Less(known) || (r.Version == known && r.Confirmed == 0) {
			return
		}
	}
	c.horizons[p] = &storedRecord{r, now}
}

func (c *Copies) expire(now time.Duration) {
	if now < c.limits.Window {
		return
	}
	c.ages.expire(now-c.limits.Window, func(stored *storedRecord) {
		if c.records[stored.record.Key] != stored {
			return
		}
		delete(c.records, stored.record.Key)
		c.bytes -= stored.record.Answer.size()
	})
	for p, stored := range c.horizons {
		// After one window a horizon has no effect any more, and all records of its complete copy have expired.
		if now-stored.storedAt > c.limits.Window {
			delete(c.horizons, p)
		}
	}
}

// Export returns the records of the partitions and their horizons, including withdrawn records (StateForgotten). Nil means all
// partitions.
func (c *Copies) Export(partitions []PartitionKey, now time.Duration) []Record {
	c.expire(now)
	included := filter(partitions)
	var records []Record
	for _, stored := range c.records {
		if included(stored.record.PartitionKey()) {
			records = append(records, stored.aged(now))
		}
	}
	for p, stored := range c.horizons {
		if included(p) {
			records = append(records, stored.aged(now))
		}
	}
	return records
}

func (h *storedRecord) aged(now time.Duration) Record {
	r := h.record
	storedFor := now - h.storedAt
	r.Age += storedFor
	if r.Confirmed > 0 {
		r.Confirmed += storedFor
	}
	return r
}
