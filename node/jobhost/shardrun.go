package jobhost

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

var errNoAdvisor = errors.New("the settings name no placement advisor")

// dispatchOrders starts the next append of a shard and the calls that its
// orders ask for.
func (h *Host) dispatchOrders(s *ownedShard) {
	h.appendNext(s)
	o := s.core.TakeOrders()
	h.sendOrders(s, o)
	for _, a := range o.AdviceRequests {
		go h.requestAdvice(s, a)
	}
	for _, r := range o.Replies {
		h.pending.deliver(r, h.answeredBy(s))
	}
	for _, e := range o.Events {
		h.logDecision(s, e)
	}
}

// sendOrders sends the orders to the workers, through relays where the shard has
// some.
func (h *Host) sendOrders(s *ownedShard, o shard.Orders) {
	for _, p := range o.Polls {
		if !h.relays.addPoll(s, p) {
			go h.pollWorker(s, p)
		}
	}
	for _, st := range o.Starts {
		if !h.relays.addStart(s, st) {
			h.sendStart(s, st)
		}
	}
	for _, st := range o.Stops {
		if !h.relays.addRunOrder(s, orderStop, st.Target, st.RunRef, 0) {
			h.sendStop(s, st)
		}
	}
	for _, p := range o.Paces {
		if !h.relays.addRunOrder(s, orderPace, p.Target, p.RunRef, p.Percent) {
			h.sendPace(s, p)
		}
	}
}

// appendNext starts to append the next batch of a shard unless an append is in
// flight.
func (h *Host) appendNext(s *ownedShard) {
	if s.appendInFlight {
		return
	}
	if len(s.extraRecords) > 0 {
		extra := s.extraRecords
		s.extraRecords = nil
		s.appendInFlight = true
		s.sequence++
		go h.append(s, s.sequence, shardRecords(extra), func() {
			for _, e := range extra {
				e.done()
			}
		})
		return
	}
	if s.core == nil {
		return
	}
	batch, ok := s.core.NextBatch()
	if !ok {
		return
	}
	if len(batch.Records) == 0 && !batch.NeedsAppend {
		s.core.HandleCommit(monotonicMS(), batch)
		return
	}
	if len(batch.Records) == 0 {
		rec, err := h.ownerRecord(s.partition, s.epoch, s.earlierLeaseMS(monotonicMS()))
		if err != nil {
			h.dropShard(s, err.Error())
			return
		}
		batch.Records = []shard.Record{rec}
	}
	s.appendInFlight = true
	s.sequence++
	go h.append(s, s.sequence, batch.Records, func() {
		now := monotonicMS()
		s.core.HandleCommit(now, batch)
	})
}

func shardRecords(extra []extraRecord) []shard.Record {
	records := make([]shard.Record, len(extra))
	for i, e := range extra {
		records[i] = e.record
	}
	return records
}

// append appends records and retries until the store has them or a newer owner
// exists. Retries carry the same sequence number, so a repeat changes nothing. The
// answer to a repeat proves only that nobody had taken the shard over when the append
// was sent first.
func (h *Host) append(s *ownedShard, sequence int64, records []shard.Record, done func()) {
	sentAt := monotonicMS()
	for s.ctx.Err() == nil {
		err := h.appendOnce(s, sequence, records)
		if err == nil {
			h.post(func() { h.handleAppended(s, sentAt, done) })
			return
		}
		switch deps.KindOf(err) {
		case deps.KindRefused, deps.KindUnknown:
			h.post(func() { h.handleAppendFailure(s, err) })
			pause.For(s.ctx, appendRetryDelay)
		default:
			h.post(func() { h.dropShard(s, err.Error()) })
			return
		}
	}
}

func (h *Host) appendOnce(s *ownedShard, sequence int64, records []shard.Record) error {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	h.stats.storeWrites.Add(1)
	began := time.Now()
	err := h.cfg.Store.Append(ctx, deps.Append{Partition: s.partition, Records: records, Fence: &deps.Fence{Epoch: s.epoch, Sequence: sequence}})
	h.stats.appendLatency.Observe(time.Since(began))
	return err
}

func (h *Host) handleAppended(s *ownedShard, sentAt int64, done func()) {
	if h.owned[s.partition] != s {
		return
	}
	s.verifiedAt.Store(sentAt)
	if s.appendFailingSince != 0 {
		h.record(events.StoreBack, events.Fields{Detail: describe(s.partition) + fmt.Sprintf(" after_ms=%d", monotonicMS()-s.appendFailingSince)})
		s.appendFailingSince = 0
	}
	s.appendInFlight = false
	done()
}

func (h *Host) handleAppendFailure(s *ownedShard, err error) {
	if s.appendFailingSince == 0 {
		s.appendFailingSince = monotonicMS()
		h.record(events.StoreLost, events.Fields{Detail: describe(s.partition), Err: err})
	}
}

func (h *Host) pollWorker(s *ownedShard, p shard.Poll) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Duration(p.WaitMS)*time.Millisecond+pollMargin)
	defer cancel()
	sentAt := monotonicMS()
	h.stats.polls.Add(1)
	lists, err := h.cfg.Workers.Poll(ctx, p)
	h.post(func() {
		now := monotonicMS()
		if h.owned[s.partition] != s {
			return
		}
		if err == nil {
			s.core.HandlePollResponse(now, sentAt, p.Target, lists)
			return
		}
		s.core.HandlePollError(now, sentAt, p.Target, shardPollError(err))
	})
}

