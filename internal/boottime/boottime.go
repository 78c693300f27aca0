// Package boottime provides a steady clock that counts the time in which the VM was
// suspended. The monotonic clock of package time does not, so that a permission which is
// checked with it would outlast a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted.
func Now() time.Duration {
	var ts unix.Timespec
	// The call fails only for an unknown clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}
