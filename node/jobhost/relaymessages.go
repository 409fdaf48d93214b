package jobhost

import (
	"wigeonwinch/jobs/shard"
)

// orderKind is the kind of a relayed order.
type orderKind uint8

// The kinds of relayed orders.
const (
	orderPoll orderKind = iota + 1
	orderStart
	orderStop
	orderPace
)

// relayedOrder is one call to a worker as the owner of a shard sends it to a
// relay. Fields that the kind of order does not use are zero.
type relayedOrder struct {
	// ID identifies the order among those of its owner.
	ID          uint64    `cbor:"1,keyasint"`
	Kind        orderKind `cbor:"2,keyasint"`
	Worker      string    `cbor:"3,keyasint"`
	Address     string    `cbor:"4,keyasint"`
	Incarnation int64     `cbor:"5,keyasint"`
	Epoch       int64     `cbor:"6,keyasint"`
	LeaseUntil  int64     `cbor:"7,keyasint,omitempty"`
	AckedUpto   int       `cbor:"8,keyasint,omitempty"`
	WaitMS      int64     `cbor:"9,keyasint,omitempty"`
	Job         string    `cbor:"10,keyasint,omitempty"`
	Occurrence  int       `cbor:"11,keyasint,omitempty"`
	Step        int       `cbor:"12,keyasint,omitempty"`
	Index       int       `cbor:"13,keyasint,omitempty"`
	Run         int       `cbor:"14,keyasint,omitempty"`
	Payload     string    `cbor:"15,keyasint,omitempty"`
	Checkpoint  string    `cbor:"16,keyasint,omitempty"`
	PermitToken string    `cbor:"17,keyasint,omitempty"`
	Percent     int       `cbor:"18,keyasint,omitempty"`
}

func newRelayedOrder(kind orderKind, t shard.Target) relayedOrder {
	return relayedOrder{Kind: kind, Worker: t.Worker, Address: t.Address, Incarnation: t.Incarnation, Epoch: t.Epoch}
}

func (o *relayedOrder) setRun(r shard.RunRef) {
	o.Job, o.Occurrence, o.Step, o.Index, o.Run = r.Key.Job, r.Key.Occurrence, r.Key.Step, r.Key.Index, r.Number
}

func (o *relayedOrder) target() shard.Target {
	return shard.Target{Worker: o.Worker, Address: o.Address, Incarnation: o.Incarnation, Epoch: o.Epoch}
}

func (o *relayedOrder) runRef() shard.RunRef {
	return shard.RunRef{Key: shard.Key{Job: o.Job, Occurrence: o.Occurrence, Step: o.Step, Index: o.Index}, Number: o.Run}
}

func (o *relayedOrder) poll() shard.Poll {
	return shard.Poll{Target: o.target(), LeaseUntil: o.LeaseUntil, AckedUpto: o.AckedUpto, WaitMS: o.WaitMS}
}

func (o *relayedOrder) start() shard.Start {
	return shard.Start{Target: o.target(), RunRef: o.runRef(), Payload: o.Payload, LeaseUntil: o.LeaseUntil, Checkpoint: o.Checkpoint, PermitToken: o.PermitToken}
}

// orderBatch is a message from an owner to a relay.
type orderBatch struct {
	Orders []relayedOrder `cbor:"1,keyasint"`
}

// orderResult is the result of one relayed order.
type orderResult struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Outcome is the outcome of a start, or the reason for which a poll failed.
	// It is empty for a poll that was answered.
	Outcome string
	// Answered and Fenced are the result of a stop, Answered also that of a pace
	// order.
	Answered, Fenced bool
	// ClockMS is the worker's clock in its answer to a start or a poll. The other
	// remaining fields are the answer to a poll.
	ClockMS, Incarnation int64
	Running              []listedRunRow
	Ended                []listedEndRow
}

// unsent returns the result of an order that certainly was not sent.
func (o *relayedOrder) unsent() orderResult {
	res := orderResult{ID: o.ID}
	if o.Kind == orderStart {
		res.Outcome = string(shard.StartNotSent)
	}
	return res
}

// workerSilent reports whether the relay got no answer from the worker to an order of the
// given kind.
func (r *orderResult) workerSilent(kind orderKind) bool {
	switch kind {
	case orderPoll:
		return shard.PollError(r.Outcome).NoAnswer()
	case orderStart:
		outcome := shard.StartOutcome(r.Outcome)
		return outcome == shard.StartUnanswered || outcome == shard.StartNotSent
	case orderStop:
		return !r.Answered && !r.Fenced
	}
	return false
}

type listedRunRow struct {
	_                               struct{} `cbor:",toarray"`
	Job                             string
	Occurrence, Step, Index, Number int
	Checkpoint                      string
	Percent, Metric                 int
}

type listedEndRow struct {
	_                               struct{} `cbor:",toarray"`
	End                             int
	Job                             string
	Occurrence, Step, Index, Number int
	Kind, Checkpoint                string
}

// resultBatch is a message from a relay to an owner.
type resultBatch struct {
	Results []orderResult `cbor:"1,keyasint"`
}

// setResponse stores the answer to a poll in the result.
func (r *orderResult) setResponse(l shard.PollResponse) {
	r.ClockMS, r.Incarnation = l.ClockMS, l.Incarnation
	for _, row := range l.Running {
		r.Running = append(r.Running, listedRunRow{Job: row.Key.Job, Occurrence: row.Key.Occurrence, Step: row.Key.Step, Index: row.Key.Index,
			Number: row.Number, Checkpoint: row.Checkpoint, Percent: row.Percent, Metric: row.Metric})
	}
	for _, row := range l.Ended {
		r.Ended = append(r.Ended, listedEndRow{End: row.End, Job: row.Key.Job, Occurrence: row.Key.Occurrence, Step: row.Key.Step, Index: row.Key.Index,
			Number: row.Number, Kind: string(row.Kind), Checkpoint: row.Checkpoint})
	}
}

// response returns the answer to a poll.
func (r *orderResult) response() shard.PollResponse {
	l := shard.PollResponse{ClockMS: r.ClockMS, Incarnation: r.Incarnation}
	for _, row := range r.Running {
		key := shard.Key{Job: row.Job, Occurrence: row.Occurrence, Step: row.Step, Index: row.Index}
		l.Running = append(l.Running, shard.ListedRun{RunRef: shard.RunRef{Key: key, Number: row.Number}, Checkpoint: row.Checkpoint, Percent: row.Percent, Metric: row.Metric})
	}
	for _, row := range r.Ended {
		key := shard.Key{Job: row.Job, Occurrence: row.Occurrence, Step: row.Step, Index: row.Index}
		l.Ended = append(l.Ended, shard.ListedEnd{End: row.End, RunRef: shard.RunRef{Key: key, Number: row.Number}, Kind: shard.EndKind(row.Kind), Checkpoint: row.Checkpoint})
	}
	return l
}

// rows counts the entries of a result, which bound the size of a batch.
func (r *orderResult) rows() int { return 1 + len(r.Running) + len(r.Ended) }
