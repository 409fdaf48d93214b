package shard

import "wigeonwinch/jobs/spec"

// pool is the shard's state of one service.
type pool struct {
	service string
	// queue and lastingQueue hold the jobs with tasks to start, without and
	// with lasting steps.
	queue        []*job
	lastingQueue []*job
	// demands are what the customers used and asked for at demandsAt.
	demands   []demand
	demandsAt int64
	// remainingWork is the expected work of all accepted tasks that are not
	// done.
	remainingWork int64
	// blockedSince is when a lasting task first found no capacity; 0 if none
	// is waiting.
	blockedSince int64
	// submittedWork is the declared work of all jobs submitted since the takeover. The
	// rates of earlier peaks are compared with later ones, so that its unit must not
	// change with what the owner learns.
	submittedWork int64
	// isolationWaiting counts the tasks of the current pass that found no worker
	// on which they are isolated as they must, aloneWaiting those of them that must
	// run alone. holding reports whether workers are held for the latter.
	isolationWaiting, aloneWaiting int
	holding                        bool
	// roomWaiting counts the steps of the current pass that wait for room below their
	// customer's cap.
	roomWaiting int
	// probations counts the pool's workers on probation, of which there may be
	// maxProbations.
	probations, maxProbations int
	// fullPassAt is when a pass last tried every waiting job.
	fullPassAt int64
	// noRoom holds the reservations for which no worker of the current pass has
	// room, by label. A pass only fills workers.
	noRoom map[string][]spec.Resources
	// untriedLoggedAt is when a pass that left jobs untried was last logged.
	untriedLoggedAt int64
	// crowded reports whether the last pass left a task unplaced that is no
	// suspect.
	crowded bool
}

func (c *Core) ensurePool(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{service: service}
		c.pools[service] = p
	}
	return p
}

// heldBack counts what the current pass holds back although workers may have capacity.
func (p *pool) heldBack() int { return p.isolationWaiting + p.roomWaiting }
