package shard

// purgeExpired drops final jobs whose status retention is over, and old first
// submission times.
func (c *Core) purgeExpired() {
	c.settleFinalJobs()
	c.purgeSettled()
	c.firstSeenAt.forget(c.now)
	c.declinedAt.forget(c.now)
}
