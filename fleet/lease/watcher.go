package lease

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Watcher determines when another node's lease has expired. It is not safe for
// concurrent use.
type Watcher struct {
	margin     time.Duration
	observed   bool
	last       structs.Lease
	observedAt Instant
}

// NewWatcher returns a Watcher that waits for the TTL of a record plus margin.
func NewWatcher(margin time.Duration) *Watcher {
	return &Watcher{margin: margin}
}

// Observe records the lease that the log shows for the scope. Each new record
// restarts the wait.
func (w *Watcher) Observe(now Instant, current structs.Lease) {
	if w.observed && current == w.last {
		return
	}
	w.observed = true
	w.last = current
	w.observedAt = now
}

// Expired reports whether another node may acquire the lease. tailReadAt is
// the time at which the last read that reached the end of the log began. That
// read must have begun after the wait as well, because the part of the log
// that has not been read may hold a renewal.
func (w *Watcher) Expired(now, tailReadAt Instant) bool {
	if !w.observed {
		return false
	}
	if w.last.Holder == "" || w.last.Release {
		return true
	}
	wait := time.Duration(w.last.TTLMS)*time.Millisecond + w.margin
	return now.monotonicSince(w.observedAt) > wait && tailReadAt.monotonicSince(w.observedAt) > wait
}
