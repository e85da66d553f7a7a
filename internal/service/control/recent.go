package control

import (
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// Bounds of the records kept for peers that cannot reach the platform. At several hundred appends a second the count is
// about ten seconds, far longer than a peer needs to notice this; the size is that of 64 full records.
const (
	maxRecent      = 4096
	maxRecentBytes = 4 << 20
)

// recentRecords holds the last replayed records. They are consecutive and bounded in number and size.
type recentRecords struct {
	records []platformapi.Record
	bytes   int
}

func (r *recentRecords) reset() { *r = recentRecords{} }

func (r *recentRecords) add(record platformapi.Record) {
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != record.Offset {
		r.reset()
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Payload)
	for len(r.records) > maxRecent || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0].Payload)
		r.records[0] = platformapi.Record{}
		r.records = r.records[1:]
	}
}

// from returns at most limit records from an offset on. It returns false if one of them is not kept. next is the offset
// after the last replayed record.
func (r *recentRecords) from(offset, next entity.Offset, limit int) ([]platformapi.Record, bool) {
	if offset >= next {
		return nil, offset == next
	}
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, false
	}
	remainder := r.records[offset-r.records[0].Offset:]
	return append([]platformapi.Record{}, remainder[:min(max(limit, 0), len(remainder))]...), true
}