func shardPollError(err error) shard.PollError {
	switch deps.ConnectionFailureOf(err) {
	case deps.ConnectionClosed:
		return shard.PollConnectionClosed
	case deps.ConnectionRejected:
		return shard.PollConnectionRejected
	}
	switch deps.KindOf(err) {
	case deps.KindFenced:
		return shard.PollFenced
	case deps.KindOtherIncarnation:
		return shard.PollReplaced
	case deps.KindRefused, deps.KindInvalid:
		return shard.PollRefused
	}
	if deps.KeptConnectionSilent(err) {
		return shard.PollUnansweredKept
	}
	return shard.PollUnanswered
}

// sendStart, sendStop and sendPace queue an order for a worker and pass its result to the
// shard.
func (h *Host) sendStart(s *ownedShard, st shard.Start) {
	done := func(result shard.StartResult) {
		h.post(func() { s.core.HandleStartResult(monotonicMS(), st, result) })
	}
	h.queueOrder(s, st.Worker, func(ctx context.Context) {
		h.stats.starts.Add(1)
		done(h.cfg.Workers.Start(ctx, st))
	}, func() { done(shard.StartResult{Outcome: shard.StartNotSent}) })
}

func (h *Host) sendStop(s *ownedShard, st shard.Stop) {
	done := func(answered, fenced bool) {
		h.post(func() { s.core.HandleStopResult(monotonicMS(), st, answered, fenced) })
	}
	h.queueOrder(s, st.Worker, func(ctx context.Context) {
		err := h.cfg.Workers.Stop(ctx, st)
		done(err == nil, err != nil && deps.KindOf(err) == deps.KindFenced)
	}, func() { done(false, false) })
}

func (h *Host) sendPace(s *ownedShard, p shard.Pace) {
	done := func(answered bool) {
		h.post(func() { s.core.HandlePaceResult(monotonicMS(), p, answered) })
	}
	h.queueOrder(s, p.Worker, func(ctx context.Context) {
		done(h.cfg.Workers.Pace(ctx, p) == nil)
	}, func() { done(false) })
}

// queueOrder queues an order of a shard for a worker.
func (h *Host) queueOrder(s *ownedShard, worker string, send func(ctx context.Context), drop func()) {
	deadline := time.Now().Add(orderTimeout)
	unsent := func() {
		h.stats.bounds.count(reasonOrders, monotonicMS())
		drop()
	}
	h.orders.add(worker, workerOrder{deadline: deadline, drop: unsent, send: func() {
		ctx, cancel := context.WithDeadline(s.ctx, deadline)
		defer cancel()
		send(ctx)
	}})
}

// requestAdvice asks the advisor on which workers a step may run.
func (h *Host) requestAdvice(s *ownedShard, a shard.AdviceRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
	defer cancel()
	sentAt := monotonicMS()
	var out shard.AdviceResponse
	err := errNoAdvisor
	if h.cfg.Advisor != nil {
		out, err = h.cfg.Advisor.Advise(ctx, a.Key, a.Workers)
	}
	if err != nil {
		h.record(events.AdviceFailed, events.Fields{Request: a.Key.Job, Err: err, AgeMS: monotonicMS() - sentAt, Shard: s.partition.Index, Epoch: s.epoch})
	}
	h.post(func() { s.core.HandleAdvice(monotonicMS(), sentAt, a, out, err == nil) })
}

// logDecision records one decision of a shard in the event log.
func (h *Host) logDecision(s *ownedShard, e shard.Event) {
	if shard.WorkerGone(e) {
		h.stats.countLostRun(e.Outcome)
	}
	if e.Name == shard.EventRefused {
		h.stats.bounds.count(e.Outcome, monotonicMS())
	}
	if e.Name == shard.EventGivenUp {
		h.stats.tasksGivenUp.Add(1)
	}
	number, ok := decisionEvents[e.Name]
	if !ok {
		number = events.JobDecision
	}
	f := events.Fields{Request: e.Job, VM: e.Worker, Detail: e.Detail, Outcome: e.Outcome, AgeMS: e.AgeMS, Epoch: s.epoch, Shard: s.partition.Index}
	if e.Run.Key.Job != "" {
		f.Request = e.Run.Key.Job
		f.Task = fmt.Sprintf("%d.%d.%d", e.Run.Key.Occurrence, e.Run.Key.Step, e.Run.Key.Index)
		f.Run = e.Run.Number
	}
	h.record(number, f)
}

var decisionEvents = map[shard.EventName]events.Number{
	shard.EventAccepted: events.JobAccepted, shard.EventRefused: events.JobRefused,
	shard.EventCancelled: events.JobCancelled, shard.EventFinal: events.JobFinal,
	shard.EventPlaced: events.RunPlaced, shard.EventStartAnswer: events.RunStartAnswered,
	shard.EventEnd: events.RunEnded, shard.EventStop: events.RunStopOrdered,
	shard.EventSettled: events.RunSettled, shard.EventAdopted: events.RunAdopted,
	shard.EventStray: events.RunStray, shard.EventWorker: events.WorkerChanged,
	shard.EventPollFailed: events.WorkerPollFailed, shard.EventDeposed: events.OwnerDeposed,
	shard.EventRecordFailed: events.RecordUnwritable, shard.EventPaced: events.RunPaced,
	shard.EventSuspected: events.TaskSuspected, shard.EventUntried: events.JobsUntried, shard.EventCustomerRefused: events.CustomerRefused, shard.EventGivenUp: events.TaskGivenUp,
	shard.EventInvariant: events.JobInvariantBroken, shard.EventAdvice: events.AdviceGiven,
	shard.EventLearned: events.RunTimesLearned, shard.EventEndsMissing: events.EndsMissing,
}
