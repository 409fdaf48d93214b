package shard

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"wigeonwinch/dispatch/quota"
	"wigeonwinch/jobs/admit"
)

// fillablePercent is the part of a pool's CPU that tasks of mixed sizes fill.
const fillablePercent = 85

// demand is what one customer uses and asks of a pool, in milli-CPU.
type demand struct {
	customer   string
	weight     float64
	used, asks int64
}

// waitingJob is a job of a pool's queue and the CPU of its tasks that could start now.
type waitingJob struct {
	*job
	milliCPU int64
}

// waitingJobs lists the jobs of a pool's queue.
func (p *pool) waitingJobs() []waitingJob {
	list := make([]waitingJob, len(p.queue))
	for i, j := range p.queue {
		list[i] = waitingJob{job: j}
		if !j.state.Final() {
			list[i].milliCPU = j.readyMilliCPU()
		}
	}
	return list
}

// demands lists what the customers use and ask of a pool, by name.
func (c *Core) demands(p *pool, waiting []waitingJob) []demand {
	by := map[string]*demand{}
	get := func(name string) *demand {
		d := by[name]
		if d == nil {
			d = &demand{customer: name, weight: c.customers.weight(name)}
			by[name] = d
		}
		return d
	}
	for name, used := range c.customers.used[p.service] {
		if used > 0 {
			d := get(name)
			d.used, d.asks = int64(used), int64(used)
		}
	}
	for _, j := range waiting {
		if !j.state.Final() {
			get(j.spec.Customer).asks += j.milliCPU
		}
	}
	list := make([]demand, 0, len(by))
	for _, name := range sortedKeys(by) {
		d := by[name]
		if limit := int64(c.customers.configured[name].Cap.MilliCPU); limit > 0 {
			d.asks = min(d.asks, max(limit, d.used))
		}
		list = append(list, *d)
	}
	return list
}

// demandsKeepMS is how old the demands may be by which a submission is measured.
const demandsKeepMS = 20

// recentDemands returns the demands of a pool as of the last pass. Many submissions may
// come between two passes. Callers must not modify the list.
func (c *Core) recentDemands(p *pool) []demand {
	if p.demands == nil || c.now-p.demandsAt > demandsKeepMS {
		p.demands, p.demandsAt = c.demands(p, p.waitingJobs()), c.now
	}
	return p.demands
}

// readyMilliCPU returns the CPU of the tasks that could start now.
func (j *job) readyMilliCPU() int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		for s := range o.steps {
			if o.steps[s].openTasks > 0 && o.stepReady(&j.spec, s) {
				sum += o.steps[s].pendingTasks() * int64(j.spec.Steps[s].Reservation().MilliCPU)
			}
		}
	}
	return sum
}

// shareLevel returns the CPU by unit of weight that each customer gets when a pool is
// shared by weight and no customer gets more than it asks for; infinite if all get what
// they ask for.
func shareLevel(list []demand, milliCPU int64) float64 {
	byNeed := slices.SortedFunc(slices.Values(list), func(a, b demand) int {
		return cmp.Compare(float64(a.asks)/a.weight, float64(b.asks)/b.weight)
	})
	left, weight := float64(milliCPU), 0.0
	for _, d := range byNeed {
		weight += d.weight
	}
	for _, d := range byNeed {
		if level := left / weight; float64(d.asks) > level*d.weight {
			return level
		}
		left -= float64(d.asks)
		weight -= d.weight
	}
	return math.Inf(1)
}

// usableMilliCPU returns the capacity of a pool's usable workers.
func (c *Core) usableMilliCPU(p *pool) int64 {
	sum := int64(0)
	for _, w := range c.workers {
		if w.info.Service == p.service && w.usable() {
			sum += int64(w.info.Capacity.MilliCPU)
		}
	}
	return sum
}

// jobClass orders the jobs of a full pool: a customer's jobs within its share go before
// those beyond it, then those that are not late, then by priority.
type jobClass struct {
	beyond, late bool
	priority     int
}

func (a jobClass) compare(b jobClass) int {
	before := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case y:
			return -1
		}
		return 1
	}
	return cmp.Or(before(a.beyond, b.beyond), before(a.late, b.late), cmp.Compare(a.priority, b.priority))
}

