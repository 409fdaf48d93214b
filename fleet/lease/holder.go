package lease

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// firstSequence is the sequence number of the record that acquires a lease. It
// must not be zero, because a later takeover names the last sequence number it
// observed in ObservedSequence, where zero means any sequence.
const firstSequence = 1

// Holder acquires and renews the lease for one scope during one run of a node.
// It is not safe for concurrent use.
type Holder struct {
	scope   string
	node    string
	timing  Timing
	watcher *Watcher

	// pending is the record proposed last; it is valid if hasPending is true.
	pending     structs.Lease
	hasPending  bool
	firstSentAt Instant
	lastSentAt  Instant
	// confirmed is the newest record of this run that the log has shown, valid
	// if hasConfirmed is true. confirmedSentAt is the time before that record
	// was first appended.
	confirmed       structs.Lease
	hasConfirmed    bool
	confirmedSentAt Instant
}

// NewHolder returns a Holder without a lease. The node parameter is the node's
// name as it appears in the lease records; node names must be unique.
func NewHolder(scope, node string, timing Timing) *Holder {
	return &Holder{
		scope:   scope,
		node:    node,
		timing:  timing,
		watcher: NewWatcher(timing.Margin),
	}
}

// NextRecord returns the lease record to append now, if any: an acquisition
// when the lease for the scope has expired, or a renewal when this node holds
// it. If the response to an append is lost, the same record is returned again
// after the resend interval; the record takes effect only once. tailReadAt is
// the time at which the last read that reached the end of the log began.
func (h *Holder) NextRecord(now Instant, view *structs.View, tailReadAt Instant) (structs.Lease, bool) {
	current := view.Leases[h.scope]
	h.observe(now, current)
	next, ok := h.nextRecord(now, current, tailReadAt)
	if !ok {
		return structs.Lease{}, false
	}
	if h.hasPending && h.pending == next {
		if now.monotonicSince(h.lastSentAt) < h.timing.ResendInterval {
			return structs.Lease{}, false
		}
		h.lastSentAt = now
		return next, true
	}
	h.pending = next
	h.hasPending = true
	h.firstSentAt = now
	h.lastSentAt = now
	return next, true
}

// nextRecord returns the record that this node needs in the log next. A node
// whose lease has expired still tries to renew it; the renewal takes effect
// only if no other node has acquired the next epoch.
func (h *Holder) nextRecord(now Instant, current structs.Lease, tailReadAt Instant) (structs.Lease, bool) {
	if !h.hasConfirmed || current != h.confirmed {
		return h.takeover(now, current, tailReadAt)
	}
	if now.longestSince(h.confirmedSentAt) < h.timing.RenewAfter {
		return structs.Lease{}, false
	}
	return h.newRecord(current.Epoch, current.Sequence+1), true
}

// takeover returns the record that acquires an expired lease.
func (h *Holder) takeover(now Instant, current structs.Lease, tailReadAt Instant) (structs.Lease, bool) {
	if !h.watcher.Expired(now, tailReadAt) {
		return structs.Lease{}, false
	}
	acquired := h.newRecord(current.Epoch+1, firstSequence)
	acquired.ObservedSequence = current.Sequence
	return acquired, true
}

func (h *Holder) newRecord(epoch structs.Epoch, sequence uint64) structs.Lease {
	return structs.Lease{
		Scope:    h.scope,
		Epoch:    epoch,
		Sequence: sequence,
		Holder:   h.node,
		TTLMS:    uint32(h.timing.TTL / time.Millisecond),
	}
}

// observe records the lease shown by the log. The time for which this node may
// rely on the lease starts before the first append of the record.
func (h *Holder) observe(now Instant, current structs.Lease) {
	h.watcher.Observe(now, current)
	if h.hasPending && current == h.pending {
		h.confirmed = h.pending
		h.confirmedSentAt = h.firstSentAt
		h.hasConfirmed = true
	}
}

// expired reports whether too much time has passed since the newest renewal in
// the log was first sent.
func (h *Holder) expired(now Instant) bool {
	return now.longestSince(h.confirmedSentAt) >= h.timing.TTL-h.timing.Margin
}

// Check returns the epoch under which this node may act now, or an *Error.
// Callers must call it before each action, with the newest view.
func (h *Holder) Check(now Instant, view *structs.View) (structs.Epoch, error) {
	current := view.Leases[h.scope]
	h.observe(now, current)
	if current.Holder != h.node || current.Release {
		return 0, &Error{Kind: KindNotHeld, Scope: h.scope, Holder: current.Holder}
	}
	if !h.hasConfirmed || current != h.confirmed {
		return 0, &Error{Kind: KindPreviousRun, Scope: h.scope, Holder: current.Holder}
	}
	if h.expired(now) {
		return 0, &Error{Kind: KindExpired, Scope: h.scope, Holder: current.Holder}
	}
	return current.Epoch, nil
}

// Release returns the record that releases the lease, if this node holds it.
// The node must not act once the record has been sent.
func (h *Holder) Release(now Instant, view *structs.View) (structs.Lease, bool) {
	epoch, err := h.Check(now, view)
	if err != nil {
		return structs.Lease{}, false
	}
	rec := h.newRecord(epoch, h.confirmed.Sequence+1)
	rec.Release = true
	h.hasConfirmed = false
	h.hasPending = false
	return rec, true
}
