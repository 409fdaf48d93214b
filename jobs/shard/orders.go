package shard

import "wigeonwinch/jobs/spec"

// Orders is what the owner must execute after an event.
type Orders struct {
	Polls          []Poll
	Starts         []Start
	Stops          []Stop
	Paces          []Pace
	AdviceRequests []AdviceRequest
	Replies        []Reply
	Events         []Event
}

// RunRef identifies one run.
type RunRef struct {
	Key    Key
	Number int
}

// Target identifies the worker of an order.
type Target struct {
	Worker      string
	Address     string
	Incarnation int64
	// Epoch is the fencing token of the order: the owner's epoch, or up to TokensPerEpoch-1
	// more.
	Epoch int64
}

// Poll requests a worker's lists and extends its lease.
type Poll struct {
	Target
	// LeaseUntil is in the worker's clock; 0 does not extend the lease.
	LeaseUntil int64
	// AckedUpto is the highest end that is stored; 0 names none.
	AckedUpto int
	// WaitMS is how long the worker may wait for an end before it answers.
	WaitMS int64
}

// Start orders a worker to start a run.
type Start struct {
	Target
	RunRef
	Payload    string
	LeaseUntil int64
	Checkpoint string
	// PermitToken is the token of the placement permit, if the queue needs one.
	PermitToken string
}

// Stop orders a worker to stop a run, or never to start it.
type Stop struct {
	Target
	RunRef
}

// Pace sets the percentage of full speed at which a run may work.
type Pace struct {
	Target
	RunRef
	Percent int
}

// Outcome is the result of a caller's request.
type Outcome string

// The outcomes of requests.
const (
	Accepted Outcome = "accepted"
	// Refused means that the job never runs unless it is submitted again.
	Refused Outcome = "refused"
	// Unknown means that there is no such queue or job.
	Unknown Outcome = "unknown"
	// Unavailable means that it is not known whether the request was carried
	// out.
	Unavailable Outcome = "unavailable"
	// Superseded means that nothing was done, because this owner can't prove that it is
	// still the owner. The caller has to ask the owner of the shard again.
	Superseded Outcome = "superseded"
	// Taken means that the ID of a submitted job is that of another customer's job.
	// The submitted job was not accepted and never runs.
	Taken Outcome = "taken"
)

// Reply answers one caller.
type Reply struct {
	Ticket  uint64
	Outcome Outcome
	// RetryAfterMS is the delay before a refused caller should retry.
	RetryAfterMS int64
	Reason       string
	// State is the job's state in the answer to Lookup.
	State spec.State
}

// TakeOrders returns the orders since the last call.
func (c *Core) TakeOrders() Orders {
	o := c.orders
	c.orders = Orders{}
	return o
}

func (c *Core) reply(r Reply) { c.orders.Replies = append(c.orders.Replies, r) }

// EventName names a kind of log event.
type EventName string

// The events of a shard.
const (
	EventAccepted     EventName = "job_accepted"
	EventRefused      EventName = "job_refused"
	EventCancelled    EventName = "job_cancelled"
	EventFinal        EventName = "job_final"
	EventPlaced       EventName = "run_placed"
	EventStartAnswer  EventName = "run_start_answered"
	EventEnd          EventName = "run_ended"
	EventStop         EventName = "run_stop"
	EventSettled      EventName = "run_settled"
	EventAdopted      EventName = "run_adopted"
	EventStray        EventName = "run_stray"
	EventWorker       EventName = "worker_changed"
	EventPollFailed   EventName = "worker_poll_failed"
	EventDeposed      EventName = "owner_deposed"
	EventRecordFailed EventName = "record_failed"
	EventPaced        EventName = "run_paced"
	EventAdvice       EventName = "advice"
	EventInvariant    EventName = "invariant_broken"
	EventSuspected    EventName = "task_suspected"
	EventGivenUp      EventName = "task_given_up"
	EventUntried      EventName = "jobs_untried"
	EventLearned      EventName = "run_times_learned"
	EventEndsMissing  EventName = "ends_missing"
	// EventCustomerRefused is a refusal for the sake of the other customers.
	EventCustomerRefused EventName = "customer_refused"
)

// Event is one decision, for the log.
type Event struct {
	Name    EventName
	Job     string
	Run     RunRef
	Worker  string
	Outcome string
	Detail  string
	// AgeMS is the age of the input that led to the decision.
	AgeMS int64
}

func (c *Core) event(e Event) { c.orders.Events = append(c.orders.Events, e) }
