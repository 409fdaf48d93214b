package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/structs"
)

// Shares of a lease's time to live, in percent.
const (
	// renewPercent is when the holder renews.
	renewPercent = 33
	// actPercent is until when the holder acts, counted from sending.
	actPercent = 80
	// takePercent is how long a lease must have stood still to be taken.
	takePercent = 120
)

// leaseKeeper takes and renews one scope's lease through the log. The holder
// counts from the moment it sent the record, a taker from the moment it saw
// the record, so that the holder stops before anybody takes over.
type leaseKeeper struct {
	scope       string
	node        string
	incarnation uint64
	ttl         time.Duration
	// stagger spreads the takers.
	stagger time.Duration

	seen   structs.Lease
	seenAt time.Time
	// sent is the last record this run sent, and when.
	sent   structs.Lease
	sentAt time.Time
	// confirmed is the last sent record that the log took, confirmedAt is
	// when it was sent.
	confirmed   structs.Lease
	confirmedAt time.Time
	// lost says that the platform has refused an act as fenced.
	lost structs.Epoch
}

func newLeaseKeeper(cfg Config) leaseKeeper {
	ttl := cfg.Intervals.LeaseTTL
	return leaseKeeper{
		scope:       cfg.Scope,
		node:        cfg.Node,
		incarnation: cfg.Incarnation,
		ttl:         ttl,
		stagger:     time.Duration(nameSeed(cfg.Node) % uint64(ttl/4+1)),
	}
}

// observe takes in the lease as the view shows it.
func (k *leaseKeeper) observe(view *structs.View, now time.Time) {
	lease := view.Leases[k.scope]
	if lease != k.seen || k.seenAt.IsZero() {
		k.seen = lease
		k.seenAt = now
	}
	if lease == k.sent && lease != k.confirmed {
		k.confirmed = lease
		k.confirmedAt = k.sentAt
	}
}

// own says that the lease in the view is one that this run sent.
func (k *leaseKeeper) own() bool {
	return k.seen.Holder == k.node && !k.seen.Release && k.seen == k.confirmed && k.lost != k.seen.Epoch
}

// held returns the epoch and says that the lease holds for acting now.
func (k *leaseKeeper) held(now time.Time) (structs.Epoch, bool) {
	if !k.own() {
		return 0, false
	}
	return k.seen.Epoch, now.Sub(k.confirmedAt) < k.share(actPercent)
}

func (k *leaseKeeper) share(percent int) time.Duration {
	return k.ttl * time.Duration(percent) / 100
}

// due returns the record to send now, if any.
func (k *leaseKeeper) due(now time.Time) *structs.Record {
	switch {
	case k.own():
		if now.Sub(k.confirmedAt) < k.share(renewPercent) {
			return nil
		}
		return k.send(structs.Lease{Epoch: k.seen.Epoch, Sequence: k.seen.Sequence + 1}, now)
	case k.seen.Epoch == 0 || k.seen.Release:
		if now.Sub(k.seenAt) < k.stagger/4 {
			return nil
		}
		return k.send(structs.Lease{Epoch: k.seen.Epoch + 1, Sequence: 1}, now)
	}
	return k.takeWhenStill(now)
}

func (k *leaseKeeper) takeWhenStill(now time.Time) *structs.Record {
	if now.Sub(k.seenAt) < k.share(takePercent)+k.stagger {
		return nil
	}
	return k.send(structs.Lease{Epoch: k.seen.Epoch + 1, Sequence: 1}, now)
}

// release returns the record that gives the lease up, if it is held.
func (k *leaseKeeper) release(now time.Time) *structs.Record {
	if _, ok := k.held(now); !ok {
		return nil
	}
	return k.send(structs.Lease{Epoch: k.seen.Epoch, Sequence: k.seen.Sequence + 1, Release: true}, now)
}

// send notes a lease as sent. A record that was sent before and not seen yet
// is not sent again; the appender resolves it.
func (k *leaseKeeper) send(lease structs.Lease, now time.Time) *structs.Record {
	lease.Scope = k.scope
	lease.Holder = k.node
	lease.TTLMS = uint32(k.ttl.Milliseconds())
	if lease == k.sent {
		return nil
	}
	k.sent = lease
	k.sentAt = now
	key := fmt.Sprintf("lease/%s/%d/%d/%s/%d", k.scope, lease.Epoch, lease.Sequence, k.node, k.incarnation)
	if lease.Release {
		key += "/release"
	}
	return &structs.Record{Key: key, Writer: k.node, Lease: &lease}
}
