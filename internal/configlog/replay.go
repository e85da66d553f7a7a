package configlog

import (
	"fmt"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/operator"
)

// VerdictKind is what a replay did with a record.
type VerdictKind uint8

const (
	// VerdictAccepted means that the change became effective with Version.
	VerdictAccepted VerdictKind = iota + 1
	// VerdictRefused means that the record has no effect, because of Reason.
	VerdictRefused
	// VerdictRepeat means that the record repeats the record that was accepted with Version, and has no effect.
	VerdictRepeat
	// VerdictOld means that the replay has already processed the record's offset.
	VerdictOld
	// VerdictPending means that earlier records are missing, so the record can be judged only after a checkpoint.
	VerdictPending
	// VerdictStored means that the record is part of a checkpoint that is not yet complete.
	VerdictStored
	// VerdictCheckpoint means that the record completes a checkpoint that agrees with the replay.
	VerdictCheckpoint
	// VerdictRestored means that the record completes a checkpoint that closed a gap. Version is the current version.
	VerdictRestored
)

// Verdict is the result of applying one record.
type Verdict struct {
	Kind    VerdictKind
	Version uint64
	Reason  string
}

// Limits of what a replay keeps in memory.
const (
	// maxAccepted is the number of accepted records whose identity is kept in order to recognize repeats. A repeat of an
	// older record is refused because of its base version.
	maxAccepted = 1024
	// maxPending is the number of changes that are kept during a gap. The chunks of a checkpoint are appended without a
	// pause, so only the few changes that were appended at the same time are needed.
	maxPending = 4096
	// maxAssemblies is the maximum number of checkpoints that are assembled at the same time.
	maxAssemblies = 4
)

type identity struct {
	writer   string
	sequence uint64
}

type pendingChange struct {
	offset entity.Offset
	record Record
}

// Replay turns the records of the stream into the current configuration. All replays of the same stream return the same
// verdict on a record, wherever they started. The version never decreases; it is the offset of the accepted change plus
// one. A Replay is not safe for concurrent use.
type Replay struct {
	next    entity.Offset
	version uint64
	config  *operator.Config
	// known is false while records before next are missing. The configuration then stays effective, but no change is
	// accepted.
	known bool
	// start is the offset since which the replay has seen every record, that is, the end of the last gap.
	start   entity.Offset
	pending []pendingChange
	// accepted holds the versions of accepted changes. acceptedOrder is their order, to remove the oldest.
	accepted      map[identity]uint64
	acceptedOrder []identity
	assemblies    assemblies
	// checkpoint is the largest Next of a complete checkpoint, zero if there is none. A replay that starts there needs no
	// older records.
	checkpoint entity.Offset
}

// NewReplay returns a replay at the beginning of the stream, with version 0 and an empty configuration.
func NewReplay() *Replay {
	return &Replay{config: &operator.Config{}, known: true, accepted: map[identity]uint64{}}
}

// Next returns the offset of the next record to apply.
func (r *Replay) Next() entity.Offset { return r.next }

// Version returns the current version, 0 if there is none yet.
func (r *Replay) Version() uint64 { return r.version }

// Config returns the current configuration. The caller must not change it.
func (r *Replay) Config() *operator.Config { return r.config }

// IsComplete reports whether no record is missing, so that Config is the configuration of the stream up to Next.
func (r *Replay) IsComplete() bool { return r.known }

// Accepted returns the version with which a record was accepted, and false if it was not accepted or only long ago.
func (r *Replay) Accepted(writer string, sequence uint64) (uint64, bool) {
	version, ok := r.accepted[identity{writer, sequence}]
	return version, ok
}

// SinceCheckpoint returns the number of records after the position of the last complete checkpoint.
func (r *Replay) SinceCheckpoint() uint64 { return uint64(r.next - r.checkpoint) }

// CheckpointOffset returns the position of the last complete checkpoint, 0 if there is none.
func (r *Replay) CheckpointOffset() entity.Offset { return r.checkpoint }

// MarkTruncated informs the replay that the log no longer keeps records before first. It reports whether that leaves a gap.
func (r *Replay) MarkTruncated(first entity.Offset) bool {
	if first <= r.next {
		return false
	}
	r.known = false
	r.start, r.next = first, first
	r.pending = nil
	r.assemblies = assemblies{}
	return true
}

// ApplyRaw decodes and applies a record of the log. A malformed record is refused and skipped.
func (r *Replay) ApplyRaw(raw platformapi.Record) Verdict {
	record, err := Decode(raw.Writer, raw.Sequence, raw.Payload)
	if err != nil {
		if raw.Offset < r.next {
			return Verdict{Kind: VerdictOld}
		}
		r.advance(raw.Offset)
		return Verdict{Kind: VerdictRefused, Reason: err.Error()}
	}
	return r.Apply(raw.Offset, record)
}

// Apply applies the record at an offset. If the offset is beyond Next, the records between them count as missing.
func (r *Replay) Apply(offset entity.Offset, record Record) Verdict {
	if offset < r.next {
		return Verdict{Kind: VerdictOld}
	}
	r.advance(offset)
	if record.Chunk != nil {
		return r.applyChunk(offset, record)
	}
	if !r.known {
		r.keepPending(offset, record)
		return Verdict{Kind: VerdictPending, Reason: "earlier records are missing"}
	}
	return r.applyChange(offset, record)
}

// advance moves the position past the record at offset and detects a gap before it.
func (r *Replay) advance(offset entity.Offset) {
	r.MarkTruncated(offset)
	r.next = offset + 1
}

