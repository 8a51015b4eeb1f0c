package guavascheduler

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a clock that advances while the host is suspended and is not
// affected by changes of the system time. The zero value is ready to use.
type BootClock struct {
	once sync.Once
	// origin is the system time at which the boot clock was 0.
	origin time.Time
}

// Now returns the system time at the first call plus the boot time elapsed since
// then.
func (c *BootClock) Now() time.Time {
	boot := sinceBoot()
	c.once.Do(func() { c.origin = time.Now().Round(0).Add(-boot) })
	return c.origin.Add(boot)
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock, and leases are not safe
		// without it.
		panic("guavascheduler: read the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
