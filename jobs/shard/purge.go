package shard

// purgeExpired drops final jobs whose status retention is over, and old first
// submission times.
func (c *Core) purgeExpired() {
	c.settleFinalJobs()
	c.purgeSettled()
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
