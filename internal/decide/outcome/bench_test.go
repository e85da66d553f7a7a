package outcome_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
)

// BenchmarkMemory measures one at-most-once request with its answer and its expiry, at three sizes of the memory.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			keys := make([]outcome.Key, 2*size) // at most half of them are in the memory at once
			for i := range keys {
				keys[i] = outcome.Key{Customer: "c", Service: "s", IdempotencyKey: fmt.Sprint("key-", i)}
			}
			step := testWindow / time.Duration(size)
			now := 24 * time.Hour
			memory := outcome.NewMemory(outcome.Limits{Window: testWindow, Entries: 2 * size, AnswerBytes: 1 << 20})
			memory.SetHorizon(outcome.PartitionKey{Service: "s", Partition: testPartition}, 1, 0, now)
			answer := &outcome.Answer{Status: 200}
			run := func(i int) {
				now += step
				r := outcome.Request{Key: keys[i%len(keys)], Partition: testPartition, Epoch: 1}
				if v := memory.Begin(&r, now); v.Decision != outcome.DecideRun {
					b.Fatal(v.Decision)
				}
				memory.RecordAnswer(r.Key, answer, now)
			}
			for i := range size {
				run(i)
			}
			b.ReportAllocs()
			for i := size; b.Loop(); i++ {
				run(i)
			}
		})
	}
}
