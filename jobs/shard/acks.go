package shard

import (
	"maps"
	"math"

	"wigeonwinch/jobs/overdue"
)

// A worker forgets the ends up to the number that a poll names as stored. The numbers
// start anew with each incarnation, an order for one incarnation may reach the next one
// under the same ID, and a poll without an answer may be carried out seconds later. So
// that no incarnation forgets an end that its owner has not stored:
//
//   - ends are named until the worker has forgotten them, and by polls that do not wait;
//   - no start is on its way to the worker while such a poll is, nor the other way round;
//   - after a poll has got no answer, the orders to the worker carry a higher token: any
//     incarnation that has taken a start since refuses the poll.
//
// A poll that does not name ends extends leases, by an end in the clock of the incarnation
// for which it is; a later one would hold its longest lease from whenever it came.
//
// A successor does the same with tokens above those of this owner.

// TokensPerEpoch is how many fencing tokens an owner may use, counted from its epoch. The
// epochs of two owners of a shard differ by as much at least.
const TokensPerEpoch = 1 << 10

const (
	// lateCallMS is how long a call to a worker that got no answer may be carried out.
	lateCallMS = 15_000
	// keepTokenMS is how long the tokens of a worker without an entry are remembered.
	keepTokenMS = 3_600_000
	// ackPauseMS is the time between two polls while starts hold up an acknowledgement.
	ackPauseMS = 60
)

// acks tracks the acknowledgements of a worker's ends.
type acks struct {
	// named is the highest end that the last poll with an acknowledgement has named, ordered
	// at orderedAt. inFlight reports whether that poll has neither been answered nor failed.
	named     int
	orderedAt int64
	inFlight  bool
	// forgotten is the highest end that this incarnation has forgotten. seenAt is when it
	// last listed a new end.
	forgotten int
	seenAt    int64
	// paused reports whether an acknowledgement waits for starts since the last poll.
	paused bool
	// heldStarts wait for the answer to the poll in flight.
	heldStarts []*run
	// raises is how far the token of orders to the worker's ID is above the epoch. lostAt is
	// when a poll last remained without an answer; 0 if none did.
	// barredUntil is the time until which the worker gets no starts, for want of tokens.
	raises, lostAt, barredUntil int64
}

// token returns the fencing token of orders to a worker.
func (c *Core) token(w *worker) int64 { return c.cfg.Epoch + w.acks.raises }

// isOutdated reports whether an order to a worker carried a lower token than orders do now.
// If the worker refuses it, that tells nothing of a newer owner.
func (c *Core) isOutdated(w *worker, t Target) bool { return t.Epoch < c.token(w) }

// ackDue reports whether the worker still holds ends that are stored.
func (w *worker) ackDue() bool {
	return w.reached && w.failedPolls == 0 && !w.inDoubt() && !w.acks.inFlight && w.ackedEnd > w.acks.forgotten
}

// mayHoldOtherRuns reports whether a later incarnation of the worker may have taken a start.
func (w *worker) mayHoldOtherRuns() bool {
	for _, r := range w.runs {
		if r.mayBeOnLaterIncarnation() {
			return true
		}
	}
	return false
}

// pauseAck reports whether the poll of a worker is put off until its starts are answered.
func (c *Core) pauseAck(w *worker) bool {
	if w.acks.paused || c.needsPollNow(w) {
		w.acks.paused = false
		return false
	}
	w.acks.paused = true
	w.nextPollAt = c.now + ackPauseMS
	return true
}

// resumeAck polls a worker at once if its acknowledgement need not wait any longer.
func (c *Core) resumeAck(w *worker) {
	if w.acks.paused && !w.mayHoldOtherRuns() {
		w.nextPollAt = c.now
	}
}

// holdStart puts a start off while the poll in flight names ends.
func (w *worker) holdStart(r *run) bool {
	if !w.acks.inFlight {
		return false
	}
	w.acks.heldStarts = append(w.acks.heldStarts, r)
	return true
}

// nameEnds adds the acknowledgement to a poll.
func (c *Core) nameEnds(w *worker, p *Poll) {
	p.AckedUpto = w.ackedEnd
	w.namedEnd = max(w.namedEnd, w.ackedEnd)
	w.acks.named, w.acks.orderedAt, w.acks.inFlight, w.acks.paused = w.ackedEnd, c.now, true, false
}

