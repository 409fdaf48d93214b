package model

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// worker is a simulated worker.
type worker struct {
	world *World
	vm    string
	// id is the worker's name in its present life.
	id          string
	incarnation int64
	up          bool
	// draining reports whether the worker is about to leave, left whether it has.
	draining, left bool
	highestEpoch   int64
	clockRate      float64
	leaseUntil     int64
	running        map[shard.Key]*run
	ended          []shard.ListedEnd
	lastEnd        int
	acked          int
	// reportedEnd is the highest number of an end in an answer to a poll.
	reportedEnd int
	// closedRuns holds the highest run number of each task that ended or was
	// stopped; the worker starts only higher ones.
	closedRuns map[shard.Key]int
	capacity   spec.Resources
	// room is the largest capacity of the last resizeNoticeMS, which a start may
	// fill.
	room spec.Resources
	// carryingOutLate is set while the worker carries out a delayed order.
	carryingOutLate bool
	// unlistedUntil is when the worker's entry is back in the list of workers.
	unlistedUntil int64
	// cut is the worker's last cut, lapsedEnd the last end before its leases lapsed in one.
	cut       cut
	lapsedEnd int
	// waitingPolls fail when the worker crashes or is cut off.
	waitingPolls []*waitingPoll
}

type run struct {
	ref      shard.RunRef
	need     spec.Resources
	stopping bool
	// startedLate is when a worker carried the start out late; 0 if it did not.
	startedLate int64
	// reported reports whether the run was reported as a violation.
	reported bool
	// gang reports whether the run is a member of a gang, working whether all
	// members are there.
	gang, working bool
}

func newWorker(w *World, i int) *worker {
	full := spec.Resources{MilliCPU: w.opts.MilliCPU, MemoryMB: w.opts.MemoryMB}
	wk := &worker{world: w, vm: fmt.Sprintf("w-%03d", i), capacity: full, room: full}
	wk.clockRate = slowestClock + (1-slowestClock)*w.rng.Float64()
	if w.opts.SlowClocks {
		wk.clockRate = slowestClock
	}
	wk.boot()
	return wk
}

func (k *worker) boot() {
	if k.left {
		return
	}
	k.up = true
	k.incarnation = wallStartMS + k.world.now
	k.id = k.vm
	if k.world.opts.NewIDs {
		k.id = fmt.Sprintf("%s-%d", k.vm, k.incarnation)
	}
	k.highestEpoch, k.leaseUntil, k.lastEnd, k.acked, k.reportedEnd, k.lapsedEnd = 0, 0, 0, 0, 0, 0
	k.running = map[shard.Key]*run{}
	k.ended = nil
	k.closedRuns = map[shard.Key]int{}
}

func (k *worker) listEntry() shard.Worker {
	return shard.Worker{ID: k.id, Address: k.vm, VM: k.vm, Rack: "r", Service: serviceName, Capacity: k.capacity, Incarnation: k.incarnation, Draining: k.draining}
}

func (k *worker) clock() int64 {
	return int64(float64(wallStartMS+k.world.now-k.incarnation) * k.clockRate)
}

// findWorker returns the worker at the address of an order; nil if the owner does
// not know the address.
func (w *World) findWorker(t shard.Target) *worker {
	for _, k := range w.workers {
		if k.vm == t.Address {
			return k
		}
	}
	return nil
}

// isTarget reports whether the worker is up in the life that an order is for.
func (k *worker) isTarget(t shard.Target) bool { return k.up && k.id == t.Worker }

func (w *World) sendPoll(o *owner, p shard.Poll) {
	sent := w.now
	if k := w.findWorker(p.Target); p.WaitMS > 0 && k != nil && k.isTarget(p.Target) && len(k.ended) == 0 {
		w.delayPoll(o, k, p, sent)
		return
	}
	w.deliverPoll(o, p, sent)
}

// longPollMS is how long a worker without unreported ends delays its answer.
const longPollMS = 150

func (w *World) deliverPoll(o *owner, p shard.Poll, sent int64) {
	w.callWorker(o, p.Target, w.opts.LateAcrossRestarts || w.opts.LatePollsAcrossRestarts, func(k *worker) func() {
		response, failure := k.handlePoll(p)
		return func() {
			if o.stopped {
				return
			}
			if failure != "" {
				o.core.HandlePollError(w.now, sent, p.Target, failure)
			} else {
				o.core.HandlePollResponse(w.now, sent, p.Target, response)
			}
			o.pump()
		}
	}, func(reason shard.PollError) {
		w.after(w.lostPollMS(p, reason), func() {
			if !o.stopped {
				o.core.HandlePollError(w.now, sent, p.Target, reason)
			}
		})
	})
}

func (k *worker) handlePoll(p shard.Poll) (shard.PollResponse, shard.PollError) {
	if p.Epoch < k.highestEpoch {
		return shard.PollResponse{}, shard.PollFenced
	}
	k.highestEpoch = p.Epoch
	k.extendLease(p.LeaseUntil)
	k.ackEnds(p.AckedUpto)
	l := shard.PollResponse{ClockMS: k.clock(), Incarnation: k.incarnation}
	for _, r := range k.sortedRuns() {
		l.Running = append(l.Running, shard.ListedRun{RunRef: r.ref, Percent: 100})
	}
	l.Ended = append(l.Ended, k.ended...)
	k.reportedEnd = k.lastEnd
	return l, ""
}

func (k *worker) sortedRuns() []*run {
	list := slices.Collect(maps.Values(k.running))
	sort.Slice(list, func(i, j int) bool { return fmt.Sprint(list[i].ref) < fmt.Sprint(list[j].ref) })
	return list
}

