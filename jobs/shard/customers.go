package shard

import (
	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/room"
	"wigeonwinch/jobs/spec"
)

// customers is what the shard knows of the customers of its jobs: the configuration's,
// the room below their caps, and what their runs use.
type customers struct {
	configured map[string]customer.Customer
	// meanWeight is the mean weight of the configured customers, and the weight of jobs
	// without one.
	meanWeight float64
	room       *room.Holder
	// used is the CPU of the runs by service and customer, in milli-CPU.
	used map[string]map[string]int
	// open are the jobs that are not final by service and customer.
	open map[poolCustomer]map[*job]bool
	// refused counts the refused submissions by customer.
	refused map[string]int64
}

// poolCustomer names a customer in a pool.
type poolCustomer struct{ service, customer string }

// addJob records a job that is not final, removeJob that it is.
func (cs *customers) addJob(j *job) {
	k := poolCustomer{j.service, j.spec.Customer}
	if cs.open[k] == nil {
		cs.open[k] = map[*job]bool{}
	}
	cs.open[k][j] = true
}

func (cs *customers) removeJob(j *job) {
	k := poolCustomer{j.service, j.spec.Customer}
	delete(cs.open[k], j)
	if len(cs.open[k]) == 0 {
		delete(cs.open, k)
	}
}

func newCustomers(cfg Config) customers {
	return customers{configured: map[string]customer.Customer{}, meanWeight: 1, room: room.NewHolder(cfg.Shard, cfg.Epoch),
		used: map[string]map[string]int{}, open: map[poolCustomer]map[*job]bool{}, refused: map[string]int64{}}
}

// SetCustomers replaces the customers by those of a version of the configuration.
func (c *Core) SetCustomers(version int64, list []customer.Customer) {
	cs := &c.customers
	cs.configured = make(map[string]customer.Customer, len(list))
	caps, sum := room.Caps{}, 0.0
	for _, cu := range list {
		cs.configured[cu.Name] = cu
		sum += max(cu.Weight, 0)
		if cu.Cap != (spec.Resources{}) {
			caps[cu.Name] = cu.Cap
		}
	}
	cs.meanWeight = 1
	if sum > 0 {
		cs.meanWeight = sum / float64(len(list))
	}
	for name := range cs.refused {
		if _, ok := cs.configured[name]; !ok {
			delete(cs.refused, name)
		}
	}
	cs.room.SetCaps(version, caps)
}

// CustomerCaps returns the caps of the customers that have one.
func CustomerCaps(list []customer.Customer) room.Caps {
	caps := room.Caps{}
	for _, cu := range list {
		if cu.Cap != (spec.Resources{}) {
			caps[cu.Name] = cu.Cap
		}
	}
	return caps
}

// weight returns the weight of a customer's share of a full pool.
func (cs *customers) weight(name string) float64 {
	if cu, ok := cs.configured[name]; ok && cu.Weight > 0 {
		return cu.Weight
	}
	return cs.meanWeight
}

// countRun counts a run that may be on a worker (n is 1) or is gone (n is -1).
func (cs *customers) countRun(r *run, n int) {
	cs.room.Count(r.job.spec.Customer, r.reserved, n)
	used := cs.used[r.job.service]
	if used == nil {
		used = map[string]int{}
		cs.used[r.job.service] = used
	}
	used[r.job.spec.Customer] += n * r.reserved.MilliCPU
}

// countRefusal counts a refused submission of a customer of the configuration.
func (c *Core) countRefusal(j *job) {
	if _, ok := c.customers.configured[j.spec.Customer]; ok {
		c.customers.refused[j.spec.Customer]++
	}
}

// waitsForRoom reports whether the tasks of a step have to wait until their customer has
// room below its cap, and records what waits.
func (c *Core) waitsForRoom(j *job, o *occurrence, s int) bool {
	st := &j.spec.Steps[s]
	need, n := st.Reservation(), int(o.steps[s].pendingTasks())
	if st.Gang {
		need, n = timesResources(need, st.Count), 1
		if c.aboveCap(j.spec.Customer, need) {
			// The cap was lowered after the job was accepted.
			c.ensurePool(j.service).roomWaiting++
			return true
		}
	}
	if c.customers.room.Allows(j.spec.Customer, need) {
		return false
	}
	c.customers.room.Wait(j.spec.Customer, need, n)
	c.ensurePool(j.service).roomWaiting++
	return true
}

// knownToLackRoom is waitsForRoom for a step whose customer was found to lack room
// earlier in the pass.
func (c *Core) knownToLackRoom(j *job, o *occurrence, s int) bool {
	return c.customers.room.Waits(j.spec.Customer, j.spec.Steps[s].Reservation()) && c.waitsForRoom(j, o, s)
}

func timesResources(r spec.Resources, n int) spec.Resources {
	return spec.Resources{MilliCPU: r.MilliCPU * n, MemoryMB: r.MemoryMB * n, GPUs: r.GPUs * n}
}

// gangAboveCap reports whether the job has a gang that needs more at once than its
// customer may ever run.
func (c *Core) gangAboveCap(j *job) bool {
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		if st.Gang && c.aboveCap(j.spec.Customer, timesResources(st.Reservation(), st.Count)) {
			return true
		}
	}
	return false
}

// aboveCap reports whether a customer may never run the given resources at once.
func (c *Core) aboveCap(name string, need spec.Resources) bool {
	limit := c.customers.configured[name].Cap
	above := func(need, limit int) bool { return limit > 0 && need > limit }
	return above(need.MilliCPU, limit.MilliCPU) || above(need.MemoryMB, limit.MemoryMB) || above(need.GPUs, limit.GPUs)
}

// RoomReport returns what the arbiter of the customers' caps has to be told now. The
// owner ends each report with ApplyRoom or RoomFailed.
func (c *Core) RoomReport(now, arbiter int64) (room.Report, bool) {
	return c.customers.room.Report(now, arbiter)
}

// ApplyRoom applies the arbiter's answer to a report.
func (c *Core) ApplyRoom(sequence int64, a room.Answer) { c.customers.room.Apply(sequence, a) }

// RoomFailed records that a report got no answer.
func (c *Core) RoomFailed(sequence int64) { c.customers.room.Fail(sequence) }
