package kernel

import "sync/atomic"

// Snapshot publishes immutable values from the control goroutine to traffic goroutines. Reading it takes no lock.
type Snapshot[T any] struct{ p atomic.Pointer[T] }

// Publish replaces the value. The new value must not be modified afterwards.
func (s *Snapshot[T]) Publish(v *T) { s.p.Store(v) }

// Load returns the last published value, or nil if there is none.
func (s *Snapshot[T]) Load() *T { return s.p.Load() }
