package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns how long the machine has been suspended since it booted: the
// difference between CLOCK_BOOTTIME, which counts that time, and CLOCK_MONOTONIC, which
// does not. It returns 0 if either clock cannot be read.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
