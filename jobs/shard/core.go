// Package shard decides about the jobs of one shard: which are accepted, where
// their tasks run and when they are done. It does no I/O, reads no clock and
// starts no goroutine: its owner hands in events with the time and carries out
// the orders that come back.
//
//	core := shard.New(shard.Config{Epoch: 7}, now, wallMS)
//	core.Submit(now, ticket, job, firstSeenMS)
//	core.Advance(now, wallMS)
//	orders := core.Take()          // polls, starts, stops, replies
//	batch, ok := core.NextBatch()  // records to append
//	core.Committed(now, batch)     // once the store has them
package shard

import (
	"cmp"
	"maps"
	"slices"

	"wigeonwinch/jobs/spec"
)

// The core's bounds.
const (
	// maxRestoredAgeMS bounds the age that a wall clock gives a restored job,
	// because that clock may jump.
	maxRestoredAgeMS = 60_000
	// finalKeepMS is how long final jobs are remembered beyond the status
	// time, to cover clocks that run apart.
	finalKeepMS = 10_000
	// firstSeenKeepMS is how long a refused job's first arrival is remembered;
	// clients have given up long before.
	firstSeenKeepMS = 30_000
	// settleMS is how long an unconfirmed start may stay out of a worker's
	// list before it is stopped: a few round trips between zones.
	settleMS = 400
	// stopRetryMS is the pause between two stops of one run.
	stopRetryMS = 500
	// workerPauseMS is how long a worker gets no starts after it refused or
	// did not answer one.
	workerPauseMS = 700
	// clockDrift is the share by which a worker's clock may be slow.
	clockDrift = 0.02
	// leaseMarginMS covers the wire and rounding of leases.
	leaseMarginMS = 100
	// maxLeaseMS is the longest lease that is asked for: long enough to bridge
	// a short partition, short enough that a dead worker's lasting tasks are
	// back within the six seconds that the platform gives them.
	maxLeaseMS = 6_000
	// pollWaitMS is how long a worker may hold back its answer.
	pollWaitMS = 1_500
	// pollRetryMS is the pause after a failed poll.
	pollRetryMS = 300
	// maxBatchRecords bounds one append: well below the store's bytes a call.
	maxBatchRecords = 400
	// maxDrops forgotten jobs are dropped without another record to go with.
	maxDrops = 50
)

// Config is fixed for the life of a core.
type Config struct {
	// Epoch fences older owners at the store and at the workers.
	Epoch int64
	// MaxLeaseMS is the longest lease that workers grant.
	MaxLeaseMS int64
	// EarlierLeaseMS is for how long from the takeover earlier owners' leases
	// may last at workers that are not reached.
	EarlierLeaseMS int64
	// StatusKeepMS is how long final jobs can be asked for.
	StatusKeepMS int64
	// Policy is what the lab compares; the zero value is the product's.
	Policy Policy
}

// Policy says in which order jobs get room, and whether any is turned away.
type Policy struct {
	Order Order
	// TakeAll accepts all jobs that can ever be held.
	TakeAll bool
}

// Order ranks jobs of one priority.
type Order int

// The orders.
const (
	// OrderLeastLeft puts those with the least work left first that can still
	// be in time, then the others by arrival.
	OrderLeastLeft Order = iota
	// OrderArrival is first come, first served.
	OrderArrival
	// OrderShortest puts those with the shortest chain first.
	OrderShortest
)

// Queue is one queue of the configuration in force.
type Queue struct {
	Name    string
	Service string
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch times the chain plus TargetMS is the time in which a job counts
	// in full.
	Stretch  float64
	TargetMS int64
	// Advice is set if a service must permit each placement.
	Advice *Advice
}

// Worker is what the platform's list says of a worker.
type Worker struct {
	ID       string
	Address  string
	Zone     string
	Rack     string
	Service  string
	Labels   []string
	Capacity spec.Resources
	Draining bool
	// Born is the start of this incarnation in Unix milliseconds.
	Born int64
}

// Core is the state of one shard.
type Core struct {
	cfg    Config
	now    int64
	wallMS int64
	// takenAt is when the shard was taken over.
	takenAt int64
	queues  map[string]Queue
	jobs    map[string]*job
	finals  []*job
	// drops are forgotten jobs whose records are still kept.
	drops []string
	// scheduled are the open jobs that run at given times.
	scheduled map[string]*job
	workers   map[string]*worker
	// ranked lists workers by their ids; nil after one was added or dropped.
	ranked []*worker
	// kinds are the sorts of workers that were seen, for the question whether
	// a task can ever be held.
	kinds   map[string]Worker
	pools   map[string]*pool
	arrived map[string]int64
	// startsUntil is when the right to start tasks lapses, leasesUntil the
	// right to extend leases.
	startsUntil, leasesUntil int64
	// earlierUntil is until when leases of earlier owners may last, on every
	// incarnation of a worker that was born before.
	earlierUntil int64
	storeDown    bool
	deposed      bool
	dirty        []*job
	committed    []func()
	out          Orders
	// wanted are the workers for which the step wantedKey lacks permits,
	// advising says that a question is under way, adviceAt when the next may go.
	wanted    []*worker
	wantedKey Key
	advising  bool
	adviceAt  int64
	// coming is the room on its way to each service, in milli-CPU.
	coming map[string]int64
}

