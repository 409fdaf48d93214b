package jobhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/expect"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
	"wigeonwinch/node/peer"
)

// Operation is the kind of a request.
type Operation int

// The operations.
const (
	OpSubmit Operation = iota + 1
	OpCancel
	OpShow
	OpWaiting
	// OpList lists the jobs of a queue, OpTasks the tasks of a job.
	OpList
	OpTasks
	// OpYield looks for a job on behalf of the shard to which its queue has moved.
	// A shard that does not have the job will not accept it any more.
	OpYield
	// OpCustomers lists the customers of the configuration, for operators.
	OpCustomers
)

// Request is one caller's request about the jobs of a queue.
type Request struct {
	Op      Operation `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint"`
	Queue   string    `cbor:"3,keyasint"`
	ID      string    `cbor:"4,keyasint,omitempty"`
	Job     *spec.Job `cbor:"5,keyasint,omitempty"`
	// Limit is the maximum number of jobs that OpList returns.
	Limit int `cbor:"6,keyasint,omitempty"`
	// ShardOnly restricts OpWaiting and OpList to the shard that is asked; otherwise
	// its owner adds the queue's jobs in earlier shards.
	ShardOnly bool `cbor:"7,keyasint,omitempty"`
	// Customer is the customer that the caller's key names; empty on public queues, and
	// for operators.
	Customer string `cbor:"8,keyasint,omitempty"`
	// Credential is what the caller has shown; nil for operators.
	Credential *Credential `cbor:"9,keyasint,omitempty"`
}

// readOnly reports whether the operation leaves jobs as they are, so that it can be sent
// once more.
func (o Operation) readOnly() bool { return o != OpSubmit && o != OpCancel }

// namesJob reports whether the operation is about a job that may not exist. No job has a
// malformed ID, which may be of any length and must not be remembered or logged.
func (o Operation) namesJob() bool { return o == OpCancel || o == OpShow || o == OpTasks }

// Outcome is the outcome of a request as reported to the caller.
type Outcome string

// The outcomes of requests.
const (
	// Done means that the job or the cancellation is stored, or that the state
	// is known.
	Done Outcome = "done"
	// Refused means that the job was not accepted and does not run.
	Refused Outcome = "refused"
	// Missing means that there is no such job.
	Missing Outcome = "missing"
	// Unavailable means that nothing was done. The caller may retry.
	Unavailable Outcome = "unavailable"
	// Unknown means that the request may have taken effect. The caller should
	// repeat it with the same id.
	Unknown Outcome = "unknown"
	// Unauthorized means that nothing was done, because the configuration does not
	// have the caller's key.
	Unauthorized Outcome = "unauthorized"
	// Taken means that the job was not accepted and does not run, because its ID is that
	// of another customer's job.
	Taken Outcome = "taken"
	// notOwner means that the node does not own the shard.
	notOwner Outcome = "not_owner"
)

// Result is the answer to a Request.
type Result struct {
	Outcome      Outcome    `cbor:"1,keyasint"`
	RetryAfterMS int64      `cbor:"2,keyasint,omitempty"`
	State        spec.State `cbor:"3,keyasint,omitempty"`
	Waiting      int        `cbor:"4,keyasint,omitempty"`
	Reason       string     `cbor:"5,keyasint,omitempty"`
	// Jobs is the answer to OpList and, with one entry, to OpTasks. Runs holds
	// the tasks of that job.
	Jobs []shard.JobSummary `cbor:"6,keyasint,omitempty"`
	Runs []shard.RunSummary `cbor:"7,keyasint,omitempty"`
	// By is the owner that answered; zero if none did.
	By answeredBy `cbor:"8,keyasint,omitzero"`
	// RunTimes is part of the answer to OpWaiting: what the owner has learned of the
	// queue's run times; nil if it uses the declared ones.
	RunTimes *expect.QueueStats `cbor:"9,keyasint,omitempty"`
	// Customers is the answer to OpCustomers, one entry for each shard and customer.
	Customers []shard.CustomerSummary `cbor:"10,keyasint,omitempty"`
}

// maySoonChange reports whether a successor of the owner that gave the result may give
// another one. A final state stays.
func (r Result) maySoonChange() bool { return r.Outcome == Done && !r.State.Final() }

// unavailableRetryMS is about the duration of a takeover.
const unavailableRetryMS = 1000

// Do executes a request on this node or at the owner of the shard.
func (h *Host) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	if r.Op.namesJob() && spec.ValidateID(r.ID) != nil {
		h.stats.countRequest(r.Op, Missing, time.Since(began))
		return Result{Outcome: Missing, Reason: "malformed_id"}
	}
	res := Result{Outcome: Unauthorized, Reason: reasonKeyRemoved}
	r, ok := h.recheck(r)
	if ok {
		res = h.doAcrossShards(ctx, r)
	}
	h.stats.countRequest(r.Op, res.Outcome, time.Since(began))
	if res.Outcome == Taken {
		h.refuseAccess(r, reasonIDTaken)
	}
	if !r.Op.readOnly() || r.Op == OpShow && res.Outcome != Done {
		h.recordAnswer(r, res, time.Since(began))
	}
	return res
}

