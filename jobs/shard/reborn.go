package shard

import (
	"fmt"
	"slices"

	"wigeonwinch/jobs/suspect"
)

// A worker may start again under its ID and address before its new entry is read.
// Starts that are sent to the earlier incarnation until then reach the later one,
// and the worker cannot tell. The answers tell: their clock begins anew with each
// incarnation.

// doubt marks a run that is on the later incarnation of its worker or was lost with
// the earlier one.
type doubt struct {
	// verdict applies to the run's task if the run was lost.
	verdict suspect.Verdict
}

// incarnationKind relates the incarnation that has answered a start to the one to
// which the start was sent.
type incarnationKind int

// The kinds of incarnations. An answer without a clock tells nothing.
const (
	unknownIncarnation incarnationKind = iota
	targetIncarnation
	laterIncarnation
)

// answeredBy returns which incarnation has answered the run's start.
func (r *run) answeredBy(result StartResult) incarnationKind {
	switch {
	case result.ClockMS == 0:
		return unknownIncarnation
	case result.ClockMS < r.minClockMS:
		return laterIncarnation
	}
	return targetIncarnation
}

// inDoubt reports whether a later incarnation has answered that is not listed yet.
func (w *worker) inDoubt() bool { return w.doubtedAt != 0 }

// minClock returns the lowest clock that this incarnation can show from now on.
func (w *worker) minClock(now int64) int64 {
	drift := float64(max(now-w.clockReadAt, 0)) * maxClockDrift
	return w.estimateClock(now) - int64(drift) - leaseMarginMS
}

// doubtIncarnation records that a later incarnation of a worker has answered. It
// gets no starts and no leases until it is listed. The end of a lease in the clock
// of the earlier one is so far ahead in its own that it grants its longest lease.
func (c *Core) doubtIncarnation(w *worker) {
	if !w.inDoubt() {
		c.event(Event{Name: EventWorker, Worker: w.info.ID, Outcome: "clock_restarted", Detail: fmt.Sprintf("born=%d runs=%d", w.incarnation, len(w.runs))})
	}
	w.doubtedAt = c.now
	c.expectLongestLease(w)
}

// expectLongestLease records that a later incarnation of a worker may have granted its
// longest lease just now.
func (c *Core) expectLongestLease(w *worker) {
	until := c.now + int64(float64(c.longestLeaseMS)/(1-maxClockDrift)) + leaseMarginMS
	w.laterLeasesUntil = max(w.laterLeasesUntil, until)
}

// loseIncarnation settles the runs that were lost with an incarnation of a worker
// that has started again. Those that may be on the next one get a doubt.
func (c *Core) loseIncarnation(w *worker) {
	runs := sortedRuns(w)
	if len(runs) == 0 {
		return
	}
	evidence := w.successorEvidence()
	c.logLoss(w, reasonWorkerReborn, evidence, len(runs))
	assessed := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.doubt != nil || r.accepted == laterIncarnation })
	for _, r := range runs {
		if r.doubt == nil && r.mayBeOnLaterIncarnation() {
			r.doubt = newDoubt(r)
		}
	}
	guilty := c.assessLoss(w, assessed, evidence, false)
	for _, r := range runs {
		if r.doubt == nil {
			c.settleRun(r, reasonWorkerReborn)
		}
	}
	for _, r := range guilty {
		c.giveUp(r)
	}
}

// newDoubt returns a doubt with a verdict that changes nothing.
func newDoubt(r *run) *doubt {
	d := &doubt{}
	if tk := r.task(); tk != nil {
		d.verdict.History = tk.history
	}
	return d
}

// mayBeOnLaterIncarnation reports whether the run's start may have reached a later
// incarnation of its worker than the one to which it was sent.
func (r *run) mayBeOnLaterIncarnation() bool {
	return r.phase != phasePlaced && !r.listed && r.accepted != targetIncarnation
}

// carryRuns moves the runs in doubt to the new incarnation of their worker.
func (c *Core) carryRuns(w *worker) {
	if len(w.runs) > 0 {
		c.expectLongestLease(w)
	}
	for _, r := range sortedRuns(w) {
		if r.phase == phaseStopping {
			r.stopAnsweredAt = 0
			c.sendStop(r)
		}
	}
}
