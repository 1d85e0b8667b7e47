package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine started, including the time for which it was
// suspended. The monotonic clock of package time leaves that time out, so an age that must never
// be too small is measured by Uptime. Steps of the time of day do not change it. Uptimes of
// different machines can't be compared.
func Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Can't happen: Linux has had the clock since 2.6.39.
		panic(err)
	}
	return time.Duration(now.Nano())
}
