// Package shard schedules the jobs of one shard: it decides which jobs are
// accepted, where their tasks run and when they are done. It does no I/O,
// reads no clock and starts no goroutine. Its owner passes in events with
// their time and executes the orders that the core returns.
//
//	core := shard.New(shard.Config{Epoch: 7}, now, wallMS)
//	core.Submit(now, ticket, job)
//	core.Advance(now, wallMS)
//	orders := core.TakeOrders()   // polls, starts, stops, replies
//	batch, ok := core.NextBatch() // records to append
//	core.HandleCommit(now, batch) // after the store has appended them
package shard

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"wigeonwinch/jobs/expect"
	"wigeonwinch/jobs/spec"
)

// The bounds of the core.
const (
	// maxRestoredAgeMS bounds the age of a restored job as computed from the
	// wall clock, because that clock may jump.
	maxRestoredAgeMS = 60_000
	// finalKeepMarginMS is how long final jobs are kept after StatusKeepMS, to
	// cover clocks that drift apart.
	finalKeepMarginMS = 10_000
	// firstSeenKeepMS is how long the first submission time of a refused job
	// is kept; clients have given up long before.
	firstSeenKeepMS = 30_000
	// declineKeepMS is how long a job is declined that was left to another shard or
	// cancelled before it came: no node with an older configuration, and no suspended
	// one, holds a submission for that long.
	declineKeepMS = 30_000
	// startConfirmMS is how long an unconfirmed start may be missing from the
	// worker's list before it is stopped: a few round trips between zones.
	startConfirmMS = 400
	// stopRetryMS is the interval between two stop orders for one run.
	stopRetryMS = 500
	// workerBackoffMS is how long a worker gets no starts after it refused a
	// start or did not answer one.
	workerBackoffMS = 700
	// maxClockDrift is the fraction by which a worker's clock may be slow.
	maxClockDrift = 0.02
	// leaseMarginMS covers network delay and rounding of leases.
	leaseMarginMS = 100
	// maxLeaseMS is the longest lease that is requested. It is long enough to
	// bridge a short partition and short enough that the lasting tasks of a
	// dead worker are running again within the six seconds that the platform
	// allows.
	maxLeaseMS = 6_000
	// pollWaitMS is how long a worker may delay its answer to a poll.
	pollWaitMS = 1_500
	// pollRetryMS is the delay before the next poll after a failed one.
	pollRetryMS = 300
	// maxListAgeMS is how old the list of workers may be when a task is started.
	// The platform lets the capacity of a worker that has shrunk count three
	// seconds after the list shows it.
	maxListAgeMS = 2_800
	// maxBatchRecords bounds the records of one append, maxBatchBytes their keys and
	// values: half of what the store admits in one call.
	maxBatchRecords = 400
	maxBatchBytes   = 1 << 20
	// maxPendingDeletes purged jobs cause a batch of their own if no other
	// record is waiting.
	maxPendingDeletes = 50
)

// Config holds the settings of a core; they do not change during its life.
type Config struct {
	// Shard is the number of the shard.
	Shard int
	// Epoch is the fencing token against older owners, at the store and at the
	// workers.
	Epoch int64
	// MaxLeaseMS is the longest lease that workers grant.
	MaxLeaseMS int64
	// EarlierLeaseMS is how long after the takeover the leases of earlier
	// owners may still be valid on workers that do not answer.
	EarlierLeaseMS int64
	// StatusKeepMS is how long the status of final jobs can be queried.
	StatusKeepMS int64
	// Policy is varied by package lab; the zero value is the production
	// policy.
	Policy Policy
}

// Policy sets the order in which jobs are placed, and whether jobs may be
// refused.
type Policy struct {
	Order Order
	// AdmitAll accepts every job that some worker could ever hold.
	AdmitAll bool
	// RunTimes is where the run times come from. TrueTimes, if set, replaces
	// them by the true ones of a step's mean and longest task.
	RunTimes  RunTimes
	TrueTimes func(j *spec.Job, step int) (taskMS, longestMS int64)
	// TrustPolls waits for the time-out of every call that gets no answer.
	TrustPolls bool
}

// Order ranks jobs of the same priority.
type Order int

// The orders.
const (
	// OrderLeastRemainingWork puts the jobs that can still meet their deadline
	// first, least remaining work first, then the others by arrival.
	OrderLeastRemainingWork Order = iota
	// OrderArrival is first come, first served.
	OrderArrival
	// OrderShortestPath puts the jobs with the shortest critical path first.
	OrderShortestPath
)

// Worker is the platform's entry for a worker.
type Worker struct {
	ID      string
	Address string
	Zone    string
	// VM is the VM on which the worker runs; "" if it is not known.
	VM       string
	Rack     string
	Service  string
	Labels   []string
	Capacity spec.Resources
	Draining bool
	// Incarnation is the start of this incarnation in Unix milliseconds.
	Incarnation int64
}

