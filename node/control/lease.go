package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/lease"
	"wigeonwinch/fleet/structs"
)

// Fractions of the time to live of a lease.
const (
	// renewDivisor divides the time to live to get the age at which the holder
	// renews the lease.
	renewDivisor = 3
	// marginDivisor divides the time to live to get the margin by which the
	// holder stops before the lease expires.
	marginDivisor = 6
)

// leaseResendInterval is the minimum interval between two appends of one lease
// record.
const leaseResendInterval = 2 * time.Second

func leaseTiming(ttl time.Duration) lease.Timing {
	return lease.Timing{TTL: ttl, RenewAfter: ttl / renewDivisor, Margin: ttl / marginDivisor, ResendInterval: leaseResendInterval}
}

// leaseState is the state of the planner's lease in one incarnation of a node.
type leaseState struct {
	holder *lease.Holder
	// fencedEpoch is the lease epoch for which the platform refused an action.
	fencedEpoch structs.Epoch
}

func newLeaseState(cfg Config) leaseState {
	return leaseState{holder: lease.NewHolder(cfg.Scope, cfg.Node, leaseTiming(cfg.Intervals.LeaseTTL))}
}

// instant reads both clocks. It treats a time before the start of the loop as
// the start.
func (l *Loop) instant(now time.Time) lease.Instant {
	return lease.Instant{
		Monotonic: max(0, now.Sub(l.started)),
		Wall:      time.Duration(l.cfg.WallClock().UnixNano()),
	}
}

// heldEpoch returns the lease epoch under which this node may plan and execute
// actions now, and false if it does not hold the lease. It is checked again
// before each action.
func (l *Loop) heldEpoch(now time.Time) (structs.Epoch, bool) {
	view := l.view.Load()
	if view == nil || l.leaving {
		return 0, false
	}
	epoch, err := l.planner.lease.holder.Check(l.instant(now), view)
	return epoch, err == nil && epoch != l.planner.lease.fencedEpoch
}

// nextLeaseRecord returns the lease record to append now, if any.
func (l *Loop) nextLeaseRecord(view *structs.View, now time.Time) (structs.Record, bool) {
	tail := lease.Instant{Monotonic: max(0, l.log.tailReadSentAt.Sub(l.started))}
	next, ok := l.planner.lease.holder.NextRecord(l.instant(now), view, tail)
	if !ok {
		return structs.Record{}, false
	}
	return l.leaseRecord(next), true
}

func (l *Loop) leaseRecord(next structs.Lease) structs.Record {
	key := fmt.Sprintf("lease/%s/%d/%d/%s/%d", next.Scope, next.Epoch, next.Sequence, l.cfg.Node, l.cfg.Incarnation)
	if next.Release {
		key += "/release"
	}
	return structs.Record{Key: key, Writer: l.cfg.Node, Lease: &next}
}

// releaseLease appends a release of the lease at a graceful stop.
func (l *Loop) releaseLease(now time.Time) {
	view := l.view.Load()
	if view == nil {
		return
	}
	if release, ok := l.planner.lease.holder.Release(l.instant(now), view); ok {
		l.submit(l.leaseRecord(release))
	}
	l.updateHolding(now)
}
