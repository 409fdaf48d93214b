package shard

import (
	"cmp"
	"fmt"
	"slices"
)

// The bounds of requests for placement permits.
const (
	// adviceBudgetMS is how long one request may take: a fraction of a typical
	// job's slack. It bounds the number of workers per request.
	adviceBudgetMS = 250
	// minAdviceWorkers and maxAdviceWorkers bound the workers per request; the
	// service accepts a hundred.
	minAdviceWorkers, maxAdviceWorkers = 4, 100
	// adviceWorkersPerTask is how many workers are requested for each waiting
	// task: not every worker is permitted, and some fill up in the meantime.
	adviceWorkersPerTask = 2
	// permitMarginMS is how long a permit must still be valid when a placement
	// is decided, because the placement is stored before the start is sent.
	permitMarginMS = 400
	// adviceRetryMS is the delay after a request without an answer.
	adviceRetryMS = 300
)

// AdviceTiming holds the timing of the service that permits placements, in
// milliseconds: the time for a request, the additional time for each worker in
// it, and how long a permit is valid.
type AdviceTiming struct {
	_                         struct{} `cbor:",toarray"`
	DecideMS, EachMS, ValidMS int64
}

// AdviceRequest is a request for the permits of a step on some workers.
type AdviceRequest struct {
	// Key identifies the step; its Index is 0.
	Key Key
	// Workers are the worker IDs, Incarnations their incarnations in the same
	// order.
	Workers      []string
	Incarnations []int64
}

// AdviceResponse is the answer: permits by worker ID. Workers of the request
// that have no permit may never run the step.
type AdviceResponse struct {
	Permits map[string]string
	// ValidMS is how long the permits are valid after the request was sent.
	ValidMS int64
}

// permit is the permission of a step for one incarnation of a worker.
type permit struct {
	incarnation int64
	// token is empty if the step may not run there.
	token      string
	validUntil int64
}

// adviceTiming returns the timing of the service that must permit each placement of a job; nil
// if none must. The configuration in force decides, wherever it sends the job's queue. The
// job's own timing holds once the queue has left the configuration.
func (c *Core) adviceTiming(j *job) *AdviceTiming {
	timing := j.advice
	if q, ok := c.queues[j.spec.Queue]; ok {
		timing = q.AdviceTiming
	} else if q, ok := c.otherQueues[j.spec.Queue]; ok {
		timing = q.AdviceTiming
	}
	if timing == nil && j.permitDemanded {
		return &AdviceTiming{}
	}
	return timing
}

// permitFor reports whether a task of the step may be placed on a worker now,
// and returns the permit's token. If there is no valid answer yet, the worker
// is added to the next request.
func (c *Core) permitFor(j *job, o *occurrence, s int, w *worker) (token string, ok bool) {
	if c.adviceTiming(j) == nil {
		return "", true
	}
	p, known := o.steps[s].permits[w.info.ID]
	known = known && p.incarnation == w.incarnation
	if known && p.token == "" {
		return "", false
	}
	if known && c.now+permitMarginMS < p.validUntil {
		return p.token, true
	}
	c.collectAdviceWorker(j, o, s, w)
	return "", false
}

// collectAdviceWorker adds a worker to the next request, which covers only the
// first step that lacks permits.
func (c *Core) collectAdviceWorker(j *job, o *occurrence, s int, w *worker) {
	key := Key{j.spec.ID, o.number, s, 0}
	if c.adviceInFlight || c.now < c.nextAdviceAt || c.now < o.steps[s].nextAdviceAt || len(c.adviceWorkers) > 0 && c.adviceStep != key {
		return
	}
	c.adviceStep = key
	if !slices.Contains(c.adviceWorkers, w) {
		c.adviceWorkers = append(c.adviceWorkers, w)
	}
}

// requestAdvice orders a request for the collected workers.
func (c *Core) requestAdvice() {
	workers := c.adviceWorkers
	c.adviceWorkers = nil
	j := c.jobs[c.adviceStep.Job]
	if len(workers) == 0 || j == nil || c.deposed {
		return
	}
	advice := c.adviceTiming(j)
	so := j.findStep(c.adviceStep)
	if advice == nil || so == nil {
		return
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(a.used.MilliCPU, b.used.MilliCPU) })
	workers = workers[:min(len(workers), advice.maxWorkers(so.openTasks))]
	req := AdviceRequest{Key: c.adviceStep}
	for _, w := range workers {
		req.Workers = append(req.Workers, w.info.ID)
		req.Incarnations = append(req.Incarnations, w.incarnation)
	}
	c.adviceInFlight = true
	c.orders.AdviceRequests = append(c.orders.AdviceRequests, req)
	c.event(Event{Name: EventAdvice, Job: req.Key.Job, Run: RunRef{Key: req.Key}, Outcome: "asked", Detail: fmt.Sprintf("workers=%d open=%d", len(workers), so.openTasks)})
}

// maxWorkers returns how many workers one request may name for the given
// number of open tasks.
func (a AdviceTiming) maxWorkers(open int) int {
	fitting := int64(maxAdviceWorkers)
	if a.EachMS > 0 {
		fitting = (adviceBudgetMS - a.DecideMS) / a.EachMS
	}
	return int(min(max(fitting, minAdviceWorkers), int64(max(open*adviceWorkersPerTask, minAdviceWorkers)), maxAdviceWorkers))
}

// HandleAdvice applies the answer to a request that was sent at sentAt; ok is
// false if there was no answer.
func (c *Core) HandleAdvice(now, sentAt int64, req AdviceRequest, resp AdviceResponse, ok bool) {
	c.now = now
	c.adviceInFlight = false
	if !ok {
		c.nextAdviceAt = now + adviceRetryMS
		c.event(Event{Name: EventAdvice, Job: req.Key.Job, Run: RunRef{Key: req.Key}, Outcome: "no_answer", AgeMS: now - sentAt})
		return
	}
	c.event(Event{Name: EventAdvice, Job: req.Key.Job, Run: RunRef{Key: req.Key}, Outcome: "answered", AgeMS: now - sentAt, Detail: fmt.Sprintf("permits=%d of=%d", len(resp.Permits), len(req.Workers))})
	j := c.jobs[req.Key.Job]
	if j == nil || j.state.Final() {
		return
	}
	so := j.findStep(req.Key)
	if so == nil {
		return
	}
	if so.permits == nil {
		so.permits = map[string]permit{}
	}
	for i, id := range req.Workers {
		so.permits[id] = permit{incarnation: req.Incarnations[i], token: resp.Permits[id], validUntil: sentAt + resp.ValidMS}
	}
}

// rejectPermit handles the rejection of a start for want of a valid permit. A step whose
// newly requested permit is rejected as well waits before it asks once more.
func (c *Core) rejectPermit(r *run) {
	if r.permit == "" {
		r.job.permitDemanded = true
	}
	so := r.job.findStep(r.key)
	if so == nil {
		return
	}
	delete(so.permits, r.worker.info.ID)
	if so.permitRejectedAt != 0 && r.startSentAt > so.permitRejectedAt {
		so.nextAdviceAt = c.now + adviceRetryMS
	}
	so.permitRejectedAt = c.now
}

// findStep returns the step of a key, or nil if the step no longer exists.
func (j *job) findStep(k Key) *step {
	o := j.occurrences[k.Occurrence]
	if o == nil || k.Step < 0 || k.Step >= len(o.steps) {
		return nil
	}
	return &o.steps[k.Step]
}
