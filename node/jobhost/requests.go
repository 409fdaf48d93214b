package jobhost

import (
	"context"
	"sync"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
	"wigeonwinch/node/peer"
)

// Operation is what a caller asks for.
type Operation int

// The operations.
const (
	OpSubmit Operation = iota + 1
	OpCancel
	OpShow
	OpWaiting
	// OpList lists a queue's jobs, OpTasks a job's tasks.
	OpList
	OpTasks
)

// Request is one caller's request for a queue's jobs.
type Request struct {
	Op      Operation `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint"`
	Queue   string    `cbor:"3,keyasint"`
	ID      string    `cbor:"4,keyasint,omitempty"`
	Job     *spec.Job `cbor:"5,keyasint,omitempty"`
	// Most bounds a list.
	Most int `cbor:"6,keyasint,omitempty"`
}

// reads says whether the operation changes nothing.
func (o Operation) reads() bool { return o != OpSubmit && o != OpCancel }

// Outcome is what a caller is told.
type Outcome string

// The outcomes of requests.
const (
	// Done: the job is stored, the cancel is stored, or the state is known.
	Done Outcome = "done"
	// Refused: the job was not accepted and does not run.
	Refused Outcome = "refused"
	// Missing: no such job.
	Missing Outcome = "missing"
	// Unavailable: certainly nothing was done; try again.
	Unavailable Outcome = "unavailable"
	// Unknown: it may have been done; ask again with the same id.
	Unknown Outcome = "unknown"
	// notOwner: the asked node does not own the shard.
	notOwner Outcome = "not_owner"
)

// Result is the answer to a Request.
type Result struct {
	Outcome      Outcome    `cbor:"1,keyasint"`
	RetryAfterMS int64      `cbor:"2,keyasint,omitempty"`
	State        spec.State `cbor:"3,keyasint,omitempty"`
	Waiting      int        `cbor:"4,keyasint,omitempty"`
	Reason       string     `cbor:"5,keyasint,omitempty"`
	// Jobs answers OpList and, with one entry, OpTasks; Runs are its tasks.
	Jobs []shard.JobSummary `cbor:"6,keyasint,omitempty"`
	Runs []shard.RunSummary `cbor:"7,keyasint,omitempty"`
}

// unavailableRetryMS is about the time that a takeover needs.
const unavailableRetryMS = 1000

// Do carries out a request here or at the shard's owner.
func (h *Host) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	res := h.findAnywhere(ctx, r)
	h.stats.count(r.Op, res.Outcome, time.Since(began))
	if !r.Op.reads() || r.Op == OpShow && res.Outcome != Done {
		h.record(events.RequestAnswered, events.Fields{Request: r.ID, Outcome: string(res.Outcome), Detail: opNames[r.Op] + " " + res.Reason, AgeMS: time.Since(began).Milliseconds()})
	}
	return res
}

var opNames = map[Operation]string{OpSubmit: "submit", OpCancel: "cancel", OpShow: "show", OpWaiting: "waiting", OpList: "list", OpTasks: "tasks"}

// findAnywhere asks the shard of the queue's service. A job that was accepted
// before its queue moved to another service is still in the earlier shard.
func (h *Host) findAnywhere(ctx context.Context, r Request) Result {
	part := h.partitionOf(r.Service)
	if r.Op == OpSubmit {
		for _, former := range h.formerShards(r.Queue) {
			earlier := h.find(ctx, former, Request{Op: OpShow, Queue: r.Queue, ID: r.ID})
			if earlier.Outcome == Done {
				return Result{Outcome: Done, Reason: "accepted_before_the_queue_moved"}
			}
			if earlier.Outcome != Missing {
				return Result{Outcome: Unavailable, RetryAfterMS: unavailableRetryMS, Reason: "earlier_service_" + earlier.Reason}
			}
		}
	}
	res := h.find(ctx, part, r)
	if res.Outcome != Missing || r.Op == OpSubmit {
		return res
	}
	for _, other := range h.needed() {
		if other == part || other.Topic != deps.TopicJobs {
			continue
		}
		if res := h.find(ctx, other, r); res.Outcome != Missing {
			return res
		}
	}
	return res
}

// formerShards are those of the services that a queue was on before, as far as
// this node has seen it.
func (h *Host) formerShards(queue string) []deps.Partition {
	if former := h.former.Load(); former != nil {
		return (*former)[queue]
	}
	return nil
}

// find asks the owner, and waits a little for one if there is none.
func (h *Host) find(ctx context.Context, part deps.Partition, r Request) Result {
	giveUp := time.Now().Add(ownerWait)
	reason := "no_owner"
	for {
		res := h.attempt(ctx, part, r)
		if res.Outcome != notOwner {
			return res
		}
		reason = res.Reason
		if ctx.Err() != nil || time.Now().After(giveUp) {
			return Result{Outcome: Unavailable, RetryAfterMS: unavailableRetryMS, Reason: reason}
		}
		pause.For(ctx, ownerRetry)
	}
}

func (h *Host) attempt(ctx context.Context, part deps.Partition, r Request) Result {
	owner, ok := (*h.owners.Load())[part]
	if !ok {
		return Result{Outcome: notOwner, Reason: "no_owner"}
	}
	if owner.Node == h.cfg.Node {
		return h.doLocal(ctx, part, r)
	}
	return h.passOn(ctx, owner.Node, part, r)
}

