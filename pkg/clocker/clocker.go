// Package clocker provides a clock that keeps running while the instance is
// suspended, so that leases expire on time after a suspension. Changes of the
// system time do not affect it.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns times whose differences are the elapsed real time, including
// time spent suspended. The zero Clock is not usable.
type Clock struct {
	base  time.Time
	start time.Duration
}

// New returns a clock whose first reading is the system time.
func New() *Clock {
	return &Clock{
		base:  time.Now().Round(0),
		start: sinceBoot(),
	}
}

// Now returns the system time at New plus the time elapsed since then.
func (c *Clock) Now() time.Time {
	return c.base.Add(sinceBoot() - c.start)
}

// sinceBoot returns the time since the instance booted. Go's own monotonic
// clock stops during a suspension, and the system time may be changed.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on a kernel without this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
