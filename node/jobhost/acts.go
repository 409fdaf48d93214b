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

// verificationTTL is the time after a fenced append within which VM actions may
// begin. The sum of verificationTTL and actionTimeout is less than the gap that
// a successor waits.
const verificationTTL = 1200 * time.Millisecond

// minTakeoverGap replaces a shorter gap from the settings: a call of the
// predecessor to the VM service may take that long.
const minTakeoverGap = actionTimeout

// verifyAndAnnounce appends a fenced record that names the VMs of the planned
// actions. The append proves that no newer fleet controller exists, and tells a
// successor on which VMs this one may act from now on. It does nothing if the
// stored record names these VMs and the last verification is recent.
func (c *fleetController) verifyAndAnnounce(ctx context.Context, maintain []upkeep.Action, moves []vmMove) {
	vms := make([]string, 0, len(maintain)+len(moves))
	for _, a := range maintain {
		vms = append(vms, a.VM)
	}
	for _, m := range moves {
		vms = append(vms, m.VM)
	}
	now := monotonicMS()
	if c.announced.includes(vms...) && sinceMS(c.shard.verifiedAt.Load()) < verificationTTL/2 {
		c.announced.touch(vms, now)
		return
	}
	rec, err := c.announced.newRecord(vms, now, c.host.cfg.TakeoverGapMS)
	if err != nil {
		c.recordAction("prove", "", "", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.storeAndWait(ctx, rec) {
		c.announced.markStored()
	}
}

// mayAct reports whether this node is certainly the only fleet controller.
func (c *fleetController) mayAct() bool {
	hb := c.host.confirmedHeartbeat.Load()
	return hb != nil && sinceMS(hb.sentAt) < startWindow && c.shard.ctx.Err() == nil &&
		sinceMS(c.shard.verifiedAt.Load()) < verificationTTL
}

// mayActOn reports whether a call for a VM may begin. Its shard may have got another
// owner since the plan was made.
func (c *fleetController) mayActOn(vm string) bool {
	return c.announced.includes(vm) && c.reportedByOwner(vm)
}

// vmInTakeoverGap reports whether a predecessor may have acted on the VM so
// recently that this node must not act on it yet. Meanwhile the VM counts as
// down for the waves that list it.
func (c *fleetController) vmInTakeoverGap(vm string, now int64) bool {
	return c.inTakeoverGap(now) && c.announced.inherited(vm)
}

// inTakeoverGap reports whether the gap that must follow the actions of a
// predecessor is still open.
func (c *fleetController) inTakeoverGap(now int64) bool {
	gap := c.host.cfg.TakeoverGapMS + verificationTTL.Milliseconds()
	if c.predecessorIdleMS > 0 {
		gap = c.host.cfg.TakeoverGapMS - c.predecessorIdleMS
	}
	return now-c.shard.ownedSince < gap
}

// startMaintenance takes VMs down, several at a time. A call without an answer
// may have taken effect, so its VM counts as down and the call is repeated
// until it is answered.
func (c *fleetController) startMaintenance(ctx context.Context, actions []upkeep.Action) {
	now := monotonicMS()
	actions = slices.DeleteFunc(actions, func(a upkeep.Action) bool { return !c.mayActOn(a.VM) })
	if len(actions) == 0 || !c.mayAct() {
		return
	}
	for _, a := range actions {
		if c.downSince[a.Wave] == nil {
			c.downSince[a.Wave] = map[string]int64{}
		}
		c.downSince[a.Wave][a.VM] = now
		c.lastActionAt[a.VM] = now
	}
	errs := c.callConcurrently(ctx, now, len(actions), func(ctx context.Context, i int) error {
		return c.host.cfg.VMs.Maintain(ctx, c.fencedHolder(), actions[i].VM, actions[i].Wave)
	})
	for i, a := range actions {
		c.handleMaintainResult(a, errs[i])
	}
}

func (c *fleetController) handleMaintainResult(a upkeep.Action, err error) {
	c.recordAction("maintain", a.VM, fmt.Sprintf("wave=%d", a.Wave), err)
	switch {
	case err == nil:
		delete(c.workerReports, c.vms[a.VM].Worker)
		c.markStarted(a.Wave, a.VM)
		c.storeKeyAsync(fmt.Sprintf("w/%d/%s", a.Wave, a.VM))
	case deps.KindOf(err) != deps.KindUnknown:
		delete(c.downSince[a.Wave], a.VM)
	}
}

// callConcurrently makes n calls to the VM service at once and returns their
// errors.
func (c *fleetController) callConcurrently(ctx context.Context, now int64, n int, call func(ctx context.Context, i int) error) []error {
	c.lastActionStart.Store(now)
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, actionTimeout)
			defer cancel()
			errs[i] = call(callCtx, i)
		})
	}
	wait.Wait()
	return errs
}

