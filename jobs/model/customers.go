package model

import (
	"math"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/room"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// arbiterTimeoutMS is how long an owner waits for the arbiter's answer.
const arbiterTimeoutMS = 500

// maxCapLagMS is how much later than an owner the arbiter may learn a changed cap.
const maxCapLagMS = 200

// startArbiter replaces the arbiter of the customers' caps.
func (w *World) startArbiter() {
	w.arbiterEpoch++
	w.arbiter = room.NewArbiter(w.arbiterEpoch, w.now+arbiterTimeoutMS)
	w.arbiter.SetRequired([]int{0})
	w.arbiter.SetCaps(w.customersVersion, shard.CustomerCaps(w.customers))
}

// SetCustomers changes the customers of the configuration. Owner and arbiter learn it at
// different times.
func (w *World) SetCustomers(list []customer.Customer) {
	w.customersVersion++
	w.earlierCustomers, w.customers = w.customers, list
	w.customersChangedAt = w.now
	version := w.customersVersion
	w.after(w.rng.Int64N(maxCapLagMS), func() { w.arbiter.SetCaps(version, shard.CustomerCaps(list)) })
	w.after(w.rng.Int64N(maxCapLagMS), func() { w.owner.core.SetCustomers(version, list) })
}

// exchangeRoom sends the owner's report to the arbiter.
func (o *owner) exchangeRoom() {
	w := o.world
	r, ok := o.core.RoomReport(w.now, w.arbiterEpoch)
	if !ok {
		return
	}
	arbiter := w.arbiter
	w.after(arbiterTimeoutMS, func() { o.core.RoomFailed(r.Sequence) })
	if w.now < o.cutOffUntil || w.faulty() && w.rng.Float64() < w.opts.LostRequestShare {
		return
	}
	w.after(networkDelayMS, func() {
		if arbiter != w.arbiter {
			return
		}
		answer, err := arbiter.Handle(w.now, r)
		if err != nil || w.faulty() && w.rng.Float64() < w.opts.LostAnswerShare {
			return
		}
		w.after(networkDelayMS, func() {
			o.core.ApplyRoom(r.Sequence, answer)
			o.pump()
		})
	})
}

// Running returns what the customers' tasks use on all workers.
func (w *World) Running() map[string]spec.Resources {
	sums := map[string]spec.Resources{}
	for _, k := range w.workers {
		if !k.up {
			continue
		}
		for key, r := range k.running {
			name := w.groundTruth[key.Job].job.Customer
			sums[name] = sums[name].Add(r.need)
		}
	}
	return sums
}

// checkCap checks that a start leaves its customer below its cap. While a change is
// being learnt, the higher cap counts.
func (w *World) checkCap(name string, need spec.Resources) {
	limit, capped := w.capOf(name, w.customers)
	if w.now-w.customersChangedAt <= maxCapLagMS {
		if earlier, ok := w.capOf(name, w.earlierCustomers); !ok {
			capped = false
		} else {
			limit = spec.Resources{MilliCPU: max(limit.MilliCPU, earlier.MilliCPU), MemoryMB: max(limit.MemoryMB, earlier.MemoryMB), GPUs: max(limit.GPUs, earlier.GPUs)}
		}
	}
	if used := w.Running()[name].Add(need); capped && !used.Fits(limit) {
		w.addViolation("customer %s runs %+v, above its cap %+v", name, used, limit)
	}
}

func (w *World) capOf(name string, list []customer.Customer) (spec.Resources, bool) {
	for _, cu := range list {
		if cu.Name == name {
			open := func(limit int) int {
				if limit == 0 {
					return math.MaxInt
				}
				return limit
			}
			return spec.Resources{MilliCPU: open(cu.Cap.MilliCPU), MemoryMB: open(cu.Cap.MemoryMB), GPUs: open(cu.Cap.GPUs)}, true
		}
	}
	return spec.Resources{}, false
}
