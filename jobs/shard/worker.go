package shard

import (
	"fmt"
	"slices"

	"wigeonwinch/jobs/spec"
)

// worker is one incarnation of a worker and the runs that may be on it.
type worker struct {
	info        Worker
	incarnation int64
	// listed reports whether the platform's list currently contains the
	// worker.
	listed bool
	// reached reports whether this incarnation answered a poll of our epoch;
	// before that, orders of an earlier owner may still be in flight.
	reached bool
	runs    map[runID]*run
	used    spec.Resources
	// placedWork is the expected work of the runs.
	placedWork int64
	// lastingRuns, servingRuns and fillerRuns count the runs of each kind.
	lastingRuns, servingRuns, fillerRuns int
	// lastingMilliCPU is the CPU reserved by lasting runs.
	lastingMilliCPU int
	// stoppingRuns counts the runs that are being stopped.
	stoppingRuns int
	// strays are reported runs that this shard does not know, with the time of
	// the last stop order; the resources they use are unknown.
	strays map[RunRef]int64
	// clockMS is the worker's clock at our monotonic time clockReadAt.
	clockMS, clockReadAt int64
	// leaseUntil is the latest lease end that was ordered, in the worker's
	// clock.
	leaseUntil int64
	// earlierLeasesUntil is the time until which leases of earlier owners may
	// be valid.
	earlierLeasesUntil int64
	// doubtedAt is when an answer showed the clock of a later incarnation that is
	// not listed yet; 0 if none did. laterLeasesUntil is the time until which leases
	// may be valid that orders for an earlier incarnation have given a later one.
	doubtedAt, laterLeasesUntil int64
	// seenEnd is the highest end that was processed, ackedEnd the highest one
	// that is stored.
	seenEnd, ackedEnd int
	// namedEnd is the highest end that a poll for this incarnation has named as
	// stored. countsEnds reports whether the next end must follow seenEnd.
	namedEnd     int
	countsEnds   bool
	pollInFlight bool
	watch        pollWatch
	acks         acks
	nextPollAt   int64
	failedPolls  int
	backoffUntil int64
	// failStreak counts consecutive failed runs.
	failStreak int
	// cordoned reports whether no new work may be placed, evicting whether
	// tasks that are not lasting are stopped too.
	cordoned, evicting bool
	// listedAt is when the last lists arrived, pacedAt when fillers were last
	// paced.
	listedAt, pacedAt int64
	// sightMS bounds how long before the last answer the ends may lie that it has
	// brought.
	sightMS int64
	// contactLostAt is when the first poll failed after the last answered one;
	// 0 while polls are answered. connectionLost reports whether a connection was
	// closed or rejected since.
	contactLostAt  int64
	connectionLost bool
	// firstListedAt is when the platform's list first contained the worker.
	firstListedAt int64
	// probation is the run of a suspect that has not yet proved harmless. held
	// reports whether the worker is being emptied for a task that must run alone.
	probation *run
	held      bool
	// customers counts the runs by customer.
	customers *customers
}

// runID identifies a run on one worker.
type runID struct {
	key    Key
	number int
}

func (c *Core) ensureWorker(id string, incarnation int64) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{info: Worker{ID: id}, incarnation: incarnation, customers: &c.customers, runs: map[runID]*run{}, strays: map[RunRef]int64{}, earlierLeasesUntil: c.earlierLeasesUntil}
		c.restoreToken(w)
		c.workers[id] = w
		c.workersByID = nil
	}
	return w
}

func (w *worker) addRun(r *run) {
	w.runs[runID{r.key, r.number}] = r
	r.job.runs++
	w.used = w.used.Add(r.reserved)
	r.work = r.job.stepWork(r.key.Step)
	w.placedWork += r.work
	w.countRun(r.step(), 1)
	w.customers.countRun(r, 1)
}

func (w *worker) removeRun(r *run) {
	if w.runs[runID{r.key, r.number}] != r {
		return
	}
	delete(w.runs, runID{r.key, r.number})
	r.job.runs--
	if w.probation == r {
		w.probation = nil
	}
	if r.phase == phaseStopping {
		w.stoppingRuns--
	}
	w.used = w.used.Sub(r.reserved)
	w.placedWork -= r.work
	w.countRun(r.step(), -1)
	w.customers.countRun(r, -1)
}

// countRun adds (delta 1) or removes (delta -1) a run of a step in the
// worker's counters.
func (w *worker) countRun(st *spec.Step, delta int) {
	if st.Lasting {
		w.lastingRuns += delta
		w.lastingMilliCPU += delta * st.Reservation().MilliCPU
	}
	if st.TailTargetMS > 0 {
		w.servingRuns += delta
	}
	if st.Filler {
		w.fillerRuns += delta
	}
}

