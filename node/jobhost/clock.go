package jobhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonicMS returns the time of CLOCK_BOOTTIME in milliseconds, on which
// leases and ownership windows are measured. This clock includes the time
// during which the VM was suspended, so a window that ended during a suspension
// has expired on resume.
func monotonicMS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixMilli()
	}
	return ts.Sec*1000 + ts.Nsec/1_000_000
}

func wallMS() int64 { return time.Now().UnixMilli() }
