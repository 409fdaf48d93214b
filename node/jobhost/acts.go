package jobhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// proofLife is how long after a fenced append acts may begin. Together with
// actTimeout it is less than the gap that a new holder keeps.
const proofLife = 1200 * time.Millisecond

// prove has the store confirm that no newer holder exists, and tells a newer
// one on which VMs this one may act from now on.
func (d *fleetDuty) prove(ctx context.Context, maintain []upkeep.Act, moves []vmMove) {
	vms := make([]string, 0, len(maintain)+len(moves))
	for _, a := range maintain {
		vms = append(vms, a.VM)
	}
	for _, m := range moves {
		vms = append(vms, m.VM)
	}
	now := steadyMS()
	if d.announced.covers(vms...) && sinceMS(d.shard.provenAt.Load()) < proofLife/2 {
		d.announced.note(vms, now)
		return
	}
	rec, err := d.announced.record(vms, now, d.host.cfg.HolderGapMS)
	if err != nil {
		d.note("prove", "", "", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if d.store(ctx, rec) {
		d.announced.stored()
	}
}

// mayAct says whether this node is certainly the only holder.
func (d *fleetDuty) mayAct() bool {
	beat := d.host.heartbeat.Load()
	return beat != nil && sinceMS(beat.sentAt) < startRight && d.shard.ctx.Err() == nil &&
		sinceMS(d.shard.provenAt.Load()) < proofLife
}

// held says whether an earlier holder may have acted on a VM so lately that
// this one must not yet. It may count as taken down meanwhile.
func (d *fleetDuty) held(vm string, now int64) bool {
	return d.inGap(now) && d.announced.inherited(vm)
}

// inGap says whether the gap to an earlier holder's acts is not over.
func (d *fleetDuty) inGap(now int64) bool {
	gap := d.host.cfg.HolderGapMS + proofLife.Milliseconds()
	if d.quietMS > 0 {
		gap = d.host.cfg.HolderGapMS - d.quietMS
	}
	return now-d.shard.takenAt < gap
}

// maintainAll takes VMs down, several at a time. An unanswered call may have
// been carried out, so that the VM counts as down; it is called again until it
// is answered.
func (d *fleetDuty) maintainAll(ctx context.Context, acts []upkeep.Act) {
	now := steadyMS()
	acts = slices.DeleteFunc(acts, func(a upkeep.Act) bool { return !d.announced.covers(a.VM) })
	if len(acts) == 0 || !d.mayAct() {
		return
	}
	for _, a := range acts {
		if d.down[a.Wave] == nil {
			d.down[a.Wave] = map[string]int64{}
		}
		d.down[a.Wave][a.VM] = now
		d.actAt[a.VM] = now
	}
	errs := d.callAll(ctx, now, len(acts), func(ctx context.Context, i int) error {
		return d.host.cfg.VMs.Maintain(ctx, d.holder(), acts[i].VM, acts[i].Wave)
	})
	for i, a := range acts {
		d.maintained(a, errs[i])
	}
}

func (d *fleetDuty) maintained(a upkeep.Act, err error) {
	d.note("maintain", a.VM, fmt.Sprintf("wave=%d", a.Wave), err)
	switch {
	case err == nil:
		delete(d.reports, d.vms[a.VM].Worker)
		d.setBegun(a.Wave, a.VM)
		d.remember(fmt.Sprintf("w/%d/%s", a.Wave, a.VM))
	case deps.KindOf(err) != deps.KindUnknown:
		delete(d.down[a.Wave], a.VM)
	}
}

// callAll makes several calls to the VM service at once.
func (d *fleetDuty) callAll(ctx context.Context, now int64, n int, call func(ctx context.Context, i int) error) []error {
	d.lastAct.Store(now)
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, actTimeout)
			defer cancel()
			errs[i] = call(callCtx, i)
		})
	}
	wait.Wait()
	return errs
}

func (d *fleetDuty) holder() deps.Holder {
	return deps.Holder{Name: d.host.cfg.Node, Epoch: d.shard.epoch}
}

func (d *fleetDuty) note(act, vm, detail string, err error) {
	number := events.VMAct
	if err != nil {
		number = events.VMActFailed
	}
	d.host.record(number, events.Fields{VM: vm, Detail: act + " " + detail, Err: err, Epoch: d.shard.epoch, AgeMS: sinceMS(d.listedAt).Milliseconds()})
}

// remember has a key of the duty stored, without waiting: the store may be slow,
// and further acts must not wait for it.
func (d *fleetDuty) remember(key string) {
	d.host.post(func() {
		d.shard.extra = append(d.shard.extra, extraRecord{shard.Record{Key: key, Value: []byte{1}}, func() {}})
	})
}

// store returns true once the store has the record, false when the duty is
// lost or the context ends first.
func (d *fleetDuty) store(ctx context.Context, rec shard.Record) bool {
	stored := make(chan struct{})
	d.host.post(func() {
		d.shard.extra = append(d.shard.extra, extraRecord{rec, func() { close(stored) }})
	})
	select {
	case <-stored:
		return true
	case <-d.shard.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// openWave tells the operator that a wave is in progress.
func (d *fleetDuty) openWave(ctx context.Context, n int) {
	if d.opened[n] || d.closed[n] {
		return
	}
	if d.writeStatus(ctx, n, false) {
		d.opened[n] = true
	}
}

func (d *fleetDuty) closeWave(ctx context.Context, n int) {
	if d.closed[n] || !d.writeStatus(ctx, n, true) {
		return
	}
	d.closed[n] = true
	d.host.record(events.WaveDone, events.Fields{Detail: fmt.Sprintf("wave=%d", n), Epoch: d.shard.epoch})
	d.remember(fmt.Sprintf("w/%d", n))
}

func (d *fleetDuty) writeStatus(ctx context.Context, n int, completed bool) bool {
	rec, err := d.host.cfg.Codec.WaveStatus(n, completed)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		d.host.stats.storeWrites.Add(1)
		err = d.host.cfg.Store.Append(callCtx, deps.Append{Partition: deps.Partition{Topic: deps.TopicStatus}, Records: []shard.Record{rec}})
	}
	if err != nil {
		d.note("status", "", fmt.Sprintf("wave=%d completed=%v", n, completed), err)
	}
	return err == nil
}
