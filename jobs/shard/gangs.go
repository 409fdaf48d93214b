package shard

// gangRacks lists the racks to try, in order; the empty name means any rack.
func (c *Core) gangRacks(j *job, s int, workers []*worker) []string {
	if !j.spec.Steps[s].OneRack {
		return []string{""}
	}
	racks := map[string]bool{}
	for _, w := range workers {
		racks[w.info.Rack] = true
	}
	return append(sortedKeys(racks), "")
}

func (c *Core) tryGang(j *job, o *occurrence, s, number int, rack string, workers []*worker) bool {
	var members []*run
	for t := range o.steps[s].tasks {
		w := c.chooseWorker(j, o, s, &o.steps[s].tasks[t], workers, rack)
		if w == nil {
			for _, r := range members {
				r.worker.removeRun(r)
				r.task().current = nil
			}
			return false
		}
		members = append(members, c.reserve(j, o, s, t, number, w))
	}
	for _, r := range members {
		c.recordPlacement(r)
	}
	return true
}
