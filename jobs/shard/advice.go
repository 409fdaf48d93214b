package shard

import (
	"cmp"
	"fmt"
	"slices"
)

// The bounds of asking for placement permits.
const (
	// adviceBudgetMS is how long one question may take: a fraction of a usual
	// job's slack. It bounds the workers named.
	adviceBudgetMS = 250
	// adviceLeast and adviceMost bound the workers named in one question; the
	// service takes a hundred.
	adviceLeast, adviceMost = 4, 100
	// adviceSpare is how many workers are named for each task that waits: not
	// every worker is allowed, and some fill up meanwhile.
	adviceSpare = 2
	// permitMarginMS is how long a permit must still hold when a placement is
	// decided: it is stored before the start goes out.
	permitMarginMS = 400
	// adviceRetryMS is the pause after a question without an answer.
	adviceRetryMS = 300
)

// Advice says how long the service that permits placements takes, in
// milliseconds: for a question, for each worker named in it, and how long a
// permit holds.
type Advice struct {
	DecideMS, EachMS, ValidMS int64
}

// Advise asks on which of these workers a step may run.
type Advise struct {
	// Key names the step; its Index is 0.
	Key Key
	// Workers are the ids, Born their incarnations.
	Workers []string
	Born    []int64
}

// Advised is the answer: the permits by worker. Workers that are not in it may
// never run the step.
type Advised struct {
	Permits map[string]string
	// ValidMS is how long the permits hold from the answer on.
	ValidMS int64
}

// permit is what is known of a step on one incarnation of a worker.
type permit struct {
	born int64
	// ticket is empty if the step may not run there.
	ticket string
	until  int64
}

// permitFor says whether a task of an advised step may be placed on a worker
// now. If that is not known the worker is noted for the next question.
func (c *Core) permitFor(j *job, o *occurrence, s int, w *worker) (ticket string, ok bool) {
	advice := c.queues[j.spec.Queue].Advice
	if advice == nil {
		return "", true
	}
	p, known := o.steps[s].permits[w.info.ID]
	known = known && p.born == w.born
	if known && p.ticket == "" {
		return "", false
	}
	if known && c.now+permitMarginMS < p.until {
		return p.ticket, true
	}
	c.wantAdvice(j, o, s, w)
	return "", false
}

// wantAdvice collects the workers of the first step that lacks permits.
func (c *Core) wantAdvice(j *job, o *occurrence, s int, w *worker) {
	key := Key{j.spec.ID, o.number, s, 0}
	if c.advising || c.now < c.adviceAt || len(c.wanted) > 0 && c.wantedKey != key {
		return
	}
	c.wantedKey = key
	if !slices.Contains(c.wanted, w) {
		c.wanted = append(c.wanted, w)
	}
}

// askAdvice orders the question for the workers that were collected.
func (c *Core) askAdvice() {
	wanted := c.wanted
	c.wanted = nil
	j := c.jobs[c.wantedKey.Job]
	if len(wanted) == 0 || j == nil || c.deposed {
		return
	}
	advice := c.queues[j.spec.Queue].Advice
	so := j.stepAt(c.wantedKey)
	if advice == nil || so == nil {
		return
	}
	slices.SortStableFunc(wanted, func(a, b *worker) int { return cmp.Compare(a.used.MilliCPU, b.used.MilliCPU) })
	wanted = wanted[:min(len(wanted), advice.width(so.open))]
	a := Advise{Key: c.wantedKey}
	for _, w := range wanted {
		a.Workers = append(a.Workers, w.info.ID)
		a.Born = append(a.Born, w.born)
	}
	c.advising = true
	c.out.Advises = append(c.out.Advises, a)
	c.event(Event{Name: EventAdvice, Job: a.Key.Job, Run: RunRef{Key: a.Key}, Outcome: "asked", Detail: fmt.Sprintf("workers=%d open=%d", len(wanted), so.open)})
}

// width is how many workers one question names for so many open tasks.
func (a Advice) width(open int) int {
	fit := int64(adviceMost)
	if a.EachMS > 0 {
		fit = (adviceBudgetMS - a.DecideMS) / a.EachMS
	}
	return int(min(max(fit, adviceLeast), int64(max(open*adviceSpare, adviceLeast)), adviceMost))
}

// Advised hands in the answer to a question that was sent at sentAt; ok is
// false if there is none.
func (c *Core) Advised(now, sentAt int64, a Advise, out Advised, ok bool) {
	c.now = now
	c.advising = false
	if !ok {
		c.adviceAt = now + adviceRetryMS
		c.event(Event{Name: EventAdvice, Job: a.Key.Job, Run: RunRef{Key: a.Key}, Outcome: "no_answer", AgeMS: now - sentAt})
		return
	}
	c.event(Event{Name: EventAdvice, Job: a.Key.Job, Run: RunRef{Key: a.Key}, Outcome: "answered", AgeMS: now - sentAt, Detail: fmt.Sprintf("permits=%d of=%d", len(out.Permits), len(a.Workers))})
	j := c.jobs[a.Key.Job]
	if j == nil || j.state.Final() {
		return
	}
	so := j.stepAt(a.Key)
	if so == nil {
		return
	}
	if so.permits == nil {
		so.permits = map[string]permit{}
	}
	for i, id := range a.Workers {
		so.permits[id] = permit{born: a.Born[i], ticket: out.Permits[id], until: sentAt + out.ValidMS}
	}
}

// stepAt returns the step that a key names, or nil if it is done with.
func (j *job) stepAt(k Key) *step {
	o := j.occurrences[k.Occurrence]
	if o == nil || k.Step < 0 || k.Step >= len(o.steps) {
		return nil
	}
	return &o.steps[k.Step]
}
