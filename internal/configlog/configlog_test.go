package configlog_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// memLog is a log in memory. It can lose the answers to appends that took effect, and it can drop old records.
type memLog struct {
	mu      sync.Mutex
	first   entity.Offset
	records []platformapi.Record
	// loseAnswers lists, for the next appends, whether an append takes effect but answers ErrUnavailable.
	loseAnswers []bool
}

func (l *memLog) Append(_ context.Context, _ platformapi.Stream, d platformapi.Draft) (entity.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.first + entity.Offset(len(l.records))
	l.records = append(l.records, platformapi.Record{Draft: d, Offset: offset})
	if len(l.loseAnswers) > 0 {
		lost := l.loseAnswers[0]
		l.loseAnswers = l.loseAnswers[1:]
		if lost {
			return 0, platformapi.ErrUnavailable
		}
	}
	return offset, nil
}

func (l *memLog) Read(
	_ context.Context, _ platformapi.Stream, from entity.Offset, limit int, _ time.Duration,
) (platformapi.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := platformapi.Batch{First: l.first, Next: l.first + entity.Offset(len(l.records))}
	if from < l.first {
		return b, platformapi.ErrTruncated
	}
	remaining := l.records[min(int(from-l.first), len(l.records)):]
	b.Records = remaining[:min(limit, len(remaining))]
	return b, nil
}

func (l *memLog) truncate(first entity.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first > l.first {
		l.records = l.records[first-l.first:]
		l.first = first
	}
}

// read applies the records of the log, as a reader does, and returns the verdicts by offset.
func (l *memLog) read(t require.TestingT, r *configlog.Replay) map[entity.Offset]configlog.Verdict {
	verdicts := map[entity.Offset]configlog.Verdict{}
	b, err := l.Read(context.Background(), platformapi.StreamConfig, r.Next(), 1<<20, 0)
	if err != nil {
		require.ErrorIs(t, err, platformapi.ErrTruncated)
		require.True(t, r.MarkTruncated(b.First))
		b, err = l.Read(context.Background(), platformapi.StreamConfig, r.Next(), 1<<20, 0)
		require.NoError(t, err)
	}
	for _, record := range b.Records {
		verdicts[record.Offset] = r.ApplyRaw(record)
	}
	return verdicts
}

func config(t require.TestingT, rate int) *operator.Config {
	c, err := operator.New().Zone("z").Customer("c", float64(rate), 1, operator.HashKey("k")).Build()
	require.NoError(t, err)
	return c
}

func publish(t require.TestingT, log platformapi.Log, base uint64, c *operator.Config, author string) configlog.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := configlog.Publish(ctx, log, base, c, author)
	require.NoError(t, err)
	return result
}

// Guards against two operators who are both told that their change of the same version became effective.
func TestOfTwoRacingPublishersOneWins(t *testing.T) {
	for round := range 50 {
		log := &memLog{loseAnswers: []bool{round%2 == 0, round%3 == 0}}
		base := publish(t, log, 0, config(t, 1), "first").Version
		results := make([]configlog.Result, 2)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = publish(t, log, base, config(t, 2+i), fmt.Sprint("operator", i)) })
		}
		wg.Wait()
		require.NotEqual(t, results[0].Accepted, results[1].Accepted)
		r := configlog.NewReplay()
		log.read(t, r)
		for i, result := range results {
			require.Equal(t, r.Version(), result.Current)
			if result.Accepted {
				require.Equal(t, r.Version(), result.Version)
				require.True(t, operator.Equal(config(t, 2+i), r.Config()))
				continue
			}
			require.Contains(t, result.Reason, "but the current version is")
		}
	}
}

