package shard

import (
	"fmt"
)

// poll orders the next poll of each worker that needs one.
func (c *Core) poll() {
	for _, w := range c.sortedWorkers() {
		id := w.info.ID
		if !w.listed && len(w.runs) == 0 && len(w.strays) == 0 && !w.polling {
			delete(c.workers, id)
			c.ranked = nil
			continue
		}
		if w.polling || c.now < w.pollAt || w.seen > w.acked || w.info.Address == "" {
			continue
		}
		w.polling = true
		p := Poll{Target: c.target(w), AckedUpto: w.acked}
		if w.reached {
			p.WaitMS = pollWaitMS
		}
		if w.reached && w.failedPolls == 0 {
			// A silent worker's lease must be able to lapse.
			p.LeaseUntil = c.lease(w)
		}
		if w.reached && w.serving > 0 && w.fillers > 0 {
			p.WaitMS = sharedPollWaitMS
		}
		if c.urgent(w) {
			p.WaitMS = 0
		}
		c.out.Polls = append(c.out.Polls, p)
	}
}

// urgent says whether the lists are needed at once to settle a run.
func (c *Core) urgent(w *worker) bool {
	if len(w.strays) > 0 {
		return true
	}
	for _, r := range w.runs {
		if r.phase == stopping || r.unproven {
			return true
		}
	}
	return false
}

// ListedRun is one row of a worker's running tasks.
type ListedRun struct {
	RunRef
	Checkpoint string
	// Percent is the pace at which it works; 100 once a lasting task serves.
	Percent int
	// Figure is the tail in milliseconds of a serving task, else milli-CPU.
	Figure int
}

// EndKind says how a run ended.
type EndKind string

// ListedEnd is one row of a worker's ends.
type ListedEnd struct {
	// End numbers the worker's ends.
	End int
	RunRef
	Kind       EndKind
	Checkpoint string
}

// Lists is a worker's answer to a poll.
type Lists struct {
	ClockMS int64
	Born    int64
	Running []ListedRun
	Ended   []ListedEnd
}

// PollError says why a poll brought no lists.
type PollError string

// PollFailed hands in a poll that brought no lists.
func (c *Core) PollFailed(now int64, t Target, why PollError) {
	c.now = now
	w := c.workers[t.Worker]
	if w == nil || w.born != t.Born {
		if w != nil {
			w.polling = false
		}
		return
	}
	w.polling = false
	w.pollAt = now + pollRetryMS
	w.failedPolls++
	if why == PollFenced {
		c.depose(w.info.ID)
	}
	if why == PollReplaced {
		w.pausedUntil = now + workerPauseMS
	}
	if w.failedPolls <= 2 {
		c.event(Event{Name: EventPollFailed, Worker: w.info.ID, Outcome: string(why), Detail: fmt.Sprintf("in_a_row=%d runs=%d", w.failedPolls, len(w.runs)), AgeMS: now - w.listedAt})
	}
}

func (c *Core) depose(worker string) {
	if !c.deposed {
		c.event(Event{Name: EventDeposed, Worker: worker, Detail: fmt.Sprintf("epoch=%d", c.cfg.Epoch)})
	}
	c.deposed = true
}

// Polled hands in a worker's lists. sentAt is when the poll was sent.
func (c *Core) Polled(now, sentAt int64, t Target, l Lists) {
	c.now = now
	w := c.workers[t.Worker]
	if w == nil {
		return
	}
	w.polling = false
	if l.Born > w.born {
		c.reborn(w, l.Born)
		return
	}
	if l.Born < w.born {
		return
	}
	w.clock, w.clockAt = l.ClockMS, now
	w.listedAt = now
	w.failedPolls = 0
	w.pollAt = now
	if !w.reached {
		w.reached = true
		c.event(Event{Name: EventWorker, Worker: w.info.ID, Outcome: "reached", Detail: fmt.Sprintf("running=%d ended=%d epoch=%d", len(l.Running), len(l.Ended), c.cfg.Epoch)})
	}
	c.takeEnds(w, l.Ended)
	c.takeRunning(w, sentAt, l)
	if c.urgent(w) {
		w.pollAt = now + urgentPollMS
	}
}

// endsPerList is how many ends a worker lists at most; a full list may hide
// more.
const endsPerList = 500

// urgentPollMS is the pause between polls that wait for a stop to show.
const urgentPollMS = 60

func (c *Core) takeRunning(w *worker, sentAt int64, l Lists) {
	present := make(map[runID]bool, len(l.Running))
	strays := map[RunRef]int64{}
	for _, row := range l.Running {
		id := runID{row.Key, row.Number}
		present[id] = true
		if r := w.runs[id]; r != nil {
			c.confirm(r, row)
			continue
		}
		if c.adopt(w, row) {
			continue
		}
		c.stray(w, row, strays)
	}
	w.strays = strays
	if len(l.Ended) >= endsPerList {
		return
	}
	for _, r := range sortedRuns(w) {
		if !present[runID{r.key, r.number}] {
			c.missing(r, sentAt)
		}
	}
}

func (c *Core) confirm(r *run, row ListedRun) {
	r.unproven = false
	r.percent, r.tailMS = row.Percent, row.Figure
	if r.phase == ordered {
		r.phase = running
		r.since = c.now
	}
	r.confirmedAt = c.now
	if tk := r.task(); tk != nil && row.Checkpoint != "" {
		tk.saved = row.Checkpoint
	}
}

// adopt takes over a run that an earlier owner started without this one
// knowing where.
func (c *Core) adopt(w *worker, row ListedRun) bool {
	j := c.jobs[row.Key.Job]
	if j == nil || j.state.Final() {
		return false
	}
	tk := j.task(row.Key)
	if tk == nil || tk.done || tk.current != nil || row.Number < tk.run || row.Number <= tk.settled {
		return false
	}
	st := &j.spec.Steps[row.Key.Step]
	tk.run = row.Number
	r := &run{job: j, key: row.Key, number: row.Number, on: w, phase: running, room: st.Room(), since: c.now, confirmedAt: c.now, share: 100, percent: row.Percent}
	tk.current = r
	w.add(r)
	j.begun = true
	c.touch(j)
	c.event(Event{Name: EventAdopted, Job: j.spec.ID, Run: row.RunRef, Worker: w.info.ID})
	return true
}

// stray stops a run that is not to be there.
func (c *Core) stray(w *worker, row ListedRun, strays map[RunRef]int64) {
	last, known := w.strays[row.RunRef]
	if !known {
		c.event(Event{Name: EventStray, Job: row.Key.Job, Run: row.RunRef, Worker: w.info.ID})
	}
	if !known || c.now-last >= stopRetryMS {
		last = c.now
		c.out.Stops = append(c.out.Stops, Stop{c.target(w), row.RunRef})
	}
	strays[row.RunRef] = last
}

// missing handles a run of ours that a worker's lists do not have.
func (c *Core) missing(r *run, sentAt int64) {
	switch r.phase {
	case placed:
		return
	case running:
		if r.confirmedAt < sentAt {
			c.settle(r, "not_in_list")
		}
	case stopping:
		if r.stopAnswered != 0 && r.stopAnswered < sentAt {
			c.settle(r, "stopped_before_start")
		}
	case ordered:
		if r.startedAt == 0 {
			// The order came from an earlier owner, whose epoch the worker no
			// longer obeys.
			c.settle(r, "never_started")
			return
		}
		if c.now-r.startedAt > settleMS && r.unproven {
			c.stop(r, "start_unconfirmed")
		}
	}
}
