package jobhost

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// claim takes a partition over on another goroutine.
func (h *Host) claim(p deps.Partition, now int64) {
	h.claiming[p] = true
	dead := map[string]bool{}
	known := h.announced[p].Epoch
	for name, n := range h.nodes {
		if !h.present(n, now) {
			dead[name] = true
		}
		for _, o := range n.record.Owned {
			if o.partition() == p {
				known = max(known, o.Epoch)
			}
		}
	}
	boots := map[string]int64{}
	for name, n := range h.nodes {
		boots[name] = n.record.Boot
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*storeTimeout)
		defer cancel()
		t, err := h.take(ctx, p, known, dead, boots)
		h.post(func() {
			delete(h.claiming, p)
			if err != nil {
				h.vacantAt[p] = steadyMS()
				h.record(events.TakeoverFailed, events.Fields{Detail: describe(p), Err: err})
				return
			}
			h.own(t)
		})
	}()
}

// taken is a partition that has just been fenced and read.
type taken struct {
	partition deps.Partition
	epoch     int64
	// sequence is that of the append that took the partition over.
	sequence int64
	records  []shard.Record
	// earlier is the owner before.
	earlier ownership
	// stale says that the earlier owner may still extend leases.
	stale   bool
	startMS int64
}

// The store answers an append with the epoch and sequence of an earlier one as
// a repeat, so that two nodes must never choose the same pair.
const (
	// epochsPerMS leaves room for random epochs within one millisecond.
	epochsPerMS      = 1 << 10
	maxFirstSequence = 1 << 40
)

func newEpoch() int64 { return wallMS()*epochsPerMS + rand.Int64N(epochsPerMS) }

// take fences a partition with a higher epoch, provided that it has not
// changed since it was read.
func (h *Host) take(ctx context.Context, p deps.Partition, known int64, dead map[string]bool, boots map[string]int64) (taken, error) {
	began := steadyMS()
	page, err := h.cfg.Store.Newest(ctx, p)
	if err != nil {
		return taken{}, err
	}
	if page.End != page.StartEnd {
		return taken{}, errors.New("the partition changed while it was read")
	}
	t := taken{partition: p, epoch: max(known+1, newEpoch()), sequence: rand.Int64N(maxFirstSequence) + 1, startMS: began}
	var earlier ownership
	for _, r := range page.Records {
		if r.Key != ownerKey {
			t.records = append(t.records, r)
			continue
		}
		if err := decMode.Unmarshal(r.Value, &earlier); err != nil {
			return taken{}, errors.Wrap(err, "the owner's record can't be decoded")
		}
	}
	if earlier.Epoch > known && earlier.Node != h.cfg.Node && !dead[earlier.Node] && boots[earlier.Node] == earlier.Boot {
		h.post(func() { h.takeAnnouncement(earlier) })
		return taken{}, errors.Errorf("node %s has just taken it over", earlier.Node)
	}
	t.epoch = max(t.epoch, earlier.Epoch+1)
	t.earlier = earlier
	t.stale = earlier.Node != "" && dead[earlier.Node] && boots[earlier.Node] == earlier.Boot
	rec, err := h.ownerRecord(p, t.epoch)
	if err != nil {
		return taken{}, err
	}
	end := page.End
	err = h.cfg.Store.Append(ctx, deps.Append{Partition: p, At: &end, Fence: &deps.Fence{Epoch: t.epoch, Sequence: t.sequence},
		Records: []shard.Record{rec}})
	if err != nil && deps.KindOf(err) == deps.KindUnknown {
		return h.confirmTake(ctx, t, err)
	}
	return t, err
}

// confirmTake finds out whether an unanswered takeover was carried out.
func (h *Host) confirmTake(ctx context.Context, t taken, cause error) (taken, error) {
	page, err := h.cfg.Store.Newest(ctx, t.partition)
	if err != nil {
		return taken{}, cause
	}
	for _, r := range page.Records {
		var o ownership
		if r.Key == ownerKey && decMode.Unmarshal(r.Value, &o) == nil && o.Epoch == t.epoch && o.Boot == h.boot {
			return t, nil
		}
	}
	return taken{}, cause
}

// own begins to decide for a partition.
func (h *Host) own(t taken) {
	now := steadyMS()
	ctx, cancel := context.WithCancel(context.Background())
	s := &ownedShard{partition: t.partition, epoch: t.epoch, sequence: t.sequence, ctx: ctx, cancel: cancel, takenAt: now, kept: map[string][]byte{}}
	s.provenAt.Store(t.startMS)
	h.owned[t.partition] = s
	if t.partition.Topic == deps.TopicJobs {
		h.restoreShard(s, t, now)
	} else {
		for _, r := range t.records {
			s.kept[r.Key] = r.Value
		}
		s.inherited = t.earlier.Node != ""
		h.fleet = newFleetDuty(h, s)
		h.fleet.quietMS = h.quietSince(t.earlier, now)
	}
	h.record(events.ShardTaken, events.Fields{Detail: fmt.Sprintf("%s epoch=%d records=%d stale=%v took_ms=%d", describe(t.partition), t.epoch, len(t.records), t.stale, now-t.startMS)})
	h.ownershipChanged()
	h.announce(t.partition, t.epoch)
}

// quietSince returns for how long an earlier holder of the fleet duty has
// certainly not acted: as it said when it left, or since its process was
// replaced. 0 means that nothing is known.
func (h *Host) quietSince(earlier ownership, now int64) int64 {
	n := h.nodes[earlier.Node]
	switch {
	case n == nil:
		return 0
	case n.record.Boot > earlier.Boot:
		return n.record.UptimeMS + now - n.changedAt
	case n.record.Leaving && n.record.QuietMS > 0:
		return n.record.QuietMS + now - n.changedAt
	}
	return 0
}

func (h *Host) restoreShard(s *ownedShard, t taken, now int64) {
	s.core = shard.New(h.cfg.shardConfig(t.epoch, t.stale), now, wallMS())
	for _, r := range t.records {
		if err := s.core.Restore(r); err != nil {
			h.record(events.RecordUnreadable, events.Fields{Detail: describe(s.partition) + " " + r.Key, Err: err})
		}
	}
	h.configureShard(s)
	h.needLists.Store(true)
	h.listWorkers(s)
}
