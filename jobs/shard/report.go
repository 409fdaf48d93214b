package shard

// WorkerStat is the status of one of the shard's workers.
type WorkerStat struct {
	ID string `cbor:"1,keyasint"`
	// Drained reports whether the worker is cordoned and certainly runs
	// nothing.
	Drained      bool `cbor:"2,keyasint,omitempty"`
	UsedMilliCPU int  `cbor:"3,keyasint,omitempty"`
	// Lasting is the number of lasting tasks on the worker.
	Lasting int `cbor:"4,keyasint,omitempty"`
	// Schedulable reports whether work can be placed on the worker.
	Schedulable bool `cbor:"5,keyasint,omitempty"`
}

// WorkerStats returns the status of all workers of the shard, by ID.
func (c *Core) WorkerStats() []WorkerStat {
	var list []WorkerStat
	for _, w := range c.sortedWorkers() {
		list = append(list, WorkerStat{ID: w.info.ID, Drained: c.Drained(w.info.ID), UsedMilliCPU: w.used.MilliCPU,
			Lasting: w.lastingRuns, Schedulable: w.usable() && w.failedPolls == 0})
	}
	return list
}

// PoolStats is the load of a pool.
type PoolStats struct {
	Service string `cbor:"1,keyasint"`
	// WaitingWork is the accepted work that is not placed yet, in milli-CPU
	// milliseconds.
	WaitingWork int64 `cbor:"2,keyasint,omitempty"`
	// CapacityMilliCPU is the capacity of the usable workers, UsedMilliCPU the
	// used part of it, LastingMilliCPU the part used by lasting tasks.
	CapacityMilliCPU int64 `cbor:"3,keyasint,omitempty"`
	UsedMilliCPU     int64 `cbor:"4,keyasint,omitempty"`
	LastingMilliCPU  int64 `cbor:"5,keyasint,omitempty"`
	// SubmittedWork is the work submitted since the takeover of the shard,
	// whether accepted or not.
	SubmittedWork int64 `cbor:"6,keyasint,omitempty"`
	Workers       int   `cbor:"7,keyasint,omitempty"`
	// MinWorkers is how many workers the lasting tasks need because of
	// MaxPerWorker, UnplacedLasting how many lasting tasks have no worker.
	MinWorkers      int `cbor:"8,keyasint,omitempty"`
	UnplacedLasting int `cbor:"9,keyasint,omitempty"`
}

// PoolStats returns the loads of the pools, by service.
func (c *Core) PoolStats() []PoolStats {
	var list []PoolStats
	for _, name := range sortedKeys(c.pools) {
		p := c.pools[name]
		l := c.poolLoad(p)
		s := PoolStats{Service: name, WaitingWork: l.WaitingWork, CapacityMilliCPU: l.CapacityMilliCPU,
			UsedMilliCPU: l.CapacityMilliCPU - l.FreeMilliCPU, SubmittedWork: p.submittedWork}
		c.addLastingNeeds(name, &s)
		for _, w := range c.workers {
			if w.info.Service != name || !w.usable() {
				continue
			}
			s.Workers++
			s.LastingMilliCPU += int64(w.lastingMilliCPU)
		}
		list = append(list, s)
	}
	return list
}

// addLastingNeeds adds the needs of the pool's lasting jobs.
func (c *Core) addLastingNeeds(service string, s *PoolStats) {
	for _, j := range c.jobs {
		if j.service != service || j.state.Final() || !j.spec.HasLastingStep() {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				st := &j.spec.Steps[i]
				if st.MaxPerWorker > 0 {
					s.MinWorkers = max(s.MinWorkers, (st.Count+st.MaxPerWorker-1)/st.MaxPerWorker)
				}
				for t := range o.steps[i].tasks {
					if o.steps[i].tasks[t].current == nil && o.stepReady(&j.spec, i) {
						s.UnplacedLasting++
					}
				}
			}
		}
	}
}
