package kernel

import (
	"sync"
	"time"
)

// Clock is a monotonic clock. Only differences between its readings are meaningful.
type Clock interface {
	// Now returns the time since an arbitrary fixed point in the life of this process.
	Now() time.Duration
	// AfterFunc calls f on a separate goroutine when d has passed. The returned function cancels the call.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// SystemClock reads the operating system's monotonic clock.
type SystemClock struct{ start time.Time }

// NewSystemClock returns a clock that reads zero now.
func NewSystemClock() *SystemClock { return &SystemClock{start: time.Now()} }

// Now returns the time since the clock was created.
func (c *SystemClock) Now() time.Duration { return time.Since(c.start) }

// AfterFunc calls f when d has passed.
func (c *SystemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// ManualClock is a Clock that advances only when Advance is called. It lets tests of failures run in virtual time.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Duration
	nextID int
	timers map[int]manualTimer
}

type manualTimer struct {
	at time.Duration
	f  func()
}

// NewManualClock returns a clock that reads zero.
func NewManualClock() *ManualClock { return &ManualClock{timers: map[int]manualTimer{}} }

// Now returns the sum of all durations passed to Advance.
func (c *ManualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc registers f, which is called by the Advance that reaches its due time.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.nextID
	c.nextID++
	c.timers[id] = manualTimer{at: c.now + d, f: f}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, pending := c.timers[id]
		delete(c.timers, id)
		return pending
	}
}

// Advance moves the clock forward by d and calls the timers that become due, in order of their due time, on the caller's
// goroutine.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now + d
	for {
		id, due := c.earliest(end)
		if !due {
			break
		}
		timer := c.timers[id]
		delete(c.timers, id)
		c.now = max(c.now, timer.at)
		c.mu.Unlock()
		timer.f()
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// earliest returns the timer with the earliest due time up to end. Of timers due at the same time, it returns the one that was
// registered first. The caller must hold c.mu.
func (c *ManualClock) earliest(end time.Duration) (id int, due bool) {
	id = -1
	for candidate, timer := range c.timers {
		if timer.at > end {
			continue
		}
		if id < 0 || timer.at < c.timers[id].at || (timer.at == c.timers[id].at && candidate < id) {
			id = candidate
		}
	}
	return id, id >= 0
}
