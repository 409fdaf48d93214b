package shard

// WorkerStat is what a shard knows of one of its workers.
type WorkerStat struct {
	ID string `cbor:"1,keyasint"`
	// Empty says that it is cordoned and certainly runs nothing.
	Empty        bool `cbor:"2,keyasint,omitempty"`
	UsedMilliCPU int  `cbor:"3,keyasint,omitempty"`
	// Lasting counts the lasting tasks on it.
	Lasting int `cbor:"4,keyasint,omitempty"`
	// Open says that work can be placed on it.
	Open bool `cbor:"5,keyasint,omitempty"`
}

// WorkerStats returns all workers of the shard, by id.
func (c *Core) WorkerStats() []WorkerStat {
	var list []WorkerStat
	for _, w := range c.sortedWorkers() {
		list = append(list, WorkerStat{ID: w.info.ID, Empty: c.Empty(w.info.ID), UsedMilliCPU: w.used.MilliCPU,
			Lasting: w.lasting, Open: w.usable() && w.failedPolls == 0})
	}
	return list
}

// PoolStats is a pool's load.
type PoolStats struct {
	Service string `cbor:"1,keyasint"`
	// WaitingWork is accepted and not placed, in milli-CPU milliseconds.
	WaitingWork int64 `cbor:"2,keyasint,omitempty"`
	// CapacityMilliCPU is the room of its usable workers, UsedMilliCPU what is
	// taken of it, LastingMilliCPU what lasting tasks take.
	CapacityMilliCPU int64 `cbor:"3,keyasint,omitempty"`
	UsedMilliCPU     int64 `cbor:"4,keyasint,omitempty"`
	LastingMilliCPU  int64 `cbor:"5,keyasint,omitempty"`
	// ArrivedWork is the work that was asked for since the start of the shard,
	// taken or not.
	ArrivedWork int64 `cbor:"6,keyasint,omitempty"`
	Workers     int   `cbor:"7,keyasint,omitempty"`
	// LeastWorkers is how many workers the lasting tasks need because of
	// their bounds a worker, LastingWaiting how many of them have none.
	LeastWorkers   int `cbor:"8,keyasint,omitempty"`
	LastingWaiting int `cbor:"9,keyasint,omitempty"`
}

// PoolStats returns the pools' loads, by service.
func (c *Core) PoolStats() []PoolStats {
	var list []PoolStats
	for _, name := range sortedKeys(c.pools) {
		p := c.pools[name]
		l := c.load(p)
		s := PoolStats{Service: name, WaitingWork: l.WaitingWork, CapacityMilliCPU: l.CapacityMilliCPU,
			UsedMilliCPU: l.CapacityMilliCPU - l.FreeMilliCPU, ArrivedWork: p.arrivedWork}
		c.lastingNeeds(name, &s)
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

// lastingNeeds adds what the lasting jobs of a pool need.
func (c *Core) lastingNeeds(service string, s *PoolStats) {
	for _, j := range c.jobs {
		if j.service != service || j.state.Final() || !j.spec.Lasts() {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				st := &j.spec.Steps[i]
				if st.MaxPerWorker > 0 {
					s.LeastWorkers = max(s.LeastWorkers, (st.Count+st.MaxPerWorker-1)/st.MaxPerWorker)
				}
				for t := range o.steps[i].tasks {
					if o.steps[i].tasks[t].current == nil && o.ready(&j.spec, i) {
						s.LastingWaiting++
					}
				}
			}
		}
	}
}
