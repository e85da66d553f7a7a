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
	"github.com/pollenpier/pollenpier/internal/sleep"
	"github.com/pollenpier/pollenpier/operator"
)

// Errors of Publish and Current.
var (
	// ErrUnknownResult means that the change may or may not have been published. Repeating the call with the same
	// arguments is safe and returns the result.
	ErrUnknownResult = errors.New("it is unknown whether the change was published; repeat the call with the same arguments")
	// ErrHistoryLost means that the log keeps neither the complete stream nor a checkpoint from which it can be replayed.
	ErrHistoryLost = errors.New("the log no longer keeps the beginning of the stream and has no checkpoint that replaces it")
	// ErrNoAuthor means that a change has no author.
	ErrNoAuthor = errors.New("author is missing")
)

// Limits of Publish and Current.
const (
	// defaultPublishTimeout is the time limit of a call whose context has no deadline.
	defaultPublishTimeout = 30 * time.Second
	// retryPause is the pause before a request to the platform is retried.
	retryPause = 100 * time.Millisecond
	// readWait is the maximum time for which one read waits for new records.
	readWait = 100 * time.Millisecond
	// readLimit is the maximum number of records in one read.
	readLimit = 256
	// sequenceMask limits the sequence to 53 bits, which remain exact on a platform that reads JSON numbers as floating
	// point.
	sequenceMask = 1<<53 - 1
)

// Result is the result of publishing a configuration.
type Result struct {
	// Accepted reports whether the configuration became effective.
	Accepted bool
	// Version is the version that the configuration got, if it was accepted.
	Version uint64
	// Reason is why the configuration was refused.
	Reason string
	// Current is the version of the current configuration when the call returned.
	Current uint64
}

// Publish publishes a configuration that was derived from version base, and reads the log until the result is known. It
// retries while the platform does not answer, until the context ends.
//
// The identity of the record is derived from the arguments, so a repeated call never publishes twice and returns the
// result of the first. If the configuration is invalid, or changes a setting that must not change, Publish returns an
// error before it appends anything.
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
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	p := &publication{
		log: log, base: base, config: config, author: author,
		writer: "operator/" + author, sequence: sequence, replay: NewReplay(),
	}
	return p.run(ctx)
}

// Current returns the current configuration and its version. It retries while the platform does not answer, until the
// context ends. It fails with ErrHistoryLost if the log cannot be replayed.
func Current(ctx context.Context, log platformapi.Log) (State, error) {
	ctx, cancel := withDefaultDeadline(ctx)
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

// withDefaultDeadline adds the default time limit to a context that has no deadline.
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultPublishTimeout)
}

// contentSequence returns a record sequence that identifies a configuration and its base.
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
	// verdict is the verdict on this call's record, nil until the record has been read.
	verdict *Verdict
	// attempted is set once an append may have taken effect.
	attempted bool
}

func (p *publication) run(ctx context.Context) (Result, error) {
	if err := p.readToTail(ctx); err != nil {
		return Result{}, p.wrapError(err)
	}
	if p.verdict != nil {
		return p.result(), nil
	}
	if !p.replay.IsComplete() {
		return Result{}, ErrHistoryLost
	}
	if version := p.replay.Version(); version != p.base {
		reason := fmt.Sprintf("based on version %d, but the current version is %d", p.base, version)
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
			return Result{}, p.wrapError(err)
		}
	}
	return p.result(), nil
}

// wrapError adds ErrUnknownResult to an error if the change may have been appended.
func (p *publication) wrapError(err error) error {
	if p.attempted {
		return errors.Join(ErrUnknownResult, err)
	}
	return err
}

// appendAndRead appends the record once and reads the log up to its tail. If the answer to the append was lost, the
// record may still be missing then.
func (p *publication) appendAndRead(ctx context.Context, draft platformapi.Draft) error {
	_, err := p.log.Append(ctx, platformapi.StreamConfig, draft)
	if errors.Is(err, platformapi.ErrRejected) {
		return err
	}
	p.attempted = true
	if err != nil {
		if pauseErr := sleep.For(ctx, retryPause); pauseErr != nil {
			return errors.Join(pauseErr, err)
		}
	}
	return p.readToTail(ctx)
}

// readToTail applies all records in the log and retries failed reads.
func (p *publication) readToTail(ctx context.Context) error {
	for {
		batch, err := p.log.Read(ctx, platformapi.StreamConfig, p.replay.Next(), readLimit, readWait)
		if err != nil && !errors.Is(err, platformapi.ErrTruncated) {
			if pauseErr := sleep.For(ctx, retryPause); pauseErr != nil {
				return errors.Join(pauseErr, err)
			}
			continue
		}
		p.replay.MarkTruncated(batch.First)
		for _, record := range batch.Records {
			p.apply(record)
		}
		if p.replay.Next() >= batch.Next {
			return nil
		}
		if err != nil && p.replay.Next() < batch.First {
			return err // the answer contradicts itself
		}
	}
}

func (p *publication) apply(record platformapi.Record) {
	verdict := p.replay.ApplyRaw(record)
	if verdict.Kind == VerdictRestored {
		p.checkAccepted()
	}
	if p.verdict != nil || record.Writer != p.writer || record.Sequence != p.sequence {
		return
	}
	if verdict.Kind == VerdictAccepted || verdict.Kind == VerdictRefused {
		p.verdict = &verdict
	}
}

// checkAccepted checks whether this call's record was accepted when a checkpoint was restored: before that, its verdict
// was pending.
func (p *publication) checkAccepted() {
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