// countStepRuns counts the runs of a step that are on the worker.
func (w *worker) countStepRuns(j *job, occurrence, step int) int {
	n := 0
	for id := range w.runs {
		if id.key.Job == j.spec.ID && id.key.Occurrence == occurrence && id.key.Step == step {
			n++
		}
	}
	return n
}

// hasLabel reports whether the worker may run tasks that require a label; the
// empty label requires none.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// inService reports whether the worker is listed, reached and not draining.
func (w *worker) inService() bool { return w.listed && w.reached && !w.info.Draining }

// usable reports whether the worker counts as capacity of its pool. One poll
// may be lost.
func (w *worker) usable() bool { return w.inService() && !w.cordoned && w.failedPolls < 2 }

// schedulable reports whether starts may be sent to the worker now.
func (w *worker) schedulable(now int64) bool {
	return w.usable() && w.failedPolls == 0 && !w.inDoubt() && now >= max(w.backoffUntil, w.acks.barredUntil) && len(w.strays) == 0
}

func (c *Core) target(w *worker) Target {
	return Target{Worker: w.info.ID, Address: w.info.Address, Incarnation: w.incarnation, Epoch: c.token(w)}
}

// estimateClock estimates the current time of the worker's clock.
func (w *worker) estimateClock(now int64) int64 { return w.clockMS + (now - w.clockReadAt) }

// leasesExpired reports whether every lease on the worker has certainly
// expired.
func (w *worker) leasesExpired(now int64) bool { return now >= w.leasesUntil() }

// leaseSource says who gave the lease that may hold longest on a worker.
type leaseSource string

const (
	leaseOfOwner            leaseSource = "this_owner"
	leaseOfEarlierOwners    leaseSource = "earlier_owners"
	leaseOfLaterIncarnation leaseSource = "later_incarnation"
)

// leasesUntil returns the time from which on every lease on the worker has certainly
// expired.
func (w *worker) leasesUntil() int64 {
	until, _ := w.longestLease()
	return until
}

// longestLease returns until when a lease on the worker may hold at most, and who gave it.
func (w *worker) longestLease() (until int64, source leaseSource) {
	until, source = w.earlierLeasesUntil, leaseOfEarlierOwners
	if w.laterLeasesUntil > until {
		until, source = w.laterLeasesUntil, leaseOfLaterIncarnation
	}
	if w.leaseUntil == 0 {
		return until, source
	}
	remaining := float64(w.leaseUntil-w.clockMS) / (1 - maxClockDrift)
	if own := w.clockReadAt + int64(remaining) + leaseMarginMS + 1; own > until {
		return own, leaseOfOwner
	}
	return until, source
}

// silent reports whether the worker does not answer this owner.
func (w *worker) silent() bool { return w.failedPolls > 0 || !w.reached }

