package ownership_test

import (
	"fmt"
	"testing"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// BenchmarkReplay measures one Move and its Release with a view published after each, and a checkpoint.
func BenchmarkReplay(b *testing.B) {
	for _, count := range []uint32{256, 16384, 1 << 17} {
		state := ownership.New()
		state.Skip(0)
		apply := func(r ownership.Record) {
			offset := state.Next()
			stamp := ownership.Stamp{Writer: "w", Sequence: uint64(offset)}
			if v := state.Apply(offset, stamp, r); !v.Applied {
				b.Fatal(v.Reason)
			}
		}
		move := ownership.Move{Service: testService, Count: count}
		for p := range count {
			to := entity.BackendID(fmt.Sprintf("b%05d", p/16))
			move.Steps = append(move.Steps, ownership.MoveStep{Partition: entity.Partition(p), To: to})
		}
		apply(move)
		b.Run(fmt.Sprintf("move/%d", count), func(b *testing.B) {
			for b.Loop() {
				view := state.View().Services[testService]
				to := entity.BackendID("x")
				if view.Owners[0].Backend == to {
					to = "y"
				}
				steps := []ownership.MoveStep{{Partition: 0, To: to}}
				apply(ownership.Move{Service: testService, Version: view.Version, Count: count, Steps: steps})
				state.View()
				step := ownership.ReleaseStep{Partition: 0, Epoch: view.Owners[0].Epoch}
				apply(ownership.Release{Service: testService, Steps: []ownership.ReleaseStep{step}})
			}
		})
		b.Run(fmt.Sprintf("checkpoint/%d", count), func(b *testing.B) {
			for b.Loop() {
				state.Chunks()
			}
		})
	}
}
