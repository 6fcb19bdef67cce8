// Package bootclock reads a monotonic clock that includes the time during which the
// machine was suspended. It is used for leases and deadlines that other machines rely
// on; Go's own monotonic clock stops during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of the fallback to Go's clock, which is used if the system has
// no boot clock.
var start = time.Now()

// Now returns the time since an arbitrary point that is fixed while the process runs.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}
