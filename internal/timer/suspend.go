package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the instance has been suspended since it started. Steady clocks
// do not count that time. It is 0 where the system does not tell.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