// Core is the state of one shard.
type Core struct {
	cfg Config
	// longestLeaseMS is the longest lease that a worker grants, whatever is
	// requested.
	longestLeaseMS int64
	now            int64
	wallMS         int64
	// takeoverAt is when the shard was taken over.
	takeoverAt int64
	queues     map[string]Queue
	// otherQueues are the queues of the configuration that go to other shards. Jobs that
	// were accepted before their queue moved are still here.
	otherQueues map[string]Queue
	customers   customers
	// jobs are the jobs that are not settled, finalJobs those of them that are final.
	jobs      map[string]*job
	finalJobs []*job
	settled   settledJobs
	// pace is how many jobs may be accepted while there are many settled ones, as of pacedAt.
	pace    float64
	pacedAt int64
	// stateBytes is what the jobs take up in memory, stateRoom the most that they may; see
	// SetStateRoom.
	stateBytes, stateRoom int64
	// unreadable holds the IDs of jobs whose records this program can't read.
	unreadable map[string]bool
	// pendingDeletes are the IDs of purged jobs whose records are still
	// stored.
	pendingDeletes []string
	// scheduled holds the jobs with due times that are not final.
	scheduled map[string]*job
	workers   map[string]*worker
	// workersByID lists the workers by ID; nil after a worker was added or
	// removed.
	workersByID []*worker
	openLosses  openLosses
	// formerTokens are the tokens of workers that are not known any more, by ID.
	formerTokens map[string]formerToken
	// workersListed reports whether the list of workers was set since the
	// takeover. listConfirmedAt is when the read was sent that last confirmed it;
	// 0 if the owner does not say.
	workersListed   bool
	listConfirmedAt int64
	// workerKinds holds every kind of worker seen so far, to decide whether a
	// task could ever be placed.
	workerKinds map[string]Worker
	pools       map[string]*pool
	firstSeenAt *recentTimes
	// declinedAt is when jobs were left to another shard, or were cancelled before they
	// came.
	declinedAt *recentTimes
	// startsUntil is when the right to start tasks expires, leasesUntil the
	// right to extend leases.
	startsUntil, leasesUntil int64
	// earlierLeasesUntil is the time until which leases of earlier owners may
	// be valid, on every worker incarnation that started before the takeover.
	earlierLeasesUntil int64
	storeDown          bool
	deposed            bool
	// lostCallAt is when a worker last left a call unanswered; 0 if none did.
	lostCallAt int64
	dirty      []*job
	onCommit   []func()
	// questions wait for an append to be sent, askedStore for the answer of the one
	// in flight.
	questions, askedStore []question
	orders                Orders
	// adviceWorkers are the workers for which the step adviceStep lacks
	// permits, adviceInFlight reports whether a request is in flight,
	// nextAdviceAt is the earliest time of the next one.
	adviceWorkers  []*worker
	adviceStep     Key
	adviceInFlight bool
	nextAdviceAt   int64
	// incomingMilliCPU is the capacity on its way to each service.
	incomingMilliCPU map[string]int64
	// learner learns the run times of finished steps.
	learner *expect.Learner
}

// New returns the core of a shard that has just been taken over.
func New(cfg Config, now, wallMS int64) *Core {
	longestLeaseMS := max(cfg.MaxLeaseMS, maxLeaseMS)
	if cfg.MaxLeaseMS <= 0 || cfg.MaxLeaseMS > maxLeaseMS {
		cfg.MaxLeaseMS = maxLeaseMS
	}
	return &Core{
		customers: newCustomers(cfg),
		cfg:       cfg, longestLeaseMS: longestLeaseMS, now: now, takeoverAt: now, wallMS: wallMS, earlierLeasesUntil: now + cfg.EarlierLeaseMS,
		queues: map[string]Queue{}, jobs: map[string]*job{}, settled: newSettledJobs(), unreadable: map[string]bool{}, scheduled: map[string]*job{}, workers: map[string]*worker{}, openLosses: openLosses{},
		learner: expect.New(), formerTokens: map[string]formerToken{}, workerKinds: map[string]Worker{}, pools: map[string]*pool{}, firstSeenAt: newRecentTimes(firstSeenKeepMS), declinedAt: newRecentTimes(declineKeepMS),
	}
}

// Restore loads one stored record of the shard. After an error the requests about the
// record's job are answered Unavailable.
func (c *Core) Restore(r Record) error {
	if !strings.HasPrefix(r.Key, jobKeyPrefix) || len(r.Value) == 0 {
		return nil
	}
	err := c.restoreJob(r.Value)
	if err != nil {
		c.unreadable[strings.TrimPrefix(r.Key, jobKeyPrefix)] = true
	}
	return err
}

