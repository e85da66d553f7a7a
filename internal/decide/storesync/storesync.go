// Package storesync decides whether an instance has to read the back ends' entries and the operators' records from the store, or knows
// from another instance of its zone what is new there. One instance of each zone, the reader, reads the store at intervals and tells the others in its
// heartbeats how far it has read, and what it has found. Positions are the store's and never go back.
package storesync

import "time"

// Bounds of what is relayed.
const (
	// maxAge is how old a reader's news may be: its interval, a slow answer of the store and a heartbeat.
	maxAge = 1500 * time.Millisecond
	// batchLife is how long a batch is told, so that one lost heartbeat does no harm.
	batchLife = time.Second
	// maxBatchBytes bounds the batches of a heartbeat, which has to fit into a datagram. Larger changes are read from the store.
	maxBatchBytes = 6 << 10
	// maxOperatorBytes bounds the operators' records of a heartbeat in the same way.
	maxOperatorBytes = 6 << 10
)

// Update says how far an instance has read the store, and since when nothing has changed there.
type Update struct {
	// EntriesOffset is how far the back ends' entries have been read, and LastChangeOffset the position after the last one that changed a view:
	// from there to EntriesOffset they say nothing new.
	EntriesOffset, LastChangeOffset uint64
	// OperatorOffset is how far the operators' records have been read.
	OperatorOffset uint64
	// Age is the time since the last successful read of entries began. Without one the rest says nothing.
	Age time.Duration
	// Batches are the latest changes of the entries, oldest first. An instance that has read up to After of the first one need
	// not read the store to learn them.
	Batches []Batch
	// OperatorBatches are the latest of the operators' records, in the same order.
	OperatorBatches []Batch
}

// Batch is one change of the entries. Nothing new stands after After until UpTo but Records, which are in the store's encoding.
type Batch struct {
	After, UpTo uint64
	Records     []byte
}

// Step is what an instance does next about the entries.
type Step struct {
	// ReadStore is true if it has to read the store. The rest is then empty.
	ReadStore bool
	// UpTo is the position that it has reached after it has taken over Records.
	UpTo    uint64
	Records [][]byte
	// At is when the reader's last read of the store was sent.
	At time.Duration
}

// Tracker keeps what an instance has read and heard. It is not safe for concurrent use.
type Tracker struct {
	own     Update
	readAt  time.Duration
	known   bool // the entries were read at least once
	batches []timedBatch
	// operatorBatches are those of the operators' records.
	operatorBatches []timedBatch

	heard   Update
	heardAt time.Duration // when the reader's last read was sent
}

type timedBatch struct {
	Batch

	at time.Duration
}

// ReadAt returns when the last read of the entries was sent, by this instance or by the reader that it heard, zero if none was.
func (t *Tracker) ReadAt() time.Duration { return t.readAt }

// EntriesRead notes that the entries are known up to a position by a read that was sent at the given time. Records are those
// of them that are new, nil if there are none; whole says that the entries were read anew, so that Records do not tell the
// difference.
func (t *Tracker) EntriesRead(upTo uint64, records []byte, whole bool, at time.Duration) {
	if whole {
		t.batches = nil
		t.own.LastChangeOffset = upTo
	}
	if len(records) > 0 && !whole {
		t.batches = append(t.batches, timedBatch{Batch{After: t.own.LastChangeOffset, UpTo: upTo, Records: records}, at})
		t.own.LastChangeOffset = upTo
	}
	t.own.EntriesOffset, t.readAt, t.known = upTo, at, true
}

// OperatorRead notes that the operators' records are known up to a position, at the given time. Records are those after the position
// before, nil if there are none or if they are not to be told.
func (t *Tracker) OperatorRead(upTo uint64, records []byte, now time.Duration) {
	if len(records) > 0 {
		t.operatorBatches = append(t.operatorBatches, timedBatch{Batch{After: t.own.OperatorOffset, UpTo: upTo, Records: records}, now})
	}
	t.own.OperatorOffset = upTo
}

// Outgoing returns what this instance tells the others.
func (t *Tracker) Outgoing(now time.Duration) Update {
	t.batches = expire(t.batches, maxBatchBytes, now)
	t.operatorBatches = expire(t.operatorBatches, maxOperatorBytes, now)
	n := t.own
	n.Age = now - t.readAt
	for _, b := range t.batches {
		n.Batches = append(n.Batches, b.Batch)
	}
	for _, b := range t.operatorBatches {
		n.OperatorBatches = append(n.OperatorBatches, b.Batch)
	}
	return n
}

// expire returns the batches that are still to be told: not those that have been told long enough, and none up to one that is too
// large.
func expire(batches []timedBatch, maxBytes int, now time.Duration) []timedBatch {
	size, keep := 0, len(batches)
	for keep > 0 {
		b := batches[keep-1]
		size += len(b.Records)
		if now-b.at > batchLife || size > maxBytes {
			break
		}
		keep--
	}
	return batches[keep:]
}

// ReceiveUpdate takes the reader's news.
func (t *Tracker) ReceiveUpdate(n Update, now time.Duration) { t.heard, t.heardAt = n, now-n.Age }

// Entries returns what to do about the entries after a position.
func (t *Tracker) Entries(next uint64, now time.Duration) Step {
	if !t.known || now-t.heardAt > maxAge || t.heard.EntriesOffset < next {
		return Step{ReadStore: true}
	}
	records, known := follow(t.heard.Batches, next)
	if t.heard.LastChangeOffset > known {
		return Step{ReadStore: true}
	}
	return Step{UpTo: t.heard.EntriesOffset, Records: records, At: t.heardAt}
}

// Operator returns what to do about the operators' records after a position.
func (t *Tracker) Operator(next uint64, now time.Duration) Step {
	if now-t.heardAt > maxAge || t.heard.OperatorOffset == 0 {
		return Step{ReadStore: true}
	}
	records, known := follow(t.heard.OperatorBatches, next)
	if t.heard.OperatorOffset > known {
		return Step{ReadStore: true}
	}
	return Step{UpTo: known, Records: records, At: t.heardAt}
}

// follow returns the records of the batches that continue a position without a gap, and up to where they reach.
func follow(batches []Batch, next uint64) ([][]byte, uint64) {
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