// noteListedEnds applies the list of ends in an answer of the worker's present incarnation.
func (c *Core) noteListedEnds(w *worker, sentAt int64, ends []ListedEnd) {
	a := &w.acks
	lowest := math.MaxInt
	for _, e := range ends {
		lowest = min(lowest, e.End)
	}
	// Ends up to this one were known when the poll was sent.
	known := 0
	switch {
	case sentAt >= a.seenAt:
		known = w.ackedEnd
	case sentAt >= a.orderedAt:
		known = a.named
	}
	a.forgotten = max(a.forgotten, min(known, lowest-1))
	switch {
	case !a.inFlight || sentAt < a.orderedAt:
	case a.forgotten >= a.named:
		c.endAck(w)
	default:
		c.loseAck(w)
	}
}

// losePoll records that a poll has failed. The worker may carry it out later.
func (c *Core) losePoll(w *worker, sentAt int64, reason PollError) {
	isAck := w.acks.inFlight && sentAt >= w.acks.orderedAt
	switch {
	case isAck && reason.notCarriedOut():
		c.endAck(w)
	case isAck:
		c.loseAck(w)
	case w.failedPolls == 0 && !reason.notCarriedOut():
		c.raiseToken(w)
	}
}

// loseAck records that a poll which names ends may be carried out at any time from now on.
func (c *Core) loseAck(w *worker) {
	c.raiseToken(w)
	c.endAck(w)
}

// checkAck lets starts go on that have waited for long for the answer to a poll that names
// ends, as long as there are tokens for the cases without any other way.
func (c *Core) checkAck(w *worker) {
	if a := &w.acks; a.inFlight && len(a.heldStarts) > 0 && c.now-a.orderedAt >= overdue.StartMS && a.raises < TokensPerEpoch/2 {
		c.loseAck(w)
	}
}

// raiseToken lets every life of a worker that obeys an order from now on refuse those before.
func (c *Core) raiseToken(w *worker) {
	a := &w.acks
	a.lostAt = c.now
	if a.raises < TokensPerEpoch-1 {
		a.raises++
		return
	}
	a.barredUntil = c.now + lateCallMS
}

// endAck sends the starts that have waited for the answer to a poll that names ends.
func (c *Core) endAck(w *worker) {
	w.acks.inFlight = false
	held := w.acks.heldStarts
	w.acks.heldStarts = nil
	for _, r := range held {
		c.sendStart(r)
	}
}

// resetAcks forgets the ends of an earlier incarnation. A poll in flight may still reach
// this one.
func (c *Core) resetAcks(w *worker, pollInFlight bool) {
	switch {
	case w.acks.inFlight:
		c.loseAck(w)
	case pollInFlight:
		c.raiseToken(w)
	}
	w.acks.named, w.acks.orderedAt, w.acks.forgotten, w.acks.seenAt, w.acks.paused = 0, 0, 0, 0, false
}

// formerToken is what is kept of a worker that is not listed any more, for the tokens of its
// orders: it refuses lower ones if it comes back in the same life, and a late poll may reach
// the next one.
type formerToken struct{ raises, lostAt int64 }

// forgetWorker removes a worker without an entry and without runs.
func (c *Core) forgetWorker(w *worker) {
	if w.acks.inFlight {
		c.loseAck(w)
	}
	delete(c.workers, w.info.ID)
	c.workersByID = nil
	maps.DeleteFunc(c.formerTokens, func(_ string, f formerToken) bool { return c.now-f.lostAt > keepTokenMS })
	if w.acks.raises > 0 {
		c.formerTokens[w.info.ID] = formerToken{w.acks.raises, w.acks.lostAt}
	}
}

// restoreToken continues the tokens of a worker that was known before.
func (c *Core) restoreToken(w *worker) {
	if f, ok := c.formerTokens[w.info.ID]; ok {
		w.acks.raises, w.acks.lostAt = f.raises, f.lostAt
		delete(c.formerTokens, w.info.ID)
	}
}
