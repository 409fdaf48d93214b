package shard

// Queue is one queue of the configuration in force.
type Queue struct {
	Name    string
	Service string
	// Priority 0 is the highest.
	Priority    int
	MaxAttempts int
	// A job's deadline for its full value is Stretch times its critical path
	// plus TargetMS after its first submission.
	Stretch  float64
	TargetMS int64
	// AdviceTiming is set if an external service must permit each placement.
	AdviceTiming *AdviceTiming
}

// SetQueues replaces the queues of the shard's services.
func (c *Core) SetQueues(queues []Queue) {
	c.queues = make(map[string]Queue, len(queues))
	for _, q := range queues {
		c.queues[q.Name] = q
		c.ensurePool(q.Service)
	}
}

// SetOtherQueues replaces the queues that the configuration sends to other shards.
func (c *Core) SetOtherQueues(queues []Queue) {
	c.otherQueues = make(map[string]Queue, len(queues))
	for _, q := range queues {
		c.otherQueues[q.Name] = q
	}
}

// HasQueue reports whether the shard accepts jobs of a queue.
func (c *Core) HasQueue(name string) bool {
	_, ok := c.queues[name]
	return ok
}