func (r *Replay) keepPending(offset entity.Offset, record Record) {
	if len(r.pending) == maxPending {
		r.start = r.pending[0].offset + 1
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, pendingChange{offset, record})
}

// applyChange decides on a change only by its base, so that the verdict does not depend on what the replay keeps in
// memory. A repeat of an accepted change always has an older base.
func (r *Replay) applyChange(offset entity.Offset, record Record) Verdict {
	id := identity{record.Writer, record.Sequence}
	if base := record.Change.Base; base != r.version {
		if version, ok := r.accepted[id]; ok {
			return Verdict{Kind: VerdictRepeat, Version: version}
		}
		return Verdict{Kind: VerdictRefused, Reason: fmt.Sprintf("based on version %d, but the current version is %d", base, r.version)}
	}
	config, err := operator.ApplyTrusted(r.config, record.Change.Change)
	if err != nil {
		return Verdict{Kind: VerdictRefused, Reason: err.Error()}
	}
	r.config, r.version = config, uint64(offset)+1
	r.recordAccepted(id)
	return Verdict{Kind: VerdictAccepted, Version: r.version}
}

func (r *Replay) recordAccepted(id identity) {
	if _, ok := r.accepted[id]; !ok {
		r.acceptedOrder = append(r.acceptedOrder, id)
	}
	r.accepted[id] = r.version
	if len(r.acceptedOrder) > maxAccepted {
		delete(r.accepted, r.acceptedOrder[0])
		r.acceptedOrder = r.acceptedOrder[1:]
	}
}

// applyChunk adds a chunk to its checkpoint. If the checkpoint is complete and records are missing, it restores from it.
func (r *Replay) applyChunk(offset entity.Offset, record Record) Verdict {
	chunk := record.Chunk
	if chunk.Next > offset {
		return Verdict{Kind: VerdictRefused, Reason: "checkpoint of a state later than itself"}
	}
	data, complete, ok := r.assemblies.add(record.Writer, chunk)
	if !ok {
		return Verdict{Kind: VerdictRefused, Reason: "checkpoint chunk out of order"}
	}
	if !complete {
		return Verdict{Kind: VerdictStored}
	}
	config, err := merge(data)
	if err != nil {
		return Verdict{Kind: VerdictRefused, Reason: err.Error()}
	}
	if r.known {
		return r.compareCheckpoint(chunk, config)
	}
	return r.restoreCheckpoint(chunk, config)
}

// compareCheckpoint compares a complete checkpoint with the replay. It never changes the current configuration. A
// checkpoint of an older version is correct if the current version was accepted after the checkpoint's position.
func (r *Replay) compareCheckpoint(chunk *Chunk, config *operator.Config) Verdict {
	same := chunk.Version == r.version && operator.Equal(config, r.config)
	older := chunk.Version < r.version && r.version > uint64(chunk.Next)
	if !same && !older {
		return Verdict{Kind: VerdictRefused, Reason: "checkpoint contradicts the stream"}
	}
	r.checkpoint = max(r.checkpoint, chunk.Next)
	return Verdict{Kind: VerdictCheckpoint, Version: chunk.Version}
}

// restoreCheckpoint closes a gap. The replay must have seen all records from the checkpoint's position on. Otherwise
// changes accepted between that position and the start of the replay would be lost, and an older version would become
// current.
func (r *Replay) restoreCheckpoint(chunk *Chunk, config *operator.Config) Verdict {
	if chunk.Next < r.start || chunk.Version < r.version {
		return Verdict{Kind: VerdictRefused, Reason: "checkpoint older than the oldest record that was read"}
	}
	r.known = true
	r.version, r.config = chunk.Version, config
	r.checkpoint = max(r.checkpoint, chunk.Next)
	pending := r.pending
	r.pending = nil
	for _, p := range pending {
		if p.offset >= chunk.Next {
			r.applyChange(p.offset, p.record)
		}
	}
	return Verdict{Kind: VerdictRestored, Version: r.version}
}

// State returns the state to send to a peer, and false while records are missing.
func (r *Replay) State() (State, bool) {
	return State{Next: r.next, Version: r.version, Config: r.config, Checkpoint: r.checkpoint}, r.known
}

// ApplyState applies a peer's state if it is newer than the replay, and reports whether it did.
func (r *Replay) ApplyState(s State) bool {
	if s.Version < r.version || s.Next < r.next || (r.known && s.Next == r.next) {
		return false
	}
	r.next, r.version, r.config, r.known = s.Next, s.Version, s.Config, true
	r.start, r.pending, r.assemblies = s.Next, nil, assemblies{}
	r.checkpoint = max(r.checkpoint, s.Checkpoint)
	return true
}

// Checkpoint returns the records of a checkpoint of the current configuration. It returns none while records are missing
// or no configuration has been accepted.
func (r *Replay) Checkpoint(author string) ([]Record, error) {
	if !r.known || r.version == 0 {
		return nil, nil
	}
	return CheckpointOf(State{Next: r.next, Version: r.version, Config: r.config}, author)
}

// CheckpointOf returns the records of a checkpoint of a state.
func CheckpointOf(s State, author string) ([]Record, error) {
	chunks, err := split(s.Version, s.Next, s.Config)
	if err != nil {
		return nil, err
	}
	records := make([]Record, len(chunks))
	for i := range chunks {
		records[i] = Record{Author: author, Chunk: &chunks[i]}
	}
	return records, nil
}
