package shard

import (
	"fmt"
	"slices"

	"wigeonwinch/jobs/spec"
)

// worker is one incarnation of a worker and what may run on it.
type worker struct {
	info Worker
	born int64
	// listed says that the platform's list has it now.
	listed bool
	// reached says that this incarnation answered with our epoch; before that
	// an earlier owner may still have orders under way.
	reached bool
	runs    map[runID]*run
	used    spec.Resources
	// placedWork is the estimated work of the runs.
	placedWork int64
	// lasting, serving and fillers count the runs of each kind.
	lasting, serving, fillers int
	// lastingMilliCPU is what the lasting ones take.
	lastingMilliCPU int
	// stops counts the runs that are being stopped.
	stops int
	// strays are listed runs that are not ours; their room is not known.
	strays map[RunRef]int64
	// clock is the worker's clock at the steady time clockAt.
	clock, clockAt int64
	// leaseUntil is the latest lease end ordered, on the worker's clock.
	leaseUntil int64
	// earlierUntil is until when leases of earlier owners may last.
	earlierUntil int64
	// seen is the highest end processed, acked the highest one stored.
	seen, acked int
	polling     bool
	pollAt      int64
	failedPolls int
	pausedUntil int64
	// failStreak counts failed runs without a success between them.
	failStreak int
	// cordoned says that no new work is to be placed, evicting that lasting
	// tasks are to leave too.
	cordoned, evicting bool
	// listedAt is when the last lists came, pacedAt when fillers were last paced.
	listedAt, pacedAt int64
}

// runID names a run on one worker.
type runID struct {
	key    Key
	number int
}

func (c *Core) worker(id string, born int64) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{info: Worker{ID: id}, born: born, runs: map[runID]*run{}, strays: map[RunRef]int64{}, earlierUntil: c.earlierUntil}
		c.workers[id] = w
		c.ranked = nil
	}
	return w
}

func (w *worker) add(r *run) {
	w.runs[runID{r.key, r.number}] = r
	w.used = w.used.Add(r.room)
	w.tally(r.step(), 1)
}

func (w *worker) remove(r *run) {
	if w.runs[runID{r.key, r.number}] != r {
		return
	}
	delete(w.runs, runID{r.key, r.number})
	if r.phase == stopping {
		w.stops--
	}
	w.used = w.used.Sub(r.room)
	w.tally(r.step(), -1)
}

// tally counts a run of a step in (1) or out (-1).
func (w *worker) tally(st *spec.Step, n int) {
	w.placedWork += int64(n) * st.Work()
	if st.Lasting {
		w.lasting += n
		w.lastingMilliCPU += n * st.Room().MilliCPU
	}
	if st.TailTargetMS > 0 {
		w.serving += n
	}
	if st.Filler {
		w.fillers += n
	}
}

// hasLabel says whether the worker may run tasks that need a label; the empty
// label is none.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// staying says whether the worker is there and not about to leave.
func (w *worker) staying() bool { return w.listed && w.reached && !w.info.Draining }

// usable says whether the worker counts as room of its pool. One poll may get
// lost.
func (w *worker) usable() bool { return w.staying() && !w.cordoned && w.failedPolls < 2 }

// open says whether starts may be sent to the worker now.
func (w *worker) open(now int64) bool {
	return w.usable() && w.failedPolls == 0 && now >= w.pausedUntil && len(w.strays) == 0
}

func (c *Core) target(w *worker) Target {
	return Target{Worker: w.info.ID, Address: w.info.Address, Born: w.born, Epoch: c.cfg.Epoch}
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now int64) int64 { return w.clock + (now - w.clockAt) }

// lapsed says whether every lease on the worker has certainly ended.
func (w *worker) lapsed(now int64) bool {
	if now < w.earlierUntil {
		return false
	}
	if w.leaseUntil == 0 {
		return true
	}
	left := float64(w.leaseUntil-w.clock) / (1 - clockDrift)
	return now > w.clockAt+int64(left)+leaseMarginMS
}

// lease returns the end of a new lease on the worker's clock; 0 means that
// none may be given.
func (c *Core) lease(w *worker) int64 {
	if c.now >= c.leasesUntil || w.clockAt == 0 {
		return 0
	}
	until := w.clockNow(c.now) + c.cfg.MaxLeaseMS
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

// SetWorkers replaces the list of the shard's workers.
func (c *Core) SetWorkers(now int64, list []Worker) {
	c.now = now
	present := make(map[string]bool, len(list))
	for _, info := range list {
		present[info.ID] = true
		w := c.worker(info.ID, info.Born)
		if info.Born > w.born {
			c.reborn(w, info.Born)
		}
		if !w.listed || w.info.Draining != info.Draining {
			c.event(Event{Name: EventWorker, Worker: info.ID, Outcome: "listed",
				Detail: fmt.Sprintf("service=%s draining=%v born=%d rack=%s cpu=%d", info.Service, info.Draining, info.Born, info.Rack, info.Capacity.MilliCPU)})
		}
		w.info = info
		w.listed = true
		c.noteKind(info)
	}
	for id, w := range c.workers {
		if !present[id] && w.listed {
			w.listed = false
			c.event(Event{Name: EventWorker, Worker: id, Outcome: "unlisted", Detail: fmt.Sprintf("runs=%d", len(w.runs))})
		}
	}
}

// reborn notes a new incarnation: nothing of before runs any more.
func (c *Core) reborn(w *worker, born int64) {
	if w.born != 0 {
		c.event(Event{Name: EventWorker, Worker: w.info.ID, Outcome: "reborn", Detail: fmt.Sprintf("was=%d now=%d runs=%d", w.born, born, len(w.runs))})
		for _, r := range sortedRuns(w) {
			c.settle(r, "worker_reborn")
		}
	}
	w.born = born
	w.seen, w.acked, w.clock, w.clockAt, w.leaseUntil = 0, 0, 0, 0, 0
	w.reached, w.failStreak, w.failedPolls = false, 0, 0
	w.strays = map[RunRef]int64{}
	w.pollAt = c.now
}

// The kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// The kinds of failed polls.
const (
	PollLost     PollError = "no_answer"
	PollFenced   PollError = "newer_owner"
	PollReplaced PollError = "other_incarnation"
	PollRefused  PollError = "refused"
)

// settleWorkers frees what ran on workers whose leases have all lapsed, and
// repeats stops that got no answer.
func (c *Core) settleWorkers() {
	for _, w := range c.sortedWorkers() {
		if len(w.runs) == 0 {
			continue
		}
		silent := w.failedPolls > 0 || !w.reached
		if silent && w.lapsed(c.now) {
			for _, r := range sortedRuns(w) {
				if r.phase != placed {
					c.settle(r, "lease_lapsed")
				}
			}
			continue
		}
		if w.stops == 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.phase == stopping && r.stopAnswered == 0 && c.now-r.stopSent >= stopRetryMS {
				c.sendStop(r)
			}
		}
	}
}
