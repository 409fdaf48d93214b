package shard

import (
	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/spec"
)

// settledJob is what the owner keeps of a final job of which nothing runs any more, for as
// long as its state can be asked for.
type settledJob struct {
	class      *settledClass
	acceptedMS int64
	state      spec.State
}

// settledClass is what the jobs of one queue and customer have in common.
type settledClass struct {
	queue, customer string
	priority        int
}

// settledAt is when a job became final, on the monotonic clock.
type settledAt struct {
	id      string
	finalAt int64
}

// settledStateBytes is what a settled job takes up in the owner's memory.
const settledStateBytes = 160

// settledJobs are the settled jobs of a shard.
type settledJobs struct {
	jobs map[string]settledJob
	// order lists the jobs in the order in which they were settled.
	order   []settledAt
	classes map[settledClass]*settledClass
}

func newSettledJobs() settledJobs {
	return settledJobs{jobs: map[string]settledJob{}, classes: map[settledClass]*settledClass{}}
}

func (s *settledJobs) add(j *job) {
	class := settledClass{j.spec.Queue, j.spec.Customer, j.priority}
	shared := s.classes[class]
	if shared == nil {
		shared = &class
		s.classes[class] = shared
	}
	s.jobs[j.spec.ID] = settledJob{class: shared, acceptedMS: j.acceptedMS, state: j.storedState}
	s.order = append(s.order, settledAt{j.spec.ID, j.finalAt})
}

// mayAccess reports whether a caller may access a settled job.
func (s settledJob) mayAccess(caller customer.Caller) bool {
	return caller.MayAccess(s.class.customer, s.class.queue)
}

func (s settledJob) summary(id string) JobSummary {
	return JobSummary{ID: id, Queue: s.class.queue, State: s.state, Priority: s.class.priority, AcceptedMS: s.acceptedMS}
}

// settleFinalJobs forgets all but the state of final jobs once that is stored and no run
// of theirs can be on a worker any more, or nobody may ask for the state any more.
func (c *Core) settleFinalJobs() {
	kept := c.finalJobs[:0]
	for _, j := range c.finalJobs {
		if !j.storedState.Final() || j.dirty || j.runs > 0 && c.now-j.finalAt <= c.keepFinalMS() {
			kept = append(kept, j)
			continue
		}
		c.settle(j)
	}
	clear(c.finalJobs[len(kept):])
	c.finalJobs = kept
}

func (c *Core) settle(j *job) {
	delete(c.jobs, j.spec.ID)
	c.settled.add(j)
	c.stateBytes += settledStateBytes - j.stateBytes
	j.stateBytes = 0
}

// keepFinalMS is how long the state of a final job can be asked for.
func (c *Core) keepFinalMS() int64 { return c.cfg.StatusKeepMS + finalKeepMarginMS }

// purgeSettled forgets the settled jobs whose state can't be asked for any more.
func (c *Core) purgeSettled() {
	n := 0
	for _, s := range c.settled.order {
		if c.now-s.finalAt <= c.keepFinalMS() {
			break
		}
		n++
		delete(c.settled.jobs, s.id)
		c.pendingDeletes = append(c.pendingDeletes, s.id)
	}
	c.stateBytes -= int64(n) * settledStateBytes
	c.settled.order = c.settled.order[n:]
}

// settledRoomMS returns how long it takes until so many bytes of settled jobs are
// forgotten, or 0 if there are fewer.
func (c *Core) settledRoomMS(bytes int64) int64 {
	n := int((bytes + settledStateBytes - 1) / settledStateBytes)
	if n < 1 || n > len(c.settled.order) {
		return 0
	}
	return max(c.settled.order[n-1].finalAt+c.keepFinalMS()-c.now, 0)
}
