// Package configlog implements the stream "config" of the platform's log: the encoding of its records, their replay into
// the current configuration, and the publisher with which operators append changes. Log-based instances replay the stream
// and write its checkpoints.
package configlog

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/operator"
)

// maxChunk is the maximum size of a checkpoint chunk's data in bytes. Encoded in base64, with the record around it, it
// stays below 64 KiB.
const maxChunk = 47 << 10

// MaxChunks is the maximum number of chunks of a checkpoint. It limits the memory that a replay needs for one checkpoint
// to 12 MiB.
const MaxChunks = 256

// ErrMalformed means that a record of the stream cannot be decoded.
var ErrMalformed = errors.New("malformed configuration record")

// Record is one record of the stream "config". Exactly one of Change and Chunk is set.
type Record struct {
	// Writer and Sequence identify the record. They are sent outside the payload.
	Writer   string `json:"-"`
	Sequence uint64 `json:"-"`
	// Author is the name of the operator, or of the instance that wrote a checkpoint.
	Author string        `json:"author"`
	Change *ChangeRecord `json:"change,omitempty"`
	Chunk  *Chunk        `json:"chunk,omitempty"`
}

// ChangeRecord is a change to the configuration of version Base.
type ChangeRecord struct {
	Base   uint64          `json:"base"`
	Change operator.Change `json:"change"`
}

// Chunk is a part of a checkpoint, which is the encoded configuration of version Version. That version was current after
// the writer had applied all records before Next.
type Chunk struct {
	Version uint64        `json:"version"`
	Next    entity.Offset `json:"next"`
	Index   int           `json:"index"`
	Count   int           `json:"count"`
	Data    []byte        `json:"data"`
}

// Encode returns the payload of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	return data, nil
}

// Decode returns the record encoded in a payload, with the given identity. It fails with ErrMalformed.
func Decode(writer string, sequence uint64, payload []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if (r.Change == nil) == (r.Chunk == nil) {
		return Record{}, errors.Wrap(ErrMalformed, "record must contain either a change or a checkpoint chunk")
	}
	if r.Chunk != nil && !r.Chunk.wellFormed() {
		return Record{}, errors.Wrapf(ErrMalformed, "invalid chunk %d of %d", r.Chunk.Index, r.Chunk.Count)
	}
	r.Writer, r.Sequence = writer, sequence
	return r, nil
}

func (c *Chunk) wellFormed() bool {
	inRange := c.Count >= 1 && c.Count <= MaxChunks && c.Index >= 0 && c.Index < c.Count
	return inRange && len(c.Data) <= maxChunk && c.Version <= uint64(c.Next)
}

// State is the result of a replay up to an offset. Instances send it to peers that start while the platform is
// unavailable.
type State struct {
	// Next is the offset of the first record that is not included in the state.
	Next    entity.Offset    `json:"next"`
	Version uint64           `json:"version"`
	Config  *operator.Config `json:"config"`
	// Checkpoint is the position of the last complete checkpoint in the stream, 0 if there is none.
	Checkpoint entity.Offset `json:"checkpoint"`
}

// EncodeState returns the encoded state.
func EncodeState(s State) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration state")
	}
	return data, nil
}

// DecodeState returns the state and validates its configuration. It fails with ErrMalformed.
func DecodeState(data []byte) (State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if s.Config == nil || s.Version > uint64(s.Next) {
		return State{}, errors.Wrap(ErrMalformed, "state without a configuration or with an impossible version")
	}
	s.Config = s.Config.WithDefaults()
	if err := s.Config.Validate(); err != nil {
		return State{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return s, nil
}

// split returns the chunks of a checkpoint of a configuration.
func split(version uint64, next entity.Offset, c *operator.Config) ([]Chunk, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode checkpoint")
	}
	count := (len(data) + maxChunk - 1) / maxChunk
	if count > MaxChunks {
		return nil, errors.Errorf("configuration of %d bytes is too large for a checkpoint", len(data))
	}
	chunks := make([]Chunk, count)
	for i := range chunks {
		part := data[i*maxChunk : min((i+1)*maxChunk, len(data))]
		chunks[i] = Chunk{Version: version, Next: next, Index: i, Count: count, Data: part}
	}
	return chunks, nil
}

// merge returns the configuration encoded in a complete checkpoint. It fails with ErrMalformed.
func merge(data []byte) (*operator.Config, error) {
	var c operator.Config
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	full := c.WithDefaults()
	if err := full.Validate(); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return full, nil
}
