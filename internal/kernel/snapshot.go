package kernel

import "sync/atomic"

// Snapshot publishes immutable values from the control goroutine to traffic goroutines. Readers never lock.
type Snapshot[T any] struct{ p atomic.Pointer[T] }

// Publish replaces the value. The value must not change afterwards.
func (s *Snapshot[T]) Publish(v *T) { s.p.Store(v) }

// Load returns the last published value, nil before the first.
func (s *Snapshot[T]) Load() *T { return s.p.Load() }
