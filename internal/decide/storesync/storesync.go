// Package storesync decides whether a store-based instance has to read the backend records and the operators' records from the
// store, or already has them from a peer in its zone. One instance of each zone, the zone reader, polls the store. In its
// heartbeats it reports to its peers how far it has read and relays the changes that it found. Offsets are positions in the store
// that contain its era, see service.NewVersion: those of a later era are higher, and never decrease.
package storesync

import "time"

// Bounds of relayed updates.
const (
	// maxAge is the maximum age of what the zone reader knows of a topic. It covers the read interval, a slow answer of the store and
	// a heartbeat.
	maxAge = 1500 * time.Millisecond
	// batchTTL is how long a batch is relayed, so that a lost heartbeat does no harm.
	batchTTL = time.Second
	// maxBatchBytes bounds the batches in a heartbeat, which has to fit into a datagram. Larger changes are read from the
	// store.
	maxBatchBytes = 6 << 10
	// maxOperatorBytes bounds the operators' records in a heartbeat for the same reason.
	maxOperatorBytes = 6 << 10
)

// Update describes how far an instance has read the store and what has changed recently.
type Update struct {
	// EntriesOffset is the offset up to which the backend records have been read. LastChangeOffset is the offset after the last
	// one that changed a view: there are no changes from there to EntriesOffset.
	EntriesOffset, LastChangeOffset uint64
	// OperatorOffset is the offset up to which the operators' records have been read.
	OperatorOffset uint64
	// Age is the time since the last successful read of the backend records was sent. Without such a read, the other fields are
	// not meaningful.
	Age time.Duration
	// OperatorAge is the time since the operators' records up to OperatorOffset were all that the store had.
	OperatorAge time.Duration
	// Batches are the latest changes of the backend records, oldest first. An instance that has read up to After of the first
	// batch can apply them without reading the store.
	Batches []Batch
	// OperatorBatches are the latest of the operators' records, in the same order.
	OperatorBatches []Batch
}

// Batch is one change of the backend records or of the operators' records. From After to UpTo there are no changes except
// Records, which are in the store's encoding.
type Batch struct {
	After, UpTo uint64
	Records     []byte
}

// Step is what an instance has to do next to be up to date.
type Step struct {
	// ReadStore is true if the instance has to read the store. Of the other fields, only Missing may then be set.
	ReadStore bool
	// Missing is the number of records that the zone reader has read and this instance neither has nor can apply. If it is above
	// zero, a read need not wait for records.
	Missing uint64
	// UpTo is the offset that the instance has reached after it has applied Records.
	UpTo    uint64
	Records [][]byte
	// At is when the zone reader's last read of the store was sent. For the operators' records it is the last time at which those up
	// to UpTo were all that the store had.
	At time.Duration
}

// Tracker keeps what an instance has read from the store and received from the zone reader. It is not safe for concurrent use.
type Tracker struct {
	local        Update
	readAt       time.Duration
	entriesKnown bool // the backend records were read at least once
	batches      []timedBatch
	operatorAt   time.Duration // last time at which the operators' records were all that the store had
	// operatorBatches are the batches of the operators' records.
	operatorBatches []timedBatch

	received       Update
	receivedReadAt time.Duration // when the zone reader's last read was sent
	// receivedOperatorAt is the last time at which the zone reader had all of the operators' records.
	receivedOperatorAt time.Duration
}

type timedBatch struct {
	Batch

	at time.Duration
}

// ReadAt returns when the last read of the backend records was sent, by this instance or by the zone reader whose update it
// applied; zero if there was none.
func (t *Tracker) ReadAt() time.Duration { return t.readAt }

// EntriesRead records that the backend records are known up to an offset, through a read that was sent at the given time.
// Records are the changed ones, nil if there are none. If full is true, all backend records were read again, so that Records
// are not the difference to the previous offset.
func (t *Tracker) EntriesRead(upTo uint64, records []byte, full bool, at time.Duration) {
	if full {
		t.batches = nil
		t.local.LastChangeOffset = upTo
	}
	if len(records) > 0 && !full {
		t.batches = append(t.batches, timedBatch{Batch{After: t.local.LastChangeOffset, UpTo: upTo, Records: records}, at})
		t.local.LastChangeOffset = upTo
	}
	t.local.EntriesOffset, t.readAt, t.entriesKnown = upTo, at, true
}