// Guards against a repeated call that, after a lost answer, publishes twice or reports its own success as a refusal.
func TestPublishCanBeRepeatedAfterALostAnswer(t *testing.T) {
	log := &memLog{loseAnswers: []bool{true}}
	first := publish(t, log, 0, config(t, 1), "a")
	require.True(t, first.Accepted)
	require.Equal(t, first, publish(t, log, 0, config(t, 1), "a"))
	require.Len(t, log.records, 1)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	log.loseAnswers = []bool{true}
	_, err := configlog.Publish(ctx, log, first.Version, config(t, 2), "a")
	require.ErrorIs(t, err, configlog.ErrUnknownResult)
	again := publish(t, log, first.Version, config(t, 2), "a")
	require.True(t, again.Accepted)
	require.Len(t, log.records, 2)
}

// Guards against appending invalid input to the log, which every replay would refuse.
func TestPublishRefusesBadInputBeforeItAppends(t *testing.T) {
	log := &memLog{}
	_, err := configlog.Publish(context.Background(), log, 0, &operator.Config{Zones: []operator.Zone{{}}}, "a")
	require.ErrorIs(t, err, operator.ErrInvalid)
	_, err = configlog.Publish(context.Background(), log, 0, config(t, 1), "")
	require.ErrorIs(t, err, configlog.ErrNoAuthor)
	log.truncate(0)
	require.Empty(t, log.records)
	log.first = 5 // all earlier records are lost and there is no checkpoint
	_, err = configlog.Publish(context.Background(), log, 0, config(t, 1), "a")
	require.ErrorIs(t, err, configlog.ErrHistoryLost)
}

// Guards against an older version that becomes current again, and against replays that differ. Either could happen when
// writers race and repeat appends, readers restart, retention drops records, and checkpoints or states of peers replace
// the dropped records.
func TestVersionsOnlyGrowAndReplaysAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &memLog{}
		full := configlog.NewReplay()
		readers := []*configlog.Replay{configlog.NewReplay(), configlog.NewReplay(), configlog.NewReplay()}
		states := []configlog.State{}
		versions := map[uint64]*operator.Config{0: full.Config()}
		sequence := uint64(0)
		appendRecord := func(writer string, seq uint64, record configlog.Record) {
			payload, err := configlog.Encode(record)
			require.NoError(t, err)
			_, err = log.Append(context.Background(), platformapi.StreamConfig,
				platformapi.Draft{Writer: writer, Sequence: seq, Payload: payload})
			require.NoError(t, err)
		}
		sync := func() {
			for offset, v := range log.read(t, full) {
				require.NotEqual(t, configlog.VerdictPending, v.Kind)
				if v.Kind == configlog.VerdictAccepted {
					require.Equal(t, uint64(offset)+1, v.Version)
				}
			}
			versions[full.Version()] = full.Config()
		}
		check := func(r *configlog.Replay, before uint64) {
			require.GreaterOrEqual(t, r.Version(), before)
			if r.IsComplete() && r.Next() == full.Next() {
				require.Equal(t, full.Version(), r.Version())
				require.True(t, operator.Equal(full.Config(), r.Config()))
			}
		}
		reader := func(t *rapid.T) int { return rapid.IntRange(0, len(readers)-1).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				base := rapid.SampledFrom(keys(versions)).Draw(t, "base")
				change := operator.Diff(versions[base], config(t, rapid.IntRange(1, 50).Draw(t, "rate")))
				sequence++
				appendRecord("w", sequence, configlog.Record{Author: "a",
					Change: &configlog.ChangeRecord{Base: base, Change: change}})
				sync()
			},
			"repeat": func(t *rapid.T) {
				if len(log.records) == 0 {
					return
				}
				old := rapid.SampledFrom(log.records).Draw(t, "record")
				_, err := log.Append(context.Background(), platformapi.StreamConfig, old.Draft)
				require.NoError(t, err)
				sync()
			},
			"checkpoint by a lagging reader": func(t *rapid.T) {
				records, err := readers[reader(t)].Checkpoint("r")
				require.NoError(t, err)
				for _, record := range records {
					sequence++
					appendRecord("r", sequence, record)
				}
				sync()
			},
			"malformed": func(*rapid.T) {
				_, err := log.Append(context.Background(), platformapi.StreamConfig, platformapi.Draft{Writer: "x", Payload: []byte("{")})
				require.NoError(t, err)
				sync()
			},
			"truncate": func(t *rapid.T) {
				log.truncate(log.first + entity.Offset(rapid.IntRange(0, len(log.records)).Draw(t, "dropped")))
			},
			"read": func(t *rapid.T) {
				r := readers[reader(t)]
				before := r.Version()
				log.read(t, r)
				check(r, before)
			},
			"restart": func(t *rapid.T) { readers[reader(t)] = configlog.NewReplay() },
			"state from a peer": func(t *rapid.T) {
				if s, ok := readers[reader(t)].State(); ok {
					data, err := configlog.EncodeState(s)
					require.NoError(t, err)
					s, err = configlog.DecodeState(data)
					require.NoError(t, err)
					states = append(states, s)
				}
				if len(states) > 0 {
					r := readers[reader(t)]
					before := r.Version()
					r.ApplyState(rapid.SampledFrom(states).Draw(t, "state"))
					check(r, before)
				}
			},
		})
	})
}