// orderByShare reorders the sorted jobs of a full pool, so that the customers get room by
// weight. An urgent queue goes first within its customer's share only.
func (c *Core) orderByShare(p *pool) {
	if len(c.customers.configured) == 0 || len(p.queue) < 2 {
		return
	}
	waiting := p.waitingJobs()
	list := c.demands(p, waiting)
	p.demands, p.demandsAt = list, c.now
	level := shareLevel(list, c.usableMilliCPU(p)*fillablePercent/100)
	if math.IsInf(level, 1) {
		return
	}
	taken, weights := map[string]float64{}, map[string]float64{}
	for _, d := range list {
		taken[d.customer], weights[d.customer] = float64(d.used), d.weight
	}
	reached := map[string]float64{}
	classes := map[jobClass][]waitingJob{}
	for _, j := range waiting {
		name := j.spec.Customer
		k := jobClass{taken[name]+reached[name] >= level*weights[name], j.late, j.priority}
		reached[name] += float64(j.milliCPU)
		classes[k] = append(classes[k], j)
	}
	ordered := p.queue[:0]
	for _, k := range slices.SortedFunc(maps.Keys(classes), jobClass.compare) {
		ordered = takeFairly(ordered, classes[k], taken, weights)
	}
	p.queue = ordered
}

// takeFairly appends the jobs in the order in which their customers, by weight, have
// taken least. The jobs of one customer keep their order.
func takeFairly(ordered []*job, jobs []waitingJob, taken, weights map[string]float64) []*job {
	var q quota.FairQueue[waitingJob]
	flows := map[string]*quota.Flow[waitingJob]{}
	for _, j := range jobs {
		name := j.spec.Customer
		f := flows[name]
		if f == nil {
			f = q.NewFlow(weights[name])
			q.AdjustCost(f, taken[name])
			flows[name] = f
		}
		q.Push(f, j, max(float64(j.milliCPU), 1))
	}
	for q.Len() > 0 {
		j, _ := q.Take(func(waitingJob) quota.Choice { return quota.Accept })
		taken[j.spec.Customer] += float64(j.milliCPU)
		ordered = append(ordered, j.job)
	}
	return ordered
}

// customerLoad returns the load that a job of a customer meets in a full pool: the
// customer's own waiting work, and the capacity that the others leave to it. full is
// false if nobody's share binds.
func (c *Core) customerLoad(p *pool, j *job, pool admit.Load) (load admit.Load, full bool) {
	name := j.spec.Customer
	list := slices.Clone(c.recentDemands(p))
	i := slices.IndexFunc(list, func(d demand) bool { return d.customer == name })
	if i < 0 {
		list = append(list, demand{customer: name, weight: c.customers.weight(name)})
		i = len(list) - 1
	}
	list[i].asks += initialMilliCPU(&j.spec)
	full = !math.IsInf(shareLevel(list, pool.CapacityMilliCPU), 1)
	list[i].asks = math.MaxInt32 * (pool.CapacityMilliCPU + 1)
	share := pool.CapacityMilliCPU
	if level := shareLevel(list, pool.CapacityMilliCPU); !math.IsInf(level, 1) {
		share = int64(level * list[i].weight)
	}
	load = admit.Load{WaitingWork: c.customerWork(p.service, name, j.work()), CapacityMilliCPU: max(share, 1), FreeMilliCPU: pool.FreeMilliCPU}
	if pool.CapacityMilliCPU > 0 {
		load.IncomingMilliCPU = pool.IncomingMilliCPU * share / pool.CapacityMilliCPU
	}
	if limit := int64(c.customers.configured[name].Cap.MilliCPU); limit > 0 && limit < load.CapacityMilliCPU+load.IncomingMilliCPU {
		load.CapacityMilliCPU, load.IncomingMilliCPU = min(limit, load.CapacityMilliCPU), 0
		full = true
	}
	return load, full
}

// customerWork returns a customer's work of the pool that is not placed and goes before
// a job with the given work.
func (c *Core) customerWork(service, name string, work int64) int64 {
	sum := int64(0)
	for j := range c.customers.open[poolCustomer{service, name}] {
		if j.remainingWork <= work {
			sum += j.remainingWork
			j.eachRun(func(r *run) { sum -= r.work })
		}
	}
	return max(sum, 0)
}

// admission decides whether a pool takes a job. In a full pool the job's customer is
// measured by its own share.
func (c *Core) admission(p *pool, j *job, r admit.Request) admit.Decision {
	l := c.poolLoadAhead(p, r.Work)
	if len(c.customers.configured) == 0 || j.spec.Customer == "" || r.Lasting || r.Scheduled || l.CapacityMilliCPU <= 0 {
		return admit.Decide(l, r)
	}
	own, full := c.customerLoad(p, j, l)
	if !full {
		return admit.Decide(l, r)
	}
	d := admit.Decide(own, r)
	if !d.Accept {
		d.Reason = "beyond_share"
		c.event(Event{Name: EventCustomerRefused, Job: j.spec.ID, Outcome: d.Reason, Detail: fmt.Sprintf("customer=%s share=%d used=%d cap=%d waiting_work=%d retry_ms=%d",
			j.spec.Customer, own.CapacityMilliCPU, c.customers.used[p.service][j.spec.Customer], c.customers.configured[j.spec.Customer].Cap.MilliCPU, own.WaitingWork, d.RetryAfterMS)})
	}
	return d
}
