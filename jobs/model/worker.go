package model

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// worker is the model of one worker.
type worker struct {
	world    *World
	id       string
	born     int64
	up       bool
	token    int64
	rate     float64
	lease    int64
	running  map[shard.Key]*modelRun
	ended    []shard.ListedEnd
	nextEnd  int
	acked    int
	rejected map[shard.Key]int
	capacity spec.Resources
}

type modelRun struct {
	ref      shard.RunRef
	need     spec.Resources
	stopping bool
}

func newWorker(w *World, i int) *worker {
	wk := &worker{world: w, id: fmt.Sprintf("w-%03d", i), capacity: spec.Resources{MilliCPU: w.opts.MilliCPU, MemoryMB: w.opts.MemoryMB}}
	wk.rate = 0.98 + 0.02*w.rng.Float64()
	wk.boot()
	return wk
}

func (k *worker) boot() {
	k.up = true
	k.born = wallStart + k.world.now
	k.token, k.lease, k.nextEnd, k.acked = 0, 0, 0, 0
	k.running = map[shard.Key]*modelRun{}
	k.ended = nil
	k.rejected = map[shard.Key]int{}
}

func (k *worker) info() shard.Worker {
	return shard.Worker{ID: k.id, Address: k.id, Rack: "r", Service: serviceName, Capacity: k.capacity, Born: k.born}
}

func (k *worker) clock() int64 {
	return int64(float64(wallStart+k.world.now-k.born) * k.rate)
}

// crash takes a random worker down; it starts again as a new incarnation.
func (w *World) crash() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	if !k.up {
		return
	}
	k.up = false
	k.running = map[shard.Key]*modelRun{}
	w.after(restartMS+w.rng.Int64N(8_000), k.boot)
}

func (w *World) find(t shard.Target) *worker {
	for _, k := range w.workers {
		if k.id == t.Worker {
			return k
		}
	}
	return nil
}

// call carries one order to a worker: do runs there, answer hands the result
// back, lost is called when there is none.
func (w *World) call(t shard.Target, do func(k *worker) func(), lost func()) {
	k := w.find(t)
	roll := w.rng.Float64()
	faulty := w.now < w.opts.FaultsUntil
	switch {
	case faulty && roll < w.opts.Unsent:
		w.after(lostAfterMS, lost)
	case faulty && roll < w.opts.Unsent+w.opts.Late:
		w.after(2_000+w.rng.Int64N(10_000), func() {
			if k.up && k.born == t.Born {
				do(k)
			}
		})
		w.after(lostAfterMS, lost)
	case faulty && roll < w.opts.Unsent+w.opts.Late+w.opts.Lost:
		w.after(hopMS, func() {
			if k.up {
				do(k)
			}
		})
		w.after(lostAfterMS, lost)
	default:
		w.after(hopMS, func() {
			if !k.up {
				w.after(lostAfterMS, lost)
				return
			}
			answer := do(k)
			w.after(hopMS, answer)
		})
	}
}

func (w *World) poll(o *owner, p shard.Poll) {
	sent := w.now
	if k := w.find(p.Target); p.WaitMS > 0 && k.up && len(k.ended) == 0 {
		// The worker holds its answer back for a while.
		w.after(min(p.WaitMS, heldMS), func() { w.pollNow(o, p, sent) })
		return
	}
	w.pollNow(o, p, sent)
}

// heldMS is how long a worker without ends holds an answer back.
const heldMS = 150

func (w *World) pollNow(o *owner, p shard.Poll, sent int64) {
	w.call(p.Target, func(k *worker) func() {
		lists, failure := k.hold(p)
		return func() {
			if o.gone {
				return
			}
			if failure != "" {
				o.core.PollFailed(w.now, p.Target, failure)
			} else {
				o.core.Polled(w.now, sent, p.Target, lists)
			}
			o.pump()
		}
	}, func() {
		if !o.gone {
			o.core.PollFailed(w.now, p.Target, shard.PollLost)
		}
	})
}

func (k *worker) hold(p shard.Poll) (shard.Lists, shard.PollError) {
	if p.Epoch < k.token {
		return shard.Lists{}, shard.PollFenced
	}
	k.token = p.Epoch
	k.extend(p.LeaseUntil)
	k.ack(p.AckedUpto)
	l := shard.Lists{ClockMS: k.clock(), Born: k.born}
	for _, r := range k.sorted() {
		l.Running = append(l.Running, shard.ListedRun{RunRef: r.ref, Percent: 100})
	}
	l.Ended = append(l.Ended, k.ended...)
	return l, ""
}

func (k *worker) sorted() []*modelRun {
	list := slices.Collect(maps.Values(k.running))
	sort.Slice(list, func(i, j int) bool { return fmt.Sprint(list[i].ref) < fmt.Sprint(list[j].ref) })
	return list
}

func (k *worker) extend(until int64) {
	until = min(until, k.clock()+maxHoldMS)
	if until <= k.lease {
		return
	}
	k.lease = until
	left := int64(float64(until-k.clock())/k.rate) + 1
	born := k.born
	k.world.after(left, func() {
		if k.up && k.born == born && k.clock() >= k.lease {
			for _, r := range k.sorted() {
				k.world.Stopped++
				k.end(r, shard.EndLapsed)
			}
		}
	})
}

