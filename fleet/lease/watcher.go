package lease

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Watcher waits for another node's lease to lapse. It is not safe for
// concurrent use.
type Watcher struct {
	margin time.Duration
	known  bool
	last   structs.Lease
	seen   Instant
}

// NewWatcher returns a watcher that waits the given margin longer than a
// record's time to live.
func NewWatcher(margin time.Duration) *Watcher {
	return &Watcher{margin: margin}
}

// Observe notes the lease that the log shows for the scope. Each new record
// starts the wait anew.
func (w *Watcher) Observe(now Instant, current structs.Lease) {
	if w.known && current == w.last {
		return
	}
	w.known = true
	w.last = current
	w.seen = now
}

// Lapsed says whether the lease may be taken. Tail is the moment at which the
// last read of the log that reached its end was begun: a renewal may stand in
// a part of the log that has not been read.
func (w *Watcher) Lapsed(now, tail Instant) bool {
	if !w.known {
		return false
	}
	if w.last.Holder == "" || w.last.Release {
		return true
	}
	wait := time.Duration(w.last.TTLMS)*time.Millisecond + w.margin
	return now.monotonicSince(w.seen) > wait && tail.monotonicSince(w.seen) > wait
}
