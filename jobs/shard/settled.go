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

const (
	// settledStateBytes is what a settled job takes up in the owner's memory.
	settledStateBytes = 160
	// maxSettledJobs bounds the settled jobs of a shard, so that a successor can read their
	// records within the time for a takeover. Beyond half of it cancelled jobs are forgotten
	// early, and no more jobs are accepted than are forgotten in the same time.
	maxSettledJobs = 100_000
	// minCancelledKeepMS is how long a cancelled job is known at least: a submission of it
	// may be held up in a suspended node.
	minCancelledKeepMS = declineKeepMS
)

// settledJobs are the settled jobs of a shard.
type settledJobs struct {
	jobs map[string]settledJob
	// cancelled and ended list the cancelled jobs and the others in the order in which they
	// were settled.
	cancelled, ended []settledAt
	classes          map[settledClass]*settledClass
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
	if j.storedState == spec.Cancelled {
		s.cancelled = append(s.cancelled, settledAt{j.spec.ID, j.finalAt})
		return
	}
	s.ended = append(s.ended, settledAt{j.spec.ID, j.finalAt})
}

// maxSettled returns how many settled jobs there may be. They may take up half of the room
// in the owner's memory.
func (c *Core) maxSettled() int {
	if c.stateRoom == 0 {
		return maxSettledJobs
	}
	return int(min(maxSettledJobs, c.stateRoom/2/settledStateBytes))
}

// crowded reports whether there are so many settled jobs that further ones are paced.
func (c *Core) crowded() bool { return len(c.settled.jobs) > c.maxSettled()/2 }

// paceBurstMS is for how long a shard that paces jobs saves what it did not accept.
const paceBurstMS = 1_000

// takePace reports whether a shard that is crowded may accept another job. It accepts as
// many in the time for which final jobs are kept as the other half of maxSettled holds.
func (c *Core) takePace() bool {
	if !c.crowded() {
		return true
	}
	perMS := float64(c.maxSettled()/2) / float64(c.keepFinalMS())
	c.pace = min(c.pace+float64(c.now-c.pacedAt)*perMS, max(perMS*paceBurstMS, 1))
	c.pacedAt = c.now
	if c.pace < 1 {
		return false
	}
	c.pace--
	return true
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

// purgeSettled forgets the settled jobs whose state can't be asked for any more, and
// cancelled ones earlier while there are too many.
func (c *Core) purgeSettled() {
	keepMS := c.keepFinalMS()
	c.settled.ended = c.forgetSettled(c.settled.ended, func(s settledAt) bool { return c.now-s.finalAt > keepMS })
	c.settled.cancelled = c.forgetSettled(c.settled.cancelled, func(s settledAt) bool {
		return c.now-s.finalAt > keepMS || c.crowded() && c.now-s.finalAt > minCancelledKeepMS
	})
}

// forgetSettled forgets the first jobs of a list, as long as they have expired, and returns
// the others.
func (c *Core) forgetSettled(list []settledAt, expired func(settledAt) bool) []settledAt {
	n := 0
	for n < len(list) && expired(list[n]) {
		delete(c.settled.jobs, list[n].id)
		c.stateBytes -= settledStateBytes
		c.pendingDeletes = append(c.pendingDeletes, list[n].id)
		n++
	}
	return list[n:]
}

// settledRoomMS returns how long it takes at most until so many bytes of settled jobs are
// forgotten, or 0 if there are fewer.
func (c *Core) settledRoomMS(bytes int64) int64 {
	n, waitMS := int((bytes+settledStateBytes-1)/settledStateBytes), int64(0)
	for _, list := range [][]settledAt{c.settled.ended, c.settled.cancelled} {
		if taken := min(n, len(list)); taken > 0 {
			n -= taken
			waitMS = max(waitMS, list[taken-1].finalAt+c.keepFinalMS()-c.now)
		}
	}
	if n > 0 {
		return 0
	}
	return waitMS
}