func keys(m map[uint64]*operator.Config) []uint64 {
	var list []uint64
	for k := range m {
		list = append(list, k)
	}
	// Sorted, because the order of a map differs between runs and rapid needs the same order to reproduce a failure.
	for i := range list {
		for j := i; j > 0 && list[j-1] > list[j]; j-- {
			list[j-1], list[j] = list[j], list[j-1]
		}
	}
	return list
}

// Guards against a stream that cannot be replayed after retention has dropped its first records.
func TestCheckpointReplacesDroppedRecords(t *testing.T) {
	log := &memLog{}
	version := uint64(0)
	for rate := range 5 {
		version = publish(t, log, version, config(t, rate+1), "a").Version
	}
	writer := configlog.NewReplay()
	log.read(t, writer)
	records, err := writer.Checkpoint("writer")
	require.NoError(t, err)
	concurrent := publish(t, log, version, config(t, 77), "a") // appended before the checkpoint that does not contain it
	for i, record := range records {
		payload, err := configlog.Encode(record)
		require.NoError(t, err)
		_, err = log.Append(context.Background(), platformapi.StreamConfig,
			platformapi.Draft{Writer: "writer", Sequence: uint64(i), Payload: payload})
		require.NoError(t, err)
	}
	log.truncate(5)
	fresh := configlog.NewReplay()
	log.read(t, fresh)
	require.True(t, fresh.IsComplete())
	require.Equal(t, concurrent.Version, fresh.Version())
	require.True(t, operator.Equal(config(t, 77), fresh.Config()))

	log.truncate(6) // without the concurrent change, the checkpoint alone would restore an older version
	incomplete := configlog.NewReplay()
	log.read(t, incomplete)
	require.False(t, incomplete.IsComplete())
	require.Zero(t, incomplete.Version())
}

// Guards against a checkpoint of a configuration of the design size that exceeds the chunk limits or cannot be restored.
func TestLargeCheckpointFitsItsChunks(t *testing.T) {
	b := operator.New().Zone("z")
	s := operator.Service{Name: "s", Routes: []operator.Route{{Path: "/", Kind: "idempotent", Access: "open"}}}
	for i := range 10_000 {
		s.Backends = append(s.Backends, operator.Backend{
			Name: fmt.Sprint("b", i), Zone: "z", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Slots: 2,
		})
	}
	c, err := b.Service(s).Build()
	require.NoError(t, err)
	records, err := configlog.CheckpointOf(configlog.State{Version: 3, Next: 3, Config: c}, "x")
	require.NoError(t, err)
	r := configlog.NewReplay()
	require.True(t, r.MarkTruncated(3))
	for i, record := range records {
		payload, err := configlog.Encode(record)
		require.NoError(t, err)
		require.Less(t, len(payload), 64<<10)
		r.ApplyRaw(platformapi.Record{Draft: platformapi.Draft{Writer: "w", Payload: payload}, Offset: entity.Offset(3 + i)})
	}
	require.True(t, r.IsComplete())
	require.True(t, operator.Equal(c, r.Config()))
	t.Logf("%d backends: %d chunks", len(s.Backends), len(records))
}