// grantLease returns the end of a new lease in the worker's clock; 0 means
// that no lease may be granted.
func (c *Core) grantLease(w *worker) int64 {
	if c.now >= c.leasesUntil || w.clockReadAt == 0 {
		return 0
	}
	until := w.estimateClock(c.now) + c.cfg.MaxLeaseMS
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

// SetWorkers replaces the list of the shard's workers.
func (c *Core) SetWorkers(now int64, list []Worker) {
	c.now = now
	c.workersListed = true
	present := make(map[string]bool, len(list))
	for _, info := range list {
		present[info.ID] = true
		w := c.ensureWorker(info.ID, info.Incarnation)
		if info.Incarnation > w.incarnation {
			c.resetIncarnation(w, info.Incarnation)
		}
		if !w.listed || w.info.Draining != info.Draining {
			c.event(Event{Name: EventWorker, Worker: info.ID, Outcome: "listed",
				Detail: fmt.Sprintf("service=%s draining=%v born=%d rack=%s cpu=%d", info.Service, info.Draining, info.Incarnation, info.Rack, info.Capacity.MilliCPU)})
		}
		w.info = info
		w.listed = true
		if w.firstListedAt == 0 {
			w.firstListedAt = now
		}
		c.rememberKind(info)
	}
	for id, w := range c.workers {
		if !present[id] && w.listed {
			w.listed = false
			c.event(Event{Name: EventWorker, Worker: id, Outcome: "unlisted", Detail: fmt.Sprintf("runs=%d", len(w.runs))})
		}
	}
	c.replaceSilentWorkers()
	c.proveLosses(list)
}

// ConfirmWorkers records that a read of the list of workers, sent at the given
// time, brought all changes until then.
func (c *Core) ConfirmWorkers(sentAt int64) { c.listConfirmedAt = max(c.listConfirmedAt, sentAt) }

// listStale reports whether workers may have shrunk without the owner knowing.
func (c *Core) listStale() bool {
	return c.listConfirmedAt != 0 && c.now-c.listConfirmedAt > maxListAgeMS
}

// resetIncarnation records a new incarnation of a worker: no run of an earlier
// one is running any more. Runs that may have been started on the new one stay
// until its lists tell.
func (c *Core) resetIncarnation(w *worker, incarnation int64) {
	if w.incarnation != 0 {
		if w.clockReadAt != 0 {
			// An order for the earlier incarnation may have reached this one.
			c.expectLongestLease(w)
		}
		c.event(Event{Name: EventWorker, Worker: w.info.ID, Outcome: "reborn", Detail: fmt.Sprintf("was=%d now=%d runs=%d named_end=%d", w.incarnation, incarnation, len(w.runs), w.namedEnd)})
		c.loseIncarnation(w)
	}
	w.countsEnds = w.incarnation != 0
	w.incarnation = incarnation
	pollInFlight := w.pollInFlight
	w.pollInFlight, w.doubtedAt, w.watch = false, 0, pollWatch{}
	w.seenEnd, w.ackedEnd, w.namedEnd, w.clockMS, w.clockReadAt, w.leaseUntil = 0, 0, 0, 0, 0, 0
	w.reached, w.failStreak, w.failedPolls, w.contactLostAt, w.connectionLost = false, 0, 0, 0, false
	w.held = false
	w.strays = map[RunRef]int64{}
	w.nextPollAt = c.now
	c.resetAcks(w, pollInFlight)
	c.carryRuns(w)
}

// The kinds of ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	EndBroken       EndKind = "broken"
	EndAlone        EndKind = "alone"
)

// The kinds of failed polls.
const (
	// PollUnanswered means that no answer came over a new connection,
	// PollUnansweredKept that none came over one that earlier calls had used.
	PollUnanswered     PollError = "no_answer"
	PollUnansweredKept PollError = "no_answer_on_kept_connection"
	PollFenced         PollError = "newer_owner"
	PollReplaced       PollError = "other_incarnation"
	PollRefused        PollError = "refused"
	// PollConnectionClosed means that the worker ended the connection without an
	// answer, PollConnectionRejected that no process listens at its address.
	PollConnectionClosed   PollError = "connection_closed"
	PollConnectionRejected PollError = "connection_rejected"
)

// unanswered reports whether the poll ended by its time-out.
func (e PollError) unanswered() bool { return e == PollUnanswered || e == PollUnansweredKept }

// notCarriedOut reports whether the worker has certainly not carried out the poll.
func (e PollError) notCarriedOut() bool {
	switch e {
	case PollFenced, PollReplaced, PollRefused, PollConnectionRejected:
		return true
	}
	return false
}

// NoAnswer reports whether the poll got no answer of any kind from the worker.
func (e PollError) NoAnswer() bool {
	return e.unanswered() || e == PollConnectionClosed || e == PollConnectionRejected
}

// settleWorkers settles the runs of silent workers whose leases have all
// expired, and repeats stops that got no answer.
func (c *Core) settleWorkers() {
	for _, w := range c.sortedWorkers() {
		if len(w.runs) == 0 {
			continue
		}
		if w.silent() && w.leasesExpired(c.now) {
			c.loseWorker(w, reasonLeaseLapsed, w.silenceEvidence())
			continue
		}
		if w.stoppingRuns == 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.phase == phaseStopping && r.stopAnsweredAt == 0 && c.now-r.stopSentAt >= stopRetryMS {
				c.sendStop(r)
			}
		}
	}
}

// sortedWorkers lists the workers by ID. Callers must not modify the list.
func (c *Core) sortedWorkers() []*worker {
	if c.workersByID == nil {
		c.workersByID = make([]*worker, 0, len(c.workers))
		for _, id := range sortedKeys(c.workers) {
			c.workersByID = append(c.workersByID, c.workers[id])
		}
	}
	return c.workersByID
}

// HasJobsFor reports whether the shard has jobs that run on the workers of a service.
func (c *Core) HasJobsFor(service string) bool {
	for _, j := range c.jobs {
		if j.service == service {
			return true
		}
	}
	return false
}