var opNames = map[Operation]string{OpSubmit: "submit", OpCancel: "cancel", OpShow: "show", OpWaiting: "waiting", OpList: "list", OpTasks: "tasks", OpYield: "yield", OpCustomers: "customers"}

// doAcrossShards sends a request to the shard of the queue's service. A job
// that was accepted before its queue moved to another service is still in the
// previous shard; the owner that accepts jobs of the queue now looks there itself.
func (h *Host) doAcrossShards(ctx context.Context, r Request) Result {
	if r.Op == OpCustomers {
		return h.listCustomers(ctx)
	}
	part := h.partitionOf(r.Service)
	res := h.doAtOwner(ctx, part, r)
	if res.Outcome != Missing || r.Op == OpSubmit {
		return res
	}
	return h.askOtherShards(ctx, part, r, res)
}

// doAtOwner sends a request to the owner of a shard. If there is none, it waits
// up to ownerWait for one. If another node takes the shard over while the owner is
// silent, the request is sent to the new owner: it knows every job that the former
// one has stored, and no job that is not stored was started.
func (h *Host) doAtOwner(ctx context.Context, part deps.Partition, r Request) Result {
	deadline := time.Now().Add(ownerWait)
	mayHaveEffect := false
	for {
		res := h.tryOwner(ctx, part, r)
		if res.Outcome == Unauthorized && mayHaveEffect {
			return giveUpResult(mayHaveEffect, reasonKeyRemoved)
		}
		if res.Outcome != notOwner {
			return res
		}
		ownerChanged := res.Reason == reasonOwnerChanged
		mayHaveEffect = mayHaveEffect || ownerChanged && !r.Op.readOnly()
		if ctx.Err() != nil || !mayHaveEffect && time.Now().After(deadline) {
			// An owner that cannot be reached now may have accepted the job before.
			return giveUpResult(mayHaveEffect || r.Op == OpSubmit, res.Reason)
		}
		if !ownerChanged {
			pause.For(ctx, ownerRetryDelay)
		}
	}
}

// giveUpResult is the result of a request that no owner has answered.
func giveUpResult(mayHaveEffect bool, reason string) Result {
	if mayHaveEffect {
		return Result{Outcome: Unknown, Reason: reason}
	}
	return Result{Outcome: Unavailable, RetryAfterMS: unavailableRetryMS, Reason: reason}
}

func (h *Host) tryOwner(ctx context.Context, part deps.Partition, r Request) Result {
	owner, ok := (*h.owners.Load())[part]
	if !ok {
		return Result{Outcome: notOwner, Reason: "no_owner"}
	}
	if owner.Node == h.cfg.Node {
		return h.doLocal(ctx, part, r)
	}
	return h.forward(ctx, owner, part, r)
}

// forwardedRequest is a request that is forwarded to the owner of a shard.
type forwardedRequest struct {
	Partition int     `cbor:"1,keyasint"`
	Request   Request `cbor:"2,keyasint"`
}

// reasonOwnerChanged is the reason of a request that was given up because another
// node has taken the shard over.
const reasonOwnerChanged = "owner_changed"

var errOwnerChanged = errors.New("another node has taken the shard over")

// untilOwnerChanges returns a context that ends when another node takes over the
// shard of the given owner.
func (h *Host) untilOwnerChanges(ctx context.Context, part deps.Partition, owner ownership) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var check *time.Timer
	check = time.AfterFunc(time.Hour, func() {
		if (*h.owners.Load())[part].Epoch > owner.Epoch {
			cancel(errOwnerChanged)
			return
		}
		if ctx.Err() == nil {
			check.Reset(ownerCheckInterval)
		}
	})
	check.Reset(ownerCheckInterval)
	return ctx, func() { check.Stop(); cancel(context.Canceled) }
}

