package shard

// WorkerStat is what a shard knows of one of its workers.
type WorkerStat struct {
	ID string
	// Empty says that it is cordoned and certainly runs nothing.
	Empty         bool
	UsedMilliCPU  int
	Lasting, Runs int
}

// WorkerStats returns all workers of the shard, by id.
func (c *Core) WorkerStats() []WorkerStat {
	var list []WorkerStat
	for _, w := range c.sortedWorkers() {
		s := WorkerStat{ID: w.info.ID, Empty: c.Empty(w.info.ID), UsedMilliCPU: w.used.MilliCPU, Runs: len(w.runs)}
		for _, r := range w.runs {
			if r.step().Lasting {
				s.Lasting++
			}
		}
		list = append(list, s)
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
}

// PoolStats returns the pools' loads, by service.
func (c *Core) PoolStats() []PoolStats {
	var list []PoolStats
	for _, name := range c.sortedPools() {
		p := c.pools[name]
		l := c.load(p)
		s := PoolStats{Service: name, WaitingWork: l.WaitingWork, CapacityMilliCPU: l.CapacityMilliCPU,
			UsedMilliCPU: l.CapacityMilliCPU - l.FreeMilliCPU, ArrivedWork: p.arrivedWork}
		for _, w := range c.workers {
			if w.info.Service != name || !w.usable(c.now) {
				continue
			}
			s.Workers++
			for _, r := range w.runs {
				if r.step().Lasting {
					s.LastingMilliCPU += int64(r.room.MilliCPU)
				}
			}
		}
		list = append(list, s)
	}
	return list
}
