package shard

// openOccurrence starts an occurrence of a job.
func (c *Core) openOccurrence(j *job, number int) {
	o := newOccurrence(&j.spec, number)
	j.occurrences[number] = o
	j.nextOccurrence = number + 1
	c.holdState(j)
	work := j.work()
	j.remainingWork += work
	c.ensurePool(j.service).remainingWork += work
	c.enqueue(j)
}

// openDueOccurrences starts the occurrences that are due.
func (c *Core) openDueOccurrences() {
	for _, id := range sortedKeys(c.scheduled) {
		j := c.scheduled[id]
		if j.state.Final() {
			delete(c.scheduled, id)
			continue
		}
		if c.nextDue(j) {
			c.openNextOccurrences(j)
		}
	}
}

// nextDue reports whether the job's next occurrence is due.
func (c *Core) nextDue(j *job) bool {
	return j.nextOccurrence < j.occurrenceCount() && c.wallMS >= j.dueMS(j.nextOccurrence)
}

// openNextOccurrences starts the occurrences of a job that are due, as many as the job's
// record and the owner's memory have room for beside the open ones. The others follow as
// tasks are done.
func (c *Core) openNextOccurrences(j *job) {
	size, added := 0, j.recordBytes(j.spec.Tasks())
	for _, o := range j.occurrences {
		size += j.recordBytes(o.openTasks)
	}
	for c.nextDue(j) {
		if len(j.occurrences) > 0 && (size+added > maxOpenBytes || !c.hasOccurrenceRoom(j)) {
			j.behind = true
			return
		}
		size += added
		c.openOccurrence(j, j.nextOccurrence)
		if !j.behind {
			j.deadline = c.now + (j.deadline - j.firstSeenAt)
			j.firstSeenAt = c.now
		}
		c.markDirty(j)
	}
	j.behind = false
}