// OperatorAt returns the last time at which this instance had all of the operators' records, zero if there was none.
func (t *Tracker) OperatorAt() time.Duration { return t.operatorAt }

// OperatorRead records that at the time currentAt the operators' records up to an offset were all that the store had. Records are those
// after the previous offset, nil if there are none or if they are not to be relayed.
func (t *Tracker) OperatorRead(upTo uint64, records []byte, currentAt, now time.Duration) {
	if len(records) > 0 {
		t.operatorBatches = append(t.operatorBatches, timedBatch{Batch{After: t.local.OperatorOffset, UpTo: upTo, Records: records}, now})
	}
	t.local.OperatorOffset, t.operatorAt = upTo, max(t.operatorAt, currentAt)
}

// Outgoing returns the update that this instance sends to its peers.
func (t *Tracker) Outgoing(now time.Duration) Update {
	t.batches = expire(t.batches, maxBatchBytes, now)
	t.operatorBatches = expire(t.operatorBatches, maxOperatorBytes, now)
	update := t.local
	update.Age, update.OperatorAge = now-t.readAt, now-t.operatorAt
	for _, b := range t.batches {
		update.Batches = append(update.Batches, b.Batch)
	}
	for _, b := range t.operatorBatches {
		update.OperatorBatches = append(update.OperatorBatches, b.Batch)
	}
	return update
}

// expire returns the newest batches that are still to be relayed: those that are not older than batchTTL and together not
// larger than maxBytes. Batches before one that is dropped are dropped too, so that the returned ones have no gap.
func expire(batches []timedBatch, maxBytes int, now time.Duration) []timedBatch {
	size, keep := 0, len(batches)
	for keep > 0 {
		b := batches[keep-1]
		size += len(b.Records)
		if now-b.at > batchTTL || size > maxBytes {
			break
		}
		keep--
	}
	return batches[keep:]
}

// ReceiveUpdate stores the zone reader's update.
func (t *Tracker) ReceiveUpdate(update Update, now time.Duration) {
	t.received, t.receivedReadAt, t.receivedOperatorAt = update, now-update.Age, now-update.OperatorAge
}

// Entries returns what to do to get the backend records from the offset next.
func (t *Tracker) Entries(next uint64, now time.Duration) Step {
	if !t.entriesKnown || now-t.receivedReadAt > maxAge || t.received.EntriesOffset < next {
		return Step{ReadStore: true}
	}
	records, reached := chainFrom(t.received.Batches, next)
	if t.received.LastChangeOffset > reached {
		return Step{ReadStore: true}
	}
	return Step{UpTo: t.received.EntriesOffset, Records: records, At: t.receivedReadAt}
}

// Operator returns what to do to get the operators' records from the offset next. The age of the reads of the backend records says
// nothing about those of the operators' records: one may hang while the other is answered. An instance that has read further than the
// zone reader knows that the zone reader is behind.
func (t *Tracker) Operator(next uint64, now time.Duration) Step {
	records, reached := chainFrom(t.received.OperatorBatches, next)
	switch {
	case t.received.OperatorOffset > reached:
		return Step{ReadStore: true, Missing: t.received.OperatorOffset - next}
	case t.received.OperatorOffset == 0 || t.received.OperatorOffset < next || now-t.receivedOperatorAt > maxAge:
		return Step{ReadStore: true}
	}
	return Step{UpTo: reached, Records: records, At: t.receivedOperatorAt}
}

// chainFrom returns the records of the batches that continue from an offset without a gap, and the offset that they reach.
func chainFrom(batches []Batch, next uint64) ([][]byte, uint64) {
	var records [][]byte
	for _, b := range batches {
		if b.UpTo <= next {
			continue
		}
		if b.After > next {
			break
		}
		records = append(records, b.Records)
		next = b.UpTo
	}
	return records, next
}