func (c *fleetController) fencedHolder() deps.Holder {
	return deps.Holder{Name: c.host.cfg.Node, Epoch: c.shard.epoch}
}

func (c *fleetController) recordAction(action, vm, detail string, err error) {
	number := events.VMAct
	if err != nil {
		number = events.VMActFailed
	}
	c.host.record(number, events.Fields{VM: vm, Detail: action + " " + detail, Err: err, Epoch: c.shard.epoch, AgeMS: sinceMS(c.listedAt).Milliseconds()})
}

// storeKeyAsync queues a key of the fleet controller for storing and does not
// wait, because the store may be slow and must not delay further actions.
func (c *fleetController) storeKeyAsync(key string) {
	c.host.post(func() {
		c.shard.extraRecords = append(c.shard.extraRecords, extraRecord{shard.Record{Key: key, Value: []byte{1}}, func() {}})
	})
}

// storeAndWait returns true once the store has the record, and false if
// ownership is lost or the context ends first.
func (c *fleetController) storeAndWait(ctx context.Context, rec shard.Record) bool {
	stored := make(chan struct{})
	c.host.post(func() {
		c.shard.extraRecords = append(c.shard.extraRecords, extraRecord{rec, func() { close(stored) }})
	})
	select {
	case <-stored:
		return true
	case <-c.shard.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// reportWaves tells the operator which waves are in progress and which are completed.
// A predecessor may have reported a completed wave already, so that its status must not
// become that of a wave in progress.
func (c *fleetController) reportWaves(ctx context.Context, waves []*deps.Wave, done []int) {
	for _, w := range waves {
		if slices.Contains(done, w.Number) {
			c.reportWaveCompleted(ctx, w.Number)
		} else {
			c.reportWaveStarted(ctx, w.Number)
		}
	}
}

// reportWaveStarted tells the operator that a wave is in progress.
func (c *fleetController) reportWaveStarted(ctx context.Context, n int) {
	if c.reportedWaves[n] || c.completedWaves[n] {
		return
	}
	if c.appendWaveStatus(ctx, n, false) {
		c.reportedWaves[n] = true
	}
}

func (c *fleetController) reportWaveCompleted(ctx context.Context, n int) {
	if c.completedWaves[n] || !c.appendWaveStatus(ctx, n, true) {
		return
	}
	c.completedWaves[n] = true
	c.host.record(events.WaveDone, events.Fields{Detail: fmt.Sprintf("wave=%d", n), Epoch: c.shard.epoch})
	c.storeKeyAsync(fmt.Sprintf("w/%d", n))
}

// appendWaveStatus writes the status of a wave unless another node may be the fleet
// controller. The calls of the same plan may have taken longer than mayAct holds.
func (c *fleetController) appendWaveStatus(ctx context.Context, n int, completed bool) bool {
	if c.shard.ctx.Err() != nil || !c.host.isSoleOwner(c.shard, monotonicMS()) {
		return false
	}
	rec, err := c.host.cfg.Codec.WaveStatus(n, completed)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		c.host.stats.storeWrites.Add(1)
		err = c.host.cfg.Store.Append(callCtx, deps.Append{Partition: deps.Partition{Topic: deps.TopicStatus}, Records: []shard.Record{rec}})
	}
	if err != nil {
		c.recordAction("status", "", fmt.Sprintf("wave=%d completed=%v", n, completed), err)
	}
	return err == nil
}
