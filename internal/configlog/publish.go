package configlog

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/operator"
)

// Errors of Publish.
var (
	// ErrUnknownResult means that the change may or may not have been published. Repeating the call with the same arguments
	// is safe and finds out.
	ErrUnknownResult = errors.New("not known whether the change was published; repeat the call with the same arguments")
	// ErrHistoryLost means that the log keeps neither the whole stream nor a checkpoint that it can be judged from.
	ErrHistoryLost = errors.New("the log no longer has the records before its oldest one, nor a checkpoint")
	// ErrNoAuthor means that a change names no author.
	ErrNoAuthor = errors.New("author missing")
)

// Bounds of Publish.
const (
	// defaultPublishTimeout ends a call whose context has no deadline.
	defaultPublishTimeout = 30 * time.Second
	// publishRetry is the pause before a request to the platform is repeated.
	publishRetry = 100 * time.Millisecond
	// publishWait is the longest wait of one read.
	publishWait = 100 * time.Millisecond
	// publishLimit is the number of records in one read.
	publishLimit = 256
	// sequenceMask keeps the sequence exact for a platform that reads JSON numbers as floating point.
	sequenceMask = 1<<53 - 1
)

// Result says what became of a published configuration.
type Result struct {
	// Accepted is true if the configuration came into force.
	Accepted bool
	// Version is the version with which it came into force, if accepted.
	Version uint64
	// Reason says why it was refused.
	Reason string
	// Current is the version in force when the call ended.
	Current uint64
}

// Publish publishes a configuration that was made from the version base, and reads the log on until it knows whether the
// configuration was accepted. It retries while the platform does not answer, until the context ends.
//
// The record's identity follows from the arguments, so a repeated call never publishes twice, and reports the result of the
// first. An invalid configuration, or one that changes what cannot change, is an error before anything is appended.
func Publish(
	ctx context.Context, log platformapi.Log, base uint64, config *operator.Config, author string,
) (Result, error) {
	if author == "" {
		return Result{}, ErrNoAuthor
	}
	config = config.WithDefaults()
	if err := config.Validate(); err != nil {
		return Result{}, err
	}
	sequence, err := contentSequence(base, config)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := bounded(ctx)
	defer cancel()
	p := &publication{
		log: log, base: base, config: config, author: author,
		writer: "operator/" + author, sequence: sequence, replay: NewReplay(),
	}
	return p.run(ctx)
}

// Current returns the configuration in force and its version. It retries while the platform does not answer, until the
// context ends.
func Current(ctx context.Context, log platformapi.Log) (State, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	p := &publication{log: log, replay: NewReplay()}
	if err := p.readToTail(ctx); err != nil {
		return State{}, err
	}
	state, known := p.replay.State()
	if !known {
		return State{}, ErrHistoryLost
	}
	return state, nil
}

// bounded gives a context without a deadline the default one.
func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultPublishTimeout)
}

// contentSequence identifies a configuration and its base.
func contentSequence(base uint64, config *operator.Config) (uint64, error) {
	data, err := json.Marshal(config)
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, base), data...))
	return binary.BigEndian.Uint64(sum[:8]) & sequenceMask, nil
}

// publication is one call of Publish.
type publication struct {
	log      platformapi.Log
	base     uint64
	config   *operator.Config
	author   string
	writer   string
	sequence uint64
	replay   *Replay
	// verdict is that on the first own record that was read.
	verdict *Verdict
	// attempted is true once an append may have taken effect.
	attempted bool
}

func (p *publication) run(ctx context.Context) (Result, error) {
	if err := p.readToTail(ctx); err != nil {
		return Result{}, p.failed(err)
	}
	if p.verdict != nil {
		return p.result(), nil
	}
	if !p.replay.Known() {
		return Result{}, ErrHistoryLost
	}
	if version := p.replay.Version(); version != p.base {
		reason := fmt.Sprintf("based on version %d, but version %d is in force", p.base, version)
		return Result{Reason: reason, Current: version}, nil
	}
	change := operator.Diff(p.replay.Config(), p.config)
	if change.Empty() {
		return Result{Accepted: true, Version: p.base, Current: p.base}, nil
	}
	if _, err := operator.Apply(p.replay.Config(), change); err != nil {
		return Result{}, err
	}
	payload, err := Encode(Record{Author: p.author, Change: &ChangeRecord{Base: p.base, Change: change}})
	if err != nil {
		return Result{}, err
	}
	draft := platformapi.Draft{Writer: p.writer, Sequence: p.sequence, Payload: payload}
	for p.verdict == nil {
		if err := p.appendAndRead(ctx, draft); err != nil {
			return Result{}, p.failed(err)
		}
	}
	return p.result(), nil
}

// failed adds what is known about the effect to an error.
func (p *publication) failed(err error) error {
	if p.attempted {
		return errors.Join(ErrUnknownResult, err)
	}
	return err
}

// appendAndRead appends the record once and reads to the tail. The record may still be missing then if the answer was lost.
func (p *publication) appendAndRead(ctx context.Context, draft platformapi.Draft) error {
	_, err := p.log.Append(ctx, platformapi.StreamConfig, draft)
	if errors.Is(err, platformapi.ErrRejected) {
		return err
	}
	p.attempted = true
	if err != nil {
		if pauseErr := pause(ctx, publishRetry); pauseErr != nil {
			return errors.Join(pauseErr, err)
		}
	}
	return p.readToTail(ctx)
}

// readToTail applies everything that is in the log, and repeats failed reads.
func (p *publication) readToTail(ctx context.Context) error {
	for {
		batch, err := p.log.Read(ctx, platformapi.StreamConfig, p.replay.Next(), publishLimit, publishWait)
		if err != nil && !errors.Is(err, platformapi.ErrTruncated) {
			if pauseErr := pause(ctx, publishRetry); pauseErr != nil {
				return errors.Join(pauseErr, err)
			}
			continue
		}
		p.replay.Truncated(batch.First)
		for _, record := range batch.Records {
			p.apply(record)
		}
		if p.replay.Next() >= batch.Next {
			return nil
		}
		if err != nil && p.replay.Next() < batch.First {
			return err // the log contradicts itself
		}
	}
}

func (p *publication) apply(record platformapi.Record) {
	verdict := p.replay.ApplyRaw(record)
	if verdict.Kind == VerdictRestored {
		p.findRestored()
	}
	if p.verdict != nil || record.Writer != p.writer || record.Sequence != p.sequence {
		return
	}
	if verdict.Kind == VerdictAccepted || verdict.Kind == VerdictRefused {
		p.verdict = &verdict
	}
}

// findRestored looks for an own record that could be judged only after a checkpoint.
func (p *publication) findRestored() {
	if version, ok := p.replay.Accepted(p.writer, p.sequence); ok && p.verdict == nil {
		p.verdict = &Verdict{Kind: VerdictAccepted, Version: version}
	}
}

func (p *publication) result() Result {
	return Result{
		Accepted: p.verdict.Kind == VerdictAccepted,
		Version:  p.verdict.Version,
		Reason:   p.verdict.Reason,
		Current:  p.replay.Version(),
	}
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
