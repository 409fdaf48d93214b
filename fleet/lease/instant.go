package lease

import "time"

// Instant is one reading of a node's two clocks, monotonic and wall.
type Instant struct {
	// Monotonic is the time since the process started. It never goes backward,
	// but may stop while the VM is suspended.
	Monotonic time.Duration
	// Wall is the time since the Unix epoch. It may jump forward or backward.
	Wall time.Duration
}

// longestSince returns the larger of the elapsed times of the two clocks. The
// lease holder uses it: a jump of the wall clock can only end the lease early,
// and the time during which the VM was suspended is counted.
func (i Instant) longestSince(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall-earlier.Wall)
}

// monotonicSince returns the elapsed time of the monotonic clock. A node
// waiting for another node's lease to expire uses it, because the monotonic
// clock cannot run ahead of real time.
func (i Instant) monotonicSince(earlier Instant) time.Duration {
	return i.Monotonic - earlier.Monotonic
}