// forward sends a request to the owner of the shard.
func (h *Host) forward(ctx context.Context, owner ownership, part deps.Partition, r Request) Result {
	node := owner.Node
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	ctx, stopWatching := h.untilOwnerChanges(ctx, part, owner)
	defer stopWatching()
	body, err := encMode.Marshal(forwardedRequest{part.Index, r})
	if err != nil {
		return Result{Outcome: Unavailable, Reason: err.Error()}
	}
	answer, err := h.mesh.Call(ctx, node, methodRequest, body)
	if err != nil && errors.Is(context.Cause(ctx), errOwnerChanged) {
		return Result{Outcome: notOwner, Reason: reasonOwnerChanged}
	}
	if err != nil {
		h.record(events.RequestPassedOn, events.Fields{Request: r.ID, Peer: node, Err: err})
		if peer.KindOf(err) == peer.KindUnreachable || r.Op.readOnly() {
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

// doLocal executes a request on a shard that this node owns.
func (h *Host) doLocal(ctx context.Context, part deps.Partition, r Request) Result {
	r, ok := h.recheck(r)
	if !ok {
		return Result{Outcome: Unauthorized, Reason: reasonKeyRemoved}
	}
	switch r.Op {
	case OpCustomers:
		return h.readLocal(ctx, part, r)
	case OpWaiting, OpList:
		res := h.readLocal(ctx, part, r)
		if res.Outcome == Done && !r.ShardOnly {
			return h.addEarlierHomes(ctx, part, r, res)
		}
		return res
	case OpShow, OpTasks:
		if res := h.readLocal(ctx, part, r); res.Outcome != Missing {
			return res
		}
	case OpSubmit:
		if res, answered := h.askEarlierHomes(ctx, part, r); answered {
			return res
		}
	}
	res := h.askShardOnceOwned(ctx, part, r)
	switch {
	case r.Op == OpTasks && res.Outcome == Done:
		return h.readLocal(ctx, part, r)
	case r.Op == OpSubmit && res.Outcome == Missing:
		// The queue has left the shard meanwhile, and the next one may have the job.
		return h.acceptedOnly(ctx, part, r)
	}
	return res
}

// askShard posts a request to a shard that this node owns, and waits for its reply.
func (h *Host) askShard(ctx context.Context, part deps.Partition, r Request) Result {
	ticket := h.ticket.Add(1)
	answer := h.pending.register(ticket)
	defer h.pending.unregister(ticket)
	h.post(func() { h.postToShard(part, ticket, r) })
	select {
	case a := <-answer:
		return a.result()
	case <-ctx.Done():
		return Result{Outcome: Unknown, Reason: "not_stored_in_time"}
	}
}

func (h *Host) postToShard(part deps.Partition, ticket uint64, r Request) {
	s := h.owned[part]
	switch {
	case s == nil || s.core == nil:
		h.pending.complete(ticket, reply{Reply: shard.Reply{Outcome: shard.Superseded}})
	case r.Op == OpCancel:
		h.noteHidden(s.core, r)
		s.core.CancelAs(r.caller(), monotonicMS(), ticket, r.ID)
	case r.Op == OpYield:
		s.core.YieldAs(r.submitter(), monotonicMS(), ticket, r.ID)
	case r.Op != OpSubmit:
		h.noteHidden(s.core, r)
		s.core.LookupAs(r.caller(), monotonicMS(), ticket, r.ID)
	case r.Job == nil:
		h.pending.complete(ticket, reply{Reply: shard.Reply{Outcome: shard.Refused, Reason: "no_job"}, by: h.answeredBy(s)})
	default:
		job := *r.Job
		if r.Credential != nil {
			job.Customer = r.Customer
		}
		s.core.Submit(monotonicMS(), ticket, job)
	}
}

func (h *Host) readLocal(ctx context.Context, part deps.Partition, r Request) Result {
	res := Result{Outcome: notOwner, Reason: "not_owner"}
	err := h.runOnLoop(ctx, func() {
		s := h.owned[part]
		if s == nil || s.core == nil {
			return
		}
		if res = readShard(s.core, r); res.maySoonChange() && !s.core.IsCurrent(monotonicMS()) {
			res = h.outdatedResult()
		}
		res.By = h.answeredBy(s)
	})
	if err != nil {
		return Result{Outcome: Unknown, Reason: err.Error()}
	}
	return res
}

// outdatedResult is the result of a read from a shard whose owner may have been replaced
// seconds ago. Without a recent answer from the store, this node won't learn soon who the
// owner is.
func (h *Host) outdatedResult() Result {
	if hb := h.confirmedHeartbeat.Load(); hb != nil && sinceMS(hb.sentAt) > leaseExtensionWindow {
		return Result{Outcome: Unavailable, RetryAfterMS: unavailableRetryMS, Reason: "ownership_expired"}
	}
	return Result{Outcome: notOwner, Reason: "not_owner"}
}

// readShard executes a read-only request.
func readShard(core *shard.Core, r Request) Result {
	switch r.Op {
	case OpWaiting:
		return Result{Outcome: Done, Waiting: core.WaitingJobs(r.Queue), RunTimes: core.QueueRunTimes(r.Queue)}
	case OpCustomers:
		return Result{Outcome: Done, Customers: core.Customers(maxListedCustomers)}
	case OpList:
		return Result{Outcome: Done, Jobs: core.Jobs(r.Queue, r.Limit), Waiting: core.WaitingJobs(r.Queue)}
	case OpTasks:
		j, runs, ok := core.Job(r.ID)
		if !ok || !core.MayAccess(r.caller(), r.ID) {
			return Result{Outcome: Missing}
		}
		return Result{Outcome: Done, State: j.State, Jobs: []shard.JobSummary{j}, Runs: runs}
	}
	view := core.JobStatus(r.ID)
	if !view.Known || !core.MayAccess(r.caller(), r.ID) {
		return Result{Outcome: Missing}
	}
	return Result{Outcome: Done, State: view.State}
}