// New returns the core of a shard that has just been taken over.
func New(cfg Config, now, wallMS int64) *Core {
	if cfg.MaxLeaseMS <= 0 || cfg.MaxLeaseMS > maxLeaseMS {
		cfg.MaxLeaseMS = maxLeaseMS
	}
	return &Core{
		cfg: cfg, now: now, takenAt: now, wallMS: wallMS, earlierUntil: now + cfg.EarlierLeaseMS,
		queues: map[string]Queue{}, jobs: map[string]*job{}, scheduled: map[string]*job{}, workers: map[string]*worker{},
		kinds: map[string]Worker{}, pools: map[string]*pool{}, arrived: map[string]int64{},
	}
}

// Restore hands in one record that the store keeps for the shard.
func (c *Core) Restore(r Record) error {
	if len(r.Key) < 2 || r.Key[:2] != "j/" || len(r.Value) == 0 {
		return nil
	}
	return c.restore(r.Value)
}

// SetQueues replaces the queues of the shard's services.
func (c *Core) SetQueues(queues []Queue) {
	c.queues = make(map[string]Queue, len(queues))
	for _, q := range queues {
		c.queues[q.Name] = q
		c.pool(q.Service)
	}
}

// SetRight tells until when the owner may start tasks and extend leases.
func (c *Core) SetRight(startsUntil, leasesUntil int64) {
	c.startsUntil, c.leasesUntil = startsUntil, leasesUntil
}

// SetStoreDown says whether the store takes appends at the moment.
func (c *Core) SetStoreDown(down bool) { c.storeDown = down }

// Deposed says whether a worker has seen a newer owner.
func (c *Core) Deposed() bool { return c.deposed }

// Advance does what is due at the given time: occurrences, stops, placements
// and polls.
func (c *Core) Advance(now, wallMS int64) {
	c.now, c.wallMS = now, wallMS
	c.openOccurrences()
	c.settleWorkers()
	c.evacuate()
	c.pace()
	c.schedule()
	c.askAdvice()
	c.poll()
	c.forget()
}

// pool is the shard's view of one service.
type pool struct {
	service string
	// queue holds jobs with ready tasks, lasting those of them that last.
	queue   []*job
	lasting []*job
	// left is the estimated work of all accepted tasks that are not done.
	left int64
	// blockedSince is since when a lasting task has found no room.
	blockedSince int64
	// arrivedWork is the estimated work that was asked for since the takeover.
	arrivedWork int64
}

func (c *Core) pool(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{service: service}
		c.pools[service] = p
	}
	return p
}

func (c *Core) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

func (c *Core) afterCommit(f func()) { c.committed = append(c.committed, f) }

// Batch is one append and what follows from it.
type Batch struct {
	Records []Record
	follow  []func()
}

// NextBatch returns the records that wait to be stored. The caller appends
// them before it asks again.
func (c *Core) NextBatch() (Batch, bool) {
	if len(c.dirty) == 0 && len(c.committed) == 0 && len(c.drops) < maxDrops {
		return Batch{}, false
	}
	var b Batch
	jobs := c.dirty
	if len(jobs) > maxBatchRecords {
		// What waits for these records waits for the rest of them too.
		jobs = jobs[:maxBatchRecords]
	} else {
		b.follow = c.committed
		c.committed = nil
	}
	for _, j := range jobs {
		j.dirty = false
		rec, err := c.record(j)
		if err != nil {
			c.event(Event{Name: EventRecordFailed, Job: j.spec.ID, Detail: err.Error()})
			continue
		}
		b.Records = append(b.Records, rec)
		state := j.state
		b.follow = append(b.follow, func() { c.show(j, state) })
	}
	c.dirty = append([]*job(nil), c.dirty[len(jobs):]...)
	for _, id := range c.drops {
		b.Records = append(b.Records, Record{Key: jobKey(id)})
	}
	c.drops = nil
	return b, true
}

// Abandon answers the callers who wait for the store, because this owner will
// not learn whether the store has what they asked for.
func (c *Core) Abandon() []Reply {
	var replies []Reply
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		for _, t := range append(j.waiters, j.cancelers...) {
			replies = append(replies, Reply{Ticket: t, Outcome: Unavailable, Reason: "owner_changed"})
		}
		j.waiters, j.cancelers = nil, nil
	}
	return replies
}

// Committed carries out what waited for the batch's records.
func (c *Core) Committed(now int64, b Batch) {
	c.now = now
	for _, f := range b.follow {
		f()
	}
}

func (c *Core) show(j *job, state spec.State) {
	j.shown = state
	j.stored = true
	for _, t := range j.waiters {
		c.reply(Reply{Ticket: t, Outcome: Accepted})
	}
	j.waiters = nil
	if state.Final() {
		for _, t := range j.cancelers {
			c.reply(Reply{Ticket: t, Outcome: Accepted})
		}
		j.cancelers = nil
	}
}

// forget drops final jobs whose status time is over, and old arrivals.
func (c *Core) forget() {
	keep := c.cfg.StatusKeepMS + finalKeepMS
	for len(c.finals) > 0 && c.now-c.finals[0].finalAt > keep {
		delete(c.jobs, c.finals[0].spec.ID)
		c.drops = append(c.drops, c.finals[0].spec.ID)
		c.finals = c.finals[1:]
	}
	if len(c.arrived) > 4096 {
		for id, at := range c.arrived {
			if c.now-at > firstSeenKeepMS {
				delete(c.arrived, id)
			}
		}
	}
}

// sortedKeys gives maps a fixed order, so that the same events always lead to
// the same decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedWorkers lists the workers by their ids. The list is not to be changed.
func (c *Core) sortedWorkers() []*worker {
	if c.ranked == nil {
		c.ranked = make([]*worker, 0, len(c.workers))
		for _, id := range sortedKeys(c.workers) {
			c.ranked = append(c.ranked, c.workers[id])
		}
	}
	return c.ranked
}
