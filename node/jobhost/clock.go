package jobhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// steadyMS reads the clock that leases and rights are measured on. It counts
// the time for which the VM was suspended, so that a right that lapsed during
// a freeze has lapsed.
func steadyMS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixMilli()
	}
	return ts.Sec*1000 + ts.Nsec/1_000_000
}

func wallMS() int64 { return time.Now().UnixMilli() }