func (k *worker) extendLease(until int64) {
	until = min(until, k.clock()+maxLeaseMS)
	if until <= k.leaseUntil {
		return
	}
	k.leaseUntil = until
	remainingMS := int64(float64(until-k.clock())/k.clockRate) + 1
	incarnation := k.incarnation
	k.world.after(remainingMS, func() {
		if k.up && k.incarnation == incarnation && k.clock() >= k.leaseUntil {
			k.noteLapse()
			for _, r := range k.sortedRuns() {
				k.world.StoppedRuns++
				k.endRun(r, shard.EndLeaseExpired)
			}
		}
	})
}

// ackEnds drops the ends that the owner has stored.
func (k *worker) ackEnds(upto int) {
	var unacked []shard.ListedEnd
	for _, e := range k.ended {
		if e.End > upto {
			unacked = append(unacked, e)
			continue
		}
		t := k.world.groundTruth[e.Key.Job]
		if e.End <= k.lapsedEnd {
			continue
		}
		switch e.Kind {
		case shard.EndDone:
			t.acked[e.Key] = true
		case shard.EndFailed:
			t.ackedFailures[e.Key]++
		}
	}
	k.ended = unacked
}

func (k *worker) endRun(r *run, kind shard.EndKind) {
	if k.running[r.ref.Key] != r {
		return
	}
	delete(k.running, r.ref.Key)
	k.world.breakGang(r, kind)
	k.lastEnd++
	k.closedRuns[r.ref.Key] = max(k.closedRuns[r.ref.Key], r.ref.Number)
	k.ended = append(k.ended, shard.ListedEnd{End: k.lastEnd, RunRef: r.ref, Kind: kind})
	if kind == shard.EndDone {
		k.world.groundTruth[r.ref.Key.Job].done[r.ref.Key] = true
	}
	k.answerPolls()
}

func (w *World) sendStart(o *owner, s shard.Start) {
	w.callWorker(o, s.Target, w.opts.LateAcrossRestarts, func(k *worker) func() {
		result := shard.StartResult{Outcome: k.handleStart(s), ClockMS: k.clock()}
		return func() {
			if !o.stopped {
				o.core.HandleStartResult(w.now, s, result)
				o.pump()
			}
		}
	}, func(reason shard.PollError) {
		if !o.stopped {
			o.core.HandleStartResult(w.now, s, shard.StartResult{Outcome: startFailures[reason]})
		}
	})
}

func (k *worker) handleStart(s shard.Start) shard.StartOutcome {
	switch {
	case s.Epoch < k.highestEpoch:
		return shard.StartFenced
	case s.Number <= k.closedRuns[s.Key]:
		return shard.StartStaleRun
	case k.running[s.Key] != nil:
		return shard.StartAccepted
	case s.LeaseUntil <= k.clock():
		return shard.StartLeaseExpired
	case k.lacksPermit(s):
		return shard.StartNoPermit
	case k.refusesStart():
		return shard.StartWorkerUnhealthy
	}
	k.highestEpoch = s.Epoch
	k.extendLease(s.LeaseUntil)
	t := k.world.groundTruth[s.Key.Job]
	t.begun = true
	st := &t.job.Steps[s.Key.Step]
	r := &run{ref: s.RunRef, need: st.Need}
	if k.carryingOutLate {
		r.startedLate = k.world.now
	}
	k.checkStart(s, t, r)
	k.running[s.Key] = r
	k.world.StartedRuns++
	if k.world.opts.Deadly != nil && k.world.opts.Deadly(s.Key) {
		k.scheduleCrash(t, r)
	} else if st.Gang {
		k.joinGang(r, st)
	} else {
		k.scheduleEnd(r, st)
	}
	return shard.StartAccepted
}

// runTime returns how long a run takes.
func (w *World) runTime(r *run, st *spec.Step) int64 {
	if w.opts.RunTime != nil {
		return w.opts.RunTime(r.ref.Key, st)
	}
	runMS := int64(float64(st.EstimateMS) * (0.5 + w.rng.Float64()))
	if w.rng.Float64() < stragglerShare {
		runMS *= stragglerFactor
	}
	return runMS
}

// scheduleEnd ends the run after its actual run time, which differs from the
// estimate. Lasting tasks run until they are stopped.
func (k *worker) scheduleEnd(r *run, st *spec.Step) {
	if st.Lasting {
		return
	}
	w := k.world
	runMS := w.runTime(r, st)
	kind := shard.EndDone
	if w.rng.Float64() < w.opts.FailShare {
		kind = shard.EndFailed
	}
	incarnation := k.incarnation
	w.after(max(runMS, 1), func() {
		if k.up && k.incarnation == incarnation {
			k.endRun(r, kind)
		}
	})
}

// Stragglers: a few tasks run many times longer than the rest.
const (
	stragglerShare  = 0.03
	stragglerFactor = 7
)

func (w *World) sendStop(o *owner, s shard.Stop) {
	w.callWorker(o, s.Target, w.opts.LateAcrossRestarts, func(k *worker) func() {
		fenced := !k.handleStop(s)
		return func() {
			if !o.stopped {
				o.core.HandleStopResult(w.now, s, !fenced, fenced)
				o.pump()
			}
		}
	}, func(shard.PollError) {
		if !o.stopped {
			o.core.HandleStopResult(w.now, s, false, false)
		}
	})
}

func (k *worker) handleStop(s shard.Stop) bool {
	if s.Epoch < k.highestEpoch {
		return false
	}
	k.highestEpoch = s.Epoch
	k.closedRuns[s.Key] = max(k.closedRuns[s.Key], s.Number)
	r := k.running[s.Key]
	if r == nil || r.ref.Number > s.Number || r.stopping {
		return true
	}
	r.stopping = true
	k.world.StoppedRuns++
	k.world.after(stopGraceMS, func() { k.endRun(r, shard.EndStopped) })
	return true
}
