package platformapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/sleep"
)

// Faults are the faults that a Fake injects. The zero value injects none.
type Faults struct {
	// Unavailable makes every call fail with ErrUnavailable and have no effect.
	Unavailable bool
	// LoseAnswers makes appends take effect but fail with ErrUnavailable.
	LoseAnswers bool
	// Reject makes appends fail with ErrRejected and have no effect.
	Reject bool
	// Delay is added to every call, in real time. It ends early if the context ends.
	Delay time.Duration
	// FreezeList makes Instances return the list as it was when this fault was set.
	FreezeList bool
}

// Fake is a Log and an InstanceList in memory, for tests. It is safe for concurrent use.
type Fake struct {
	mu         sync.Mutex
	streams    map[Stream]*fakeStream
	faults     Faults
	retention  int
	list       []Instance
	frozenList []Instance
}

// fakeStream is one stream. The channel appended is closed and replaced at each append, which wakes waiting readers.
type fakeStream struct {
	first    entity.Offset
	records  []Record
	appended chan struct{}
}

func (s *fakeStream) next() entity.Offset { return s.first + entity.Offset(len(s.records)) }

var (
	_ Log          = (*Fake)(nil)
	_ InstanceList = (*Fake)(nil)
)

// NewFake returns an empty platform without faults and without a retention limit.
func NewFake() *Fake { return &Fake{streams: map[Stream]*fakeStream{}} }

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.FreezeList && !f.faults.FreezeList {
		f.frozenList = slices.Clone(f.list)
	}
	f.faults = faults
}

// SetRetention limits each stream to its last count records. Zero means no limit.
func (f *Fake) SetRetention(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retention = count
	for _, s := range f.streams {
		f.truncate(s)
	}
}

// SetInstances replaces the list.
func (f *Fake) SetInstances(list []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = slices.Clone(list)
}

// Records returns the records that a stream still has.
func (f *Fake) Records(stream Stream) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stream(stream).records)
}

// Append adds a record, subject to the faults.
func (f *Fake) Append(ctx context.Context, stream Stream, draft Draft) (entity.Offset, error) {
	faults, err := f.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	if faults.Reject {
		return 0, errors.Wrap(ErrRejected, "injected fault")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stream(stream)
	offset := s.next()
	draft.Payload = slices.Clone(draft.Payload)
	s.records = append(s.records, Record{Draft: draft, Offset: offset})
	f.truncate(s)
	close(s.appended)
	s.appended = make(chan struct{})
	if faults.LoseAnswers {
		return 0, errors.Wrap(ErrUnavailable, "answer lost by an injected fault")
	}
	return offset, nil
}

// Read returns records, subject to the faults. With ErrTruncated, the batch contains First and Next.
func (f *Fake) Read(
	ctx context.Context, stream Stream, from entity.Offset, limit int, wait time.Duration,
) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if _, err := f.applyFaults(ctx); err != nil {
			return Batch{}, err
		}
		batch, appended, err := f.read(stream, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return Batch{}, errors.Join(ErrUnavailable, ctx.Err())
		}
	}
}

// Instances returns the list, or the frozen list while FreezeList is set.
func (f *Fake) Instances(ctx context.Context) ([]Instance, error) {
	faults, err := f.applyFaults(ctx)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.FreezeList {
		return slices.Clone(f.frozenList), nil
	}
	return slices.Clone(f.list), nil
}

// applyFaults waits for the delay and fails if the platform is unavailable. It returns the faults that apply to the call.
func (f *Fake) applyFaults(ctx context.Context) (Faults, error) {
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	if err := sleep.For(ctx, faults.Delay); err != nil {
		return faults, errors.Join(ErrUnavailable, err)
	}
	if faults.Unavailable {
		return faults, errors.Wrap(ErrUnavailable, "injected fault")
	}
	return faults, nil
}

func (f *Fake) read(stream Stream, from entity.Offset, limit int) (Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stream(stream)
	batch := Batch{First: s.first, Next: s.next()}
	if from < s.first {
		return batch, nil, errors.Wrapf(ErrTruncated, "offset %d, oldest %d", from, s.first)
	}
	start := min(int(from-s.first), len(s.records))
	end := min(start+max(limit, 0), len(s.records))
	batch.Records = slices.Clone(s.records[start:end])
	return batch, s.appended, nil
}

// stream returns a stream and creates it if needed. The caller holds the lock.
func (f *Fake) stream(name Stream) *fakeStream {
	s, ok := f.streams[name]
	if !ok {
		s = &fakeStream{appended: make(chan struct{})}
		f.streams[name] = s
	}
	return s
}

// truncate drops the records that exceed the retention. The caller holds the lock.
func (f *Fake) truncate(s *fakeStream) {
	excess := len(s.records) - f.retention
	if f.retention <= 0 || excess <= 0 {
		return
	}
	s.records = slices.Clone(s.records[excess:])
	s.first += entity.Offset(excess)
}
