package shard

// purgeExpired drops final jobs whose status retention is over, and old first
// submission times.
func (c *Core) purgeExpired() {
	keepMS := c.cfg.StatusKeepMS + finalKeepMarginMS
	for len(c.finalJobs) > 0 && c.now-c.finalJobs[0].finalAt > keepMS && c.finalJobs[0].storedState.Final() {
		c.releaseState(c.finalJobs[0])
		delete(c.jobs, c.finalJobs[0].spec.ID)
		c.pendingDeletes = append(c.pendingDeletes, c.finalJobs[0].spec.ID)
		c.finalJobs = c.finalJobs[1:]
	}
	c.forgetOld(c.firstSeenAt, firstSeenKeepMS)
	c.forgetOld(c.declinedAt, declineKeepMS)
}

// forgetOld drops the entries of a map of times that are older than keepMS, once it
// has grown.
func (c *Core) forgetOld(times map[string]int64, keepMS int64) {
	if len(times) <= maxRememberedTimes {
		return
	}
	for id, at := range times {
		if c.now-at > keepMS {
			delete(times, id)
		}
	}
}
