package lease

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// firstSequence is the sequence number of a take. It is above zero, so that
// the next take can name what it has seen.
const firstSequence = 1

// Holder takes and renews the lease of one scope for one run of a node. It is
// not safe for concurrent use.
type Holder struct {
	scope   string
	node    string
	timing  Timing
	watcher *Watcher

	// sent is the record that was last proposed, if any.
	sent      structs.Lease
	proposed  bool
	firstSent Instant
	lastSent  Instant
	// held is the newest record of this run that the log has shown, with the
	// moment before its first append.
	held      structs.Lease
	confirmed bool
	heldSince Instant
}

// NewHolder returns a holder that has no lease. The node is named as in the
// records it appends; two nodes must not share a name.
func NewHolder(scope, node string, timing Timing) *Holder {
	return &Holder{
		scope:   scope,
		node:    node,
		timing:  timing,
		watcher: NewWatcher(timing.Margin),
	}
}

// Next returns the lease record to append now, if any: a take when the scope's
// lease has lapsed, a renewal when this node holds it. A record whose answer
// was lost is returned again after a while; the log's fold accepts it once.
// Tail is the moment at which the last read that reached the log's end began.
func (h *Holder) Next(now Instant, view *structs.View, tail Instant) (structs.Lease, bool) {
	current := view.Leases[h.scope]
	h.observe(now, current)
	next, ok := h.wanted(now, current, tail)
	if !ok {
		return structs.Lease{}, false
	}
	if h.proposed && h.sent == next {
		if now.monotonicSince(h.lastSent) < h.timing.Resend {
			return structs.Lease{}, false
		}
		h.lastSent = now
		return next, true
	}
	h.sent = next
	h.proposed = true
	h.firstSent = now
	h.lastSent = now
	return next, true
}

// wanted returns the record that this node would like the log to hold next. A
// holder whose lease has expired renews it all the same: the fold accepts that
// only as long as nobody has taken the next epoch.
func (h *Holder) wanted(now Instant, current structs.Lease, tail Instant) (structs.Lease, bool) {
	if !h.confirmed || current != h.held {
		return h.takeOver(now, current, tail)
	}
	if now.longestSince(h.heldSince) < h.timing.Renew {
		return structs.Lease{}, false
	}
	return h.record(current.Epoch, current.Sequence+1), true
}

// takeOver returns the take of a lapsed lease.
func (h *Holder) takeOver(now Instant, current structs.Lease, tail Instant) (structs.Lease, bool) {
	if !h.watcher.Lapsed(now, tail) {
		return structs.Lease{}, false
	}
	take := h.record(current.Epoch+1, firstSequence)
	take.Seen = current.Sequence
	return take, true
}

func (h *Holder) record(epoch structs.Epoch, sequence uint64) structs.Lease {
	return structs.Lease{
		Scope:    h.scope,
		Epoch:    epoch,
		Sequence: sequence,
		Holder:   h.node,
		TTLMS:    uint32(h.timing.TTL / time.Millisecond),
	}
}

// observe notes the lease that the log shows. Time that this node relies on
// counts from before the first append of the record.
func (h *Holder) observe(now Instant, current structs.Lease) {
	h.watcher.Observe(now, current)
	if h.proposed && current == h.sent {
		h.held = h.sent
		h.heldSince = h.firstSent
		h.confirmed = true
	}
}

// expired says whether the newest renewal in the log was sent too long ago.
func (h *Holder) expired(now Instant) bool {
	return now.longestSince(h.heldSince) >= h.timing.TTL-h.timing.Margin
}

// Check returns the epoch under which this node may act now, or an *Error. It
// is called before each act, with the newest view.
func (h *Holder) Check(now Instant, view *structs.View) (structs.Epoch, error) {
	current := view.Leases[h.scope]
	h.observe(now, current)
	if current.Holder != h.node || current.Release {
		return 0, &Error{Kind: KindNotHeld, Scope: h.scope, Holder: current.Holder}
	}
	if !h.confirmed || current != h.held {
		return 0, &Error{Kind: KindForgotten, Scope: h.scope, Holder: current.Holder}
	}
	if h.expired(now) {
		return 0, &Error{Kind: KindExpired, Scope: h.scope, Holder: current.Holder}
	}
	return current.Epoch, nil
}

// Release returns the record that gives the lease up, if this node holds it.
// The node must not act any more once it has been sent.
func (h *Holder) Release(now Instant, view *structs.View) (structs.Lease, bool) {
	epoch, err := h.Check(now, view)
	if err != nil {
		return structs.Lease{}, false
	}
	rec := h.record(epoch, h.held.Sequence+1)
	rec.Release = true
	h.confirmed = false
	h.proposed = false
	return rec, true
}
