package outcome

import "time"

// agingBuckets is the number of buckets per window. Values expire late by at most 1/64 of the window.
const agingBuckets = 64

// aging groups values by the time at which they began, so that expiry visits only the values that expire.
type aging[T any] struct {
	width   time.Duration
	buckets map[int64][]T
}

func newAging[T any](window time.Duration) aging[T] {
	return aging[T]{width: max(window/agingBuckets, 1), buckets: map[int64][]T{}}
}

func (a *aging[T]) add(at time.Duration, v T) {
	slot := int64(at / a.width)
	a.buckets[slot] = append(a.buckets[slot], v)
}

// expire removes the buckets whose values all began before the given time and calls drop for each of the values.
func (a *aging[T]) expire(before time.Duration, drop func(T)) {
	limit := int64(before / a.width)
	for slot, values := range a.buckets {
		if slot >= limit {
			continue
		}
		delete(a.buckets, slot)
		for _, v := range values {
			drop(v)
		}
	}
}
