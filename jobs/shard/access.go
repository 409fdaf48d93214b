package shard

import (
	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/spec"
)

// operator is the caller that may access all jobs.
var operator = customer.Caller{Operator: true}

// submitterOf returns the caller that submits a job.
func submitterOf(s spec.Job) customer.Caller {
	return customer.Caller{Customer: s.Customer, Queue: s.Queue}
}

// MayAccess reports whether a caller may access the job with an ID. There is nothing to
// hide of a job that this owner does not have.
func (c *Core) MayAccess(caller customer.Caller, id string) bool {
	if s, ok := c.settled.jobs[id]; ok {
		return s.mayAccess(caller)
	}
	j := c.jobs[id]
	return j == nil || caller.MayAccess(j.spec.Customer, j.spec.Queue)
}

// replyHidden answers a caller that may not access a job like one that asks for a job
// that does not exist, and as late. It reports whether it did.
func (c *Core) replyHidden(caller customer.Caller, ticket uint64, id string) bool {
	if c.MayAccess(caller, id) {
		return false
	}
	c.askStore(ticket, func() { c.reply(Reply{Ticket: ticket, Outcome: Unknown}) })
	return true
}

// LookupAs is Lookup on behalf of a caller, to whom another customer's job does not exist.
func (c *Core) LookupAs(caller customer.Caller, now int64, ticket uint64, id string) {
	c.now = now
	if c.replyUnreadable(ticket, id) {
		return
	}
	c.askStore(ticket, func() {
		if s := c.JobStatus(id); s.Known && c.MayAccess(caller, id) {
			c.reply(Reply{Ticket: ticket, Outcome: Accepted, State: s.State})
			return
		}
		c.reply(Reply{Ticket: ticket, Outcome: Unknown})
	})
}

// YieldAs is Yield on behalf of a submission. The reply is Taken if this shard has
// another customer's job with the ID.
func (c *Core) YieldAs(submitter customer.Caller, now int64, ticket uint64, id string) {
	if !c.MayAccess(submitter, id) {
		c.now = now
		c.reply(Reply{Ticket: ticket, Outcome: Taken, Reason: "id_taken"})
		return
	}
	c.Yield(now, ticket, id)
}
