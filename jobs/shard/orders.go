package shard

// Orders is what the owner carries out after an event.
type Orders struct {
	Polls   []Poll
	Starts  []Start
	Stops   []Stop
	Paces   []Pace
	Advises []Advise
	Replies []Reply
	Events  []Event
}

// RunRef names one run.
type RunRef struct {
	Key    Key
	Number int
}

// Target names the worker of an order.
type Target struct {
	Worker  string
	Address string
	Born    int64
	// Epoch is the fencing token of the order.
	Epoch int64
}

// Poll asks a worker for its lists and extends its lease.
type Poll struct {
	Target
	// LeaseUntil is on the worker's clock; 0 extends nothing.
	LeaseUntil int64
	// AckedUpto is the highest end that is stored.
	AckedUpto int
	// WaitMS is how long the worker may wait for an end.
	WaitMS int64
}

// Start tells a worker to start a run.
type Start struct {
	Target
	RunRef
	Payload    string
	LeaseUntil int64
	Checkpoint string
	// Ticket is the placement permit, where the queue needs one.
	Ticket string
}

// Stop tells a worker to stop a run, or never to start it.
type Stop struct {
	Target
	RunRef
}

// Pace sets the share at which a run may work.
type Pace struct {
	Target
	RunRef
	Percent int
}

// Outcome is the answer to a caller's request.
type Outcome string

// The outcomes of requests.
const (
	Accepted Outcome = "accepted"
	// Refused means that the job never runs unless it is submitted again.
	Refused Outcome = "refused"
	Unknown Outcome = "unknown"
	// Unavailable means that it is not known whether it was done.
	Unavailable Outcome = "unavailable"
)

// Reply answers one caller.
type Reply struct {
	Ticket  uint64
	Outcome Outcome
	// RetryAfterMS is when a refused caller should come back.
	RetryAfterMS int64
	Reason       string
}

// Take returns the orders since the last call.
func (c *Core) Take() Orders {
	o := c.out
	c.out = Orders{}
	return o
}

func (c *Core) reply(r Reply) { c.out.Replies = append(c.out.Replies, r) }

// EventName names one kind of decision in the log.
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
)

// Event is one decision, for the log.
type Event struct {
	Name    EventName
	Job     string
	Run     RunRef
	Worker  string
	Outcome string
	Detail  string
	// AgeMS is the age of the input that decided it.
	AgeMS int64
}

func (c *Core) event(e Event) { c.out.Events = append(c.out.Events, e) }
