//go:build !linux

package timekeeper

import "time"

var started = time.Now()

// Uptime returns the time since the process started. Whether that includes the time for which the
// machine was suspended depends on the operating system.
func Uptime() time.Duration { return time.Since(started) }