// SetOwnershipDeadlines sets until when the owner may start tasks and extend
// leases.
func (c *Core) SetOwnershipDeadlines(startsUntil, leasesUntil int64) {
	c.startsUntil, c.leasesUntil = startsUntil, leasesUntil
}

// IsCurrent reports whether what this owner knows of its shard is recent: its right to
// extend leases has not expired, so that a successor has been at work for a few
// seconds at most.
func (c *Core) IsCurrent(now int64) bool { return now < c.leasesUntil }

// SetStoreDown sets whether the store currently rejects appends.
func (c *Core) SetStoreDown(down bool) { c.storeDown = down }

// Deposed reports whether a worker has seen a newer owner.
func (c *Core) Deposed() bool { return c.deposed }

// Advance does everything that is due at the given time: it opens occurrences
// and orders stops, placements and polls.
func (c *Core) Advance(now, wallMS int64) {
	c.now, c.wallMS = now, wallMS
	c.openDueOccurrences()
	c.settleWorkers()
	c.evacuate()
	c.paceFillers()
	c.schedule()
	c.requestAdvice()
	c.pollWorkers()
	c.purgeExpired()
	c.abandonQuestions()
}

func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

func (c *Core) afterCommit(f func()) { c.onCommit = append(c.onCommit, f) }

// Batch is one append and the callbacks that run after it is committed.
type Batch struct {
	Records []Record
	// NeedsAppend reports that the callbacks need proof that no newer owner exists. An
	// append is necessary although there may be no records.
	NeedsAppend bool
	onCommit    []func()
}

// NextBatch returns the records that wait to be stored. The caller must append
// them before it calls NextBatch again.
func (c *Core) NextBatch() (Batch, bool) {
	if len(c.dirty) == 0 && len(c.onCommit) == 0 && len(c.questions) == 0 && len(c.pendingDeletes) < maxPendingDeletes {
		return Batch{}, false
	}
	var b Batch
	c.appendDirty(&b)
	if len(c.dirty) == 0 {
		// Callbacks run only after all records that they wait for are stored.
		b.onCommit = append(c.onCommit, b.onCommit...)
		c.onCommit = nil
	}
	c.appendDeletes(&b)
	c.takeQuestions(&b)
	return b, true
}

// appendDirty adds the records of dirty jobs to a batch, as many as its bounds allow and
// one at least.
func (c *Core) appendDirty(b *Batch) {
	taken, bytes := 0, 0
	for _, j := range c.dirty {
		if len(b.Records) >= maxBatchRecords {
			break
		}
		rec, err := c.encodeJob(j)
		if err != nil {
			c.event(Event{Name: EventRecordFailed, Job: j.spec.ID, Detail: err.Error()})
			j.dirty = false
			taken++
			continue
		}
		if bytes += rec.bytes(); bytes > maxBatchBytes && len(b.Records) > 0 {
			break
		}
		j.dirty = false
		taken++
		b.Records = append(b.Records, rec)
		state := j.state
		b.onCommit = append(b.onCommit, func() { c.markStored(j, state) })
	}
	c.dirty = append([]*job(nil), c.dirty[taken:]...)
}

// appendDeletes adds the deletes of purged jobs to a batch, as many as its bound
// allows. An ID that was submitted again is a new job whose record must stay.
func (c *Core) appendDeletes(b *Batch) {
	n := 0
	for _, id := range c.pendingDeletes {
		if len(b.Records) >= maxBatchRecords {
			break
		}
		n++
		if !c.knows(id) {
			b.Records = append(b.Records, Record{Key: jobKey(id)})
		}
	}
	c.pendingDeletes = slices.Clone(c.pendingDeletes[n:])
}

// AbandonWaiters returns replies to the callers whose request waits for the
// store, because this owner will not learn whether the store has their records.
func (c *Core) AbandonWaiters() []Reply {
	replies := c.returnQuestions()
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		for _, t := range append(j.submitWaiters, j.cancelWaiters...) {
			replies = append(replies, Reply{Ticket: t, Outcome: Unavailable, Reason: "owner_changed"})
		}
		j.submitWaiters, j.cancelWaiters = nil, nil
	}
	return replies
}

// HandleCommit runs the callbacks that waited for the batch.
func (c *Core) HandleCommit(now int64, b Batch) {
	c.now = now
	for _, f := range b.onCommit {
		f()
	}
}

func (c *Core) markStored(j *job, state spec.State) {
	j.storedState = state
	j.stored = true
	for _, t := range j.submitWaiters {
		c.reply(Reply{Ticket: t, Outcome: Accepted})
	}
	j.submitWaiters = nil
	if state.Final() {
		for _, t := range j.cancelWaiters {
			c.reply(Reply{Ticket: t, Outcome: Accepted})
		}
		j.cancelWaiters = nil
	}
}

// sortedKeys returns the keys in a fixed order, so that the same events always
// lead to the same decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
