package shard

import (
	"wigeonwinch/jobs/admit"
	"wigeonwinch/jobs/spec"
)

// What the parts of a job take up in the owner's memory, in bytes, with what it takes to
// store them.
const (
	jobStateBytes  = 1 << 10
	stepStateBytes = 512
	taskStateBytes = 160
	// What an open occurrence of a job beyond the first one takes up, beside its tasks.
	occurrenceStateBytes, occurrenceStepBytes = 256, 256
	// largeStateBytes is the size from which a job is large; see usesHalfRoom.
	largeStateBytes = 32 << 10
)

// stateBytes returns what a job with one open occurrence takes up in the owner's memory.
func stateBytes(s *spec.Job) int64 {
	return int64(jobStateBytes + 2*len(s.Payload) + len(s.Steps)*stepStateBytes + s.Tasks()*taskStateBytes)
}

// furtherOccurrenceBytes returns what each further open occurrence takes up.
func furtherOccurrenceBytes(s *spec.Job) int64 {
	return int64(occurrenceStateBytes + len(s.Steps)*occurrenceStepBytes + s.Tasks()*taskStateBytes)
}

// SetStateRoom sets how many bytes the jobs of the shard may take up in the owner's
// memory; 0 means any number. Accepted jobs are kept whatever the room is.
func (c *Core) SetStateRoom(bytes int64) { c.stateRoom = bytes }

// StateBytes returns what the jobs take up in the owner's memory: the open ones, and of
// final ones their state.
func (c *Core) StateBytes() int64 { return c.stateBytes }

// checkStateRoom refuses a new job that the owner's memory has no room for.
func (c *Core) checkStateRoom(s *spec.Job) (refusal Reply, refused bool) {
	settled := int64(len(c.settled.jobs)) * settledStateBytes
	missing := int64(0)
	if c.stateRoom > 0 {
		missing = c.stateBytes + stateBytes(s) - c.stateRoom
		if usesHalfRoom(s) {
			missing = max(missing, c.stateBytes-settled+stateBytes(s)-c.stateRoom/2)
		}
	}
	if missing <= 0 {
		return Reply{}, false
	}
	return Reply{Reason: "owner_memory_full", RetryAfterMS: max(admit.UnavailableRetryMS, c.settledRoomMS(missing))}, true
}

// usesHalfRoom reports whether a job may only take up room in the half that is not kept for
// ordinary ones: a large one, and one that is admitted however much waits.
func usesHalfRoom(s *spec.Job) bool {
	return stateBytes(s) > largeStateBytes || s.Repeat > 0 || s.HasLastingStep()
}

// holdState counts a job with its open occurrences until it is settled.
func (c *Core) holdState(j *job) {
	size := stateBytes(&j.spec) + int64(max(len(j.occurrences)-1, 0))*furtherOccurrenceBytes(&j.spec)
	c.stateBytes += size - j.stateBytes
	j.stateBytes = size
}

// hasOccurrenceRoom reports whether a further occurrence of the job may be open. With them
// the open jobs may take up a quarter of the room, so that there is room for new jobs of
// all kinds.
func (c *Core) hasOccurrenceRoom(j *job) bool {
	open := c.stateBytes - int64(len(c.settled.jobs))*settledStateBytes
	return c.stateRoom == 0 || open+furtherOccurrenceBytes(&j.spec) <= c.stateRoom/4
}
