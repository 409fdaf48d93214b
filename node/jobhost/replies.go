package jobhost

import (
	"sync"

	"wigeonwinch/jobs/shard"
)

// reply is a shard's answer to the request with one ticket.
type reply struct {
	shard.Reply
	by answeredBy
}

func (r reply) result() Result {
	res := Result{RetryAfterMS: r.RetryAfterMS, Reason: r.Reason, State: r.State, By: r.by}
	switch r.Outcome {
	case shard.Superseded:
		res.Outcome, res.Reason = notOwner, "not_owner"
	case shard.Accepted:
		res.Outcome = Done
	case shard.Refused:
		res.Outcome = Refused
	case shard.Unknown:
		res.Outcome = Missing
	case shard.Taken:
		res.Outcome = Taken
	default:
		res.Outcome = Unknown
	}
	return res
}

// pendingReplies holds the callers that wait for the answer of a shard, by
// ticket.
type pendingReplies struct {
	mu      sync.Mutex
	waiting map[uint64]chan reply
}

func (p *pendingReplies) register(ticket uint64) <-chan reply {
	c := make(chan reply, 1)
	p.mu.Lock()
	p.waiting[ticket] = c
	p.mu.Unlock()
	return c
}

func (p *pendingReplies) unregister(ticket uint64) {
	p.mu.Lock()
	delete(p.waiting, ticket)
	p.mu.Unlock()
}

func (p *pendingReplies) deliver(r shard.Reply, by answeredBy) {
	p.complete(r.Ticket, reply{Reply: r, by: by})
}

func (p *pendingReplies) complete(ticket uint64, r reply) {
	p.mu.Lock()
	c := p.waiting[ticket]
	delete(p.waiting, ticket)
	p.mu.Unlock()
	if c != nil {
		c <- r
	}
}
