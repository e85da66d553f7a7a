package config

import (
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// recent keeps the last records for peers. Their offsets are consecutive.
type recent struct {
	limit   int
	records []platformapi.Record
}

// add adds a record. A record after a gap drops those before it.
func (r *recent) add(record platformapi.Record) {
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != record.Offset {
		r.records = nil
	}
	r.records = append(r.records, record)
	if len(r.records) >= 2*r.limit {
		// The records are copied to a new array, because answers to peers may still refer to the old one.
		r.records = append([]platformapi.Record(nil), r.records[len(r.records)-r.limit:]...)
	}
}

// clear removes all records.
func (r *recent) clear() { r.records = nil }

// first returns the oldest offset that is kept, or next if there is none.
func (r *recent) first(next entity.Offset) entity.Offset {
	if len(r.records) == 0 {
		return next
	}
	return r.records[0].Offset
}

// from returns at most limit records from the offset on, and false if the offset is not kept. The result must not be
// changed.
func (r *recent) from(offset, next entity.Offset, limit int) ([]platformapi.Record, bool) {
	first := r.first(next)
	if offset < first || offset > next {
		return nil, false
	}
	remainder := r.records[offset-first:]
	return remainder[:max(0, min(limit, len(remainder)))], true
}
