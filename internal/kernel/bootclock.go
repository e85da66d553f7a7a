package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a monotonic clock that includes the time during which the machine was suspended. Leases and grants continue to
// run on other machines during that time.
type BootClock struct {
	start    time.Duration
	fallback *SystemClock
}

// NewBootClock returns a clock that reads zero now.
func NewBootClock() *BootClock {
	c := &BootClock{fallback: NewSystemClock()}
	c.start = c.read()
	return c
}

// Now returns the time since the clock was created, including suspensions.
func (c *BootClock) Now() time.Duration { return c.read() - c.start }

// AfterFunc calls f when d has passed. A suspension may delay the call.
func (c *BootClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// read returns the system's boot-time clock. If the system has none, it returns the monotonic clock, which may not include
// suspensions.
func (c *BootClock) read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return c.fallback.Now()
	}
	return time.Duration(ts.Nano())
}
