package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/lease"
	"wigeonwinch/fleet/structs"
)

// Shares of a lease's time to live.
const (
	// renewShare is the part of the time to live after which it is renewed.
	renewShare = 3
	// marginShare is the part of it by which the holder stops earlier.
	marginShare = 6
)

// leaseResend is the least time between two appends of one lease record.
const leaseResend = 2 * time.Second

func leaseTiming(ttl time.Duration) lease.Timing {
	return lease.Timing{TTL: ttl, Renew: ttl / renewShare, Margin: ttl / marginShare, Resend: leaseResend}
}

// leaseKeeper is the planner's lease as one run of a node sees it.
type leaseKeeper struct {
	holder *lease.Holder
	// fenced is the epoch for which the platform refused an act.
	fenced structs.Epoch
}

func newLeaseKeeper(cfg Config) leaseKeeper {
	return leaseKeeper{holder: lease.NewHolder(cfg.Scope, cfg.Node, leaseTiming(cfg.Intervals.LeaseTTL))}
}

// instant reads both clocks. A time before the start counts as the start.
func (l *Loop) instant(now time.Time) lease.Instant {
	return lease.Instant{
		Monotonic: max(0, now.Sub(l.started)),
		Wall:      time.Duration(l.cfg.Wall().UnixNano()),
	}
}

// leaseHeld returns the epoch under which this node may act now. It is asked
// before each act.
func (l *Loop) leaseHeld(now time.Time) (structs.Epoch, bool) {
	view := l.view.Load()
	if view == nil || l.leaving {
		return 0, false
	}
	epoch, err := l.planner.lease.holder.Check(l.instant(now), view)
	return epoch, err == nil && epoch != l.planner.lease.fenced
}

// leaseDue returns the lease record to append now, if any.
func (l *Loop) leaseDue(view *structs.View, now time.Time) (structs.Record, bool) {
	tail := lease.Instant{Monotonic: max(0, l.log.tailAskedAt.Sub(l.started))}
	next, ok := l.planner.lease.holder.Next(l.instant(now), view, tail)
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

// releaseLease gives the lease up at a graceful stop.
func (l *Loop) releaseLease(now time.Time) {
	view := l.view.Load()
	if view == nil {
		return
	}
	if release, ok := l.planner.lease.holder.Release(l.instant(now), view); ok {
		l.submit(l.leaseRecord(release))
	}
	l.noteHolding(now)
}
