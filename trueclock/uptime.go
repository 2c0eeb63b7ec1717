package trueclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine started, including the time for which it was suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the kernel has no clock that counts suspended time: " + err.Error())
	}
	return time.Duration(t.Nano())
}
