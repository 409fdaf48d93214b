package lease

import "time"

// Instant is one reading of a node's two clocks.
type Instant struct {
	// Monotonic is the time since the process started. It never goes back but
	// may stand still while the VM is suspended.
	Monotonic time.Duration
	// Wall is the time of day since the Unix epoch. It may jump either way.
	Wall time.Duration
}

// longestSince returns the longer of the two elapsed times. A holder uses it:
// a jump of the wall clock can only end its belief early, and a suspended VM
// notices that time has passed.
func (i Instant) longestSince(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall-earlier.Wall)
}

// monotonicSince returns the elapsed time of the monotonic clock. A node that
// waits for another's lease uses it: it can't run ahead of real time.
func (i Instant) monotonicSince(earlier Instant) time.Duration {
	return i.Monotonic - earlier.Monotonic
}