// ack forgets ends that the owner has stored.
func (k *worker) ack(upto int) {
	var left []shard.ListedEnd
	for _, e := range k.ended {
		if e.End > upto {
			left = append(left, e)
			continue
		}
		t := k.world.truth[e.Key.Job]
		switch e.Kind {
		case shard.EndDone:
			t.noted[e.Key] = true
		case shard.EndFailed:
			t.fails[e.Key]++
		}
	}
	k.ended = left
}

func (k *worker) end(r *modelRun, kind shard.EndKind) {
	if k.running[r.ref.Key] != r {
		return
	}
	delete(k.running, r.ref.Key)
	k.nextEnd++
	k.rejected[r.ref.Key] = max(k.rejected[r.ref.Key], r.ref.Number)
	k.ended = append(k.ended, shard.ListedEnd{End: k.nextEnd, RunRef: r.ref, Kind: kind})
	if kind == shard.EndDone {
		k.world.truth[r.ref.Key.Job].done[r.ref.Key] = true
	}
}

func (w *World) start(o *owner, s shard.Start) {
	w.call(s.Target, func(k *worker) func() {
		out := k.start(s)
		return func() {
			if !o.gone {
				o.core.Started(w.now, s, out)
				o.pump()
			}
		}
	}, func() {
		if !o.gone {
			o.core.Started(w.now, s, shard.StartLost)
		}
	})
}

func (k *worker) start(s shard.Start) shard.StartOutcome {
	switch {
	case s.Epoch < k.token:
		return shard.StartFenced
	case s.Number <= k.rejected[s.Key]:
		return shard.StartOld
	case k.running[s.Key] != nil:
		return shard.StartTaken
	case s.LeaseUntil <= k.clock():
		return shard.StartLate
	}
	k.token = s.Epoch
	k.extend(s.LeaseUntil)
	t := k.world.truth[s.Key.Job]
	st := &t.job.Steps[s.Key.Step]
	r := &modelRun{ref: s.RunRef, need: st.Need}
	k.check(s, t, r)
	k.running[s.Key] = r
	k.world.Starts++
	k.work(r, st)
	return shard.StartTaken
}

// took is how long a run takes.
func (w *World) took(r *modelRun, st *spec.Step) int64 {
	if w.opts.RunTime != nil {
		return w.opts.RunTime(r.ref.Key, st)
	}
	took := int64(float64(st.EstimateMS) * (0.5 + w.rng.Float64()))
	if w.rng.Float64() < stragglerShare {
		took *= stragglerTimes
	}
	return took
}

// work ends the run after its real time, which is off from the estimate.
func (k *worker) work(r *modelRun, st *spec.Step) {
	w := k.world
	took := w.took(r, st)
	kind := shard.EndDone
	if w.rng.Float64() < w.opts.FailShare {
		kind = shard.EndFailed
	}
	born := k.born
	w.after(max(took, 1), func() {
		if k.up && k.born == born {
			k.end(r, kind)
		}
	})
}

// A few tasks run many times longer than the rest.
const (
	stragglerShare = 0.03
	stragglerTimes = 7
)

// check asserts the rules of a start.
func (k *worker) check(s shard.Start, t *truth, r *modelRun) {
	w := k.world
	used := r.need
	for _, other := range k.running {
		used = used.Add(other.need)
	}
	if !used.Fits(k.capacity) {
		w.violate("worker %s is over its capacity: %+v", k.id, used)
	}
	for _, other := range w.workers {
		if other.up && other.running[s.Key] != nil {
			w.violate("task %+v runs twice, on %s and %s", s.Key, other.id, k.id)
		}
	}
	if t.noted[s.Key] {
		w.violate("task %+v starts after its end was noted", s.Key)
	}
	if t.fails[s.Key] >= w.opts.MaxAttempts {
		w.violate("task %+v starts after %d failures", s.Key, t.fails[s.Key])
	}
	for _, d := range t.job.Steps[s.Key.Step].After {
		for i := range t.job.Steps[d].Count {
			if !t.done[shard.Key{Job: s.Key.Job, Step: d, Index: i}] {
				w.violate("task %+v starts before step %d is done", s.Key, d)
				return
			}
		}
	}
	if t.cancelled != 0 && w.now > t.cancelled+cancelBoundMS {
		w.violate("task %+v starts %d ms after its cancel", s.Key, w.now-t.cancelled)
	}
}

// cancelBoundMS is the platform's bound between a cancel and the last start.
const cancelBoundMS = 3_000

func (w *World) stop(o *owner, s shard.Stop) {
	w.call(s.Target, func(k *worker) func() {
		fenced := !k.stop(s)
		return func() {
			if !o.gone {
				o.core.Stopped(w.now, s, !fenced, fenced)
				o.pump()
			}
		}
	}, func() {
		if !o.gone {
			o.core.Stopped(w.now, s, false, false)
		}
	})
}

func (k *worker) stop(s shard.Stop) bool {
	if s.Epoch < k.token {
		return false
	}
	k.token = s.Epoch
	k.rejected[s.Key] = max(k.rejected[s.Key], s.Number)
	r := k.running[s.Key]
	if r == nil || r.ref.Number > s.Number || r.stopping {
		return true
	}
	r.stopping = true
	k.world.Stopped++
	k.world.after(stopGraceMS, func() { k.end(r, shard.EndStopped) })
	return true
}