// passedOn is a request on its way to the owner of a shard.
type passedOn struct {
	Partition int     `cbor:"1,keyasint"`
	Request   Request `cbor:"2,keyasint"`
}

// passOn sends a request to the shard's owner.
func (h *Host) passOn(ctx context.Context, node string, part deps.Partition, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, passOnTimeout)
	defer cancel()
	body, err := encMode.Marshal(passedOn{part.Index, r})
	if err != nil {
		return Result{Outcome: Unavailable, Reason: err.Error()}
	}
	answer, err := h.mesh.Call(ctx, node, methodRequest, body)
	if err != nil {
		h.record(events.RequestPassedOn, events.Fields{Request: r.ID, Peer: node, Err: err})
		if peer.KindOf(err) == peer.KindUnreachable || r.Op.reads() {
			return Result{Outcome: notOwner, Reason: "owner_unreachable"}
		}
		return Result{Outcome: Unknown, Reason: "owner_silent"}
	}
	var res Result
	if err := decMode.Unmarshal(answer, &res); err != nil {
		return Result{Outcome: Unknown, Reason: err.Error()}
	}
	return res
}

// doLocal carries out a request on a shard of this node.
func (h *Host) doLocal(ctx context.Context, part deps.Partition, r Request) Result {
	if r.Op.reads() {
		return h.readLocal(ctx, part, r)
	}
	ticket := h.ticket.Add(1)
	answer := h.pending.expect(ticket)
	defer h.pending.forget(ticket)
	h.post(func() { h.submitOrCancel(part, ticket, r) })
	select {
	case a := <-answer:
		return a.result()
	case <-ctx.Done():
		return Result{Outcome: Unknown, Reason: "not_stored_in_time"}
	}
}

func (h *Host) submitOrCancel(part deps.Partition, ticket uint64, r Request) {
	s := h.owned[part]
	switch {
	case s == nil || s.core == nil:
		h.pending.give(ticket, reply{notOwner: true})
	case r.Op == OpCancel:
		s.core.Cancel(steadyMS(), ticket, r.ID)
	case r.Job == nil:
		h.pending.give(ticket, reply{Reply: shard.Reply{Outcome: shard.Refused, Reason: "no_job"}})
	default:
		s.core.Submit(steadyMS(), ticket, *r.Job)
	}
}

func (h *Host) readLocal(ctx context.Context, part deps.Partition, r Request) Result {
	res := Result{Outcome: notOwner, Reason: "not_owner"}
	err := h.ask(ctx, func() {
		s := h.owned[part]
		if s == nil || s.core == nil {
			return
		}
		res = read(s.core, r)
	})
	if err != nil {
		return Result{Outcome: Unknown, Reason: err.Error()}
	}
	return res
}

// read answers a request that changes nothing.
func read(core *shard.Core, r Request) Result {
	switch r.Op {
	case OpWaiting:
		return Result{Outcome: Done, Waiting: core.Waiting(r.Queue)}
	case OpList:
		return Result{Outcome: Done, Jobs: core.Jobs(r.Queue, r.Most), Waiting: core.Waiting(r.Queue)}
	case OpTasks:
		j, runs, ok := core.Job(r.ID)
		if !ok {
			return Result{Outcome: Missing}
		}
		return Result{Outcome: Done, State: j.State, Jobs: []shard.JobSummary{j}, Runs: runs}
	}
	view := core.Show(r.ID)
	if !view.Known {
		return Result{Outcome: Missing}
	}
	return Result{Outcome: Done, State: view.State}
}

// reply is a shard's answer to one ticket.
type reply struct {
	shard.Reply
	notOwner bool
}

func (r reply) result() Result {
	if r.notOwner {
		return Result{Outcome: notOwner, Reason: "not_owner"}
	}
	res := Result{RetryAfterMS: r.RetryAfterMS, Reason: r.Reason}
	switch r.Outcome {
	case shard.Accepted:
		res.Outcome = Done
	case shard.Refused:
		res.Outcome = Refused
	case shard.Unknown:
		res.Outcome = Missing
	default:
		res.Outcome = Unknown
	}
	return res
}

// pendingReplies are the callers that wait for a shard's answer.
type pendingReplies struct {
	mu      sync.Mutex
	waiting map[uint64]chan reply
}

func (p *pendingReplies) expect(ticket uint64) <-chan reply {
	c := make(chan reply, 1)
	p.mu.Lock()
	p.waiting[ticket] = c
	p.mu.Unlock()
	return c
}

func (p *pendingReplies) forget(ticket uint64) {
	p.mu.Lock()
	delete(p.waiting, ticket)
	p.mu.Unlock()
}

func (p *pendingReplies) deliver(r shard.Reply) { p.give(r.Ticket, reply{Reply: r}) }

func (p *pendingReplies) give(ticket uint64, r reply) {
	p.mu.Lock()
	c := p.waiting[ticket]
	delete(p.waiting, ticket)
	p.mu.Unlock()
	if c != nil {
		c <- r
	}
}
