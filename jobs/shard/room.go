package shard

import (
	"fmt"

	"wigeonwinch/jobs/suspect"
)

// lacksRoom reports whether the current pass has found that no worker has room for a
// task of the step.
func (c *Core) lacksRoom(j *job, s int) bool {
	st := &j.spec.Steps[s]
	reservation := st.Reservation()
	for _, r := range c.ensurePool(j.service).noRoom[st.Label] {
		if r.Fits(reservation) {
			return true
		}
	}
	return false
}

// noteRoom remembers for the current pass that no worker has room for a task of the
// step, if that is so.
func (c *Core) noteRoom(j *job, s int, workers []*worker) {
	st := &j.spec.Steps[s]
	reservation := st.Reservation()
	for _, w := range workers {
		if w.info.hasLabel(st.Label) && w.admits(suspect.Unrestricted, c.now) && reservation.Fits(w.info.Capacity.Sub(w.used)) {
			return
		}
	}
	p := c.ensurePool(j.service)
	if p.noRoom != nil {
		p.noRoom[st.Label] = append(p.noRoom[st.Label], reservation)
	}
}

// untriedLogMS is the pause between two log lines about jobs that a pass did not
// try.
const untriedLogMS = 1_000

// logUntried records that a pass ended after a job and left others untried.
func (c *Core) logUntried(last *job, untried, unplaced int) {
	p := c.ensurePool(last.service)
	if p.untriedLoggedAt != 0 && c.now-p.untriedLoggedAt < untriedLogMS {
		return
	}
	p.untriedLoggedAt = c.now
	l := c.poolLoad(p)
	c.event(Event{Name: EventUntried, Job: last.spec.ID, Detail: fmt.Sprintf("service=%s untried=%d unplaced_tasks=%d free=%d of=%d", p.service, untried, unplaced, l.FreeMilliCPU, l.CapacityMilliCPU)})
}
