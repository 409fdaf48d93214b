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

var errNoAdvisor = errors.New("the settings name no service that permits placements")

// carryOut starts the calls that a shard's orders ask for.
func (h *Host) carryOut(s *ownedShard) {
	h.store(s)
	o := s.core.Take()
	for _, p := range o.Polls {
		go h.poll(s, p)
	}
	for _, st := range o.Starts {
		go h.start(s, st)
	}
	for _, st := range o.Stops {
		go h.stop(s, st)
	}
	for _, p := range o.Paces {
		go h.pace(s, p)
	}
	for _, a := range o.Advises {
		go h.advise(s, a)
	}
	for _, r := range o.Replies {
		h.pending.deliver(r)
	}
	for _, e := range o.Events {
		h.logDecision(s, e)
	}
}

// store begins to append the shard's next batch unless one is under way.
func (h *Host) store(s *ownedShard) {
	if s.appending {
		return
	}
	if len(s.extra) > 0 {
		extra := s.extra
		s.extra = nil
		s.appending = true
		s.sequence++
		go h.append(s, s.sequence, recordsOf(extra), func() {
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
	if len(batch.Records) == 0 {
		s.core.Committed(steadyMS(), batch)
		return
	}
	s.appending = true
	s.sequence++
	go h.append(s, s.sequence, batch.Records, func() {
		now := steadyMS()
		s.core.Committed(now, batch)
	})
}

func recordsOf(extra []extraRecord) []shard.Record {
	records := make([]shard.Record, len(extra))
	for i, e := range extra {
		records[i] = e.record
	}
	return records
}

// append stores records, again and again until the store has them or a newer
// owner exists. Repeats carry the same sequence number and change nothing.
func (h *Host) append(s *ownedShard, sequence int64, records []shard.Record, done func()) {
	for s.ctx.Err() == nil {
		sentAt := steadyMS()
		err := h.appendOnce(s, sequence, records)
		if err == nil {
			h.post(func() { h.appended(s, sentAt, done) })
			return
		}
		switch deps.KindOf(err) {
		case deps.KindRefused, deps.KindUnknown:
			h.post(func() { h.appendFailing(s, err) })
			pause.For(s.ctx, appendRetry)
		default:
			h.post(func() { h.drop(s, err.Error()) })
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
	h.stats.appendTime.Observe(time.Since(began))
	return err
}

func (h *Host) appended(s *ownedShard, sentAt int64, done func()) {
	if h.owned[s.partition] != s {
		return
	}
	s.provenAt.Store(sentAt)
	if s.failingSince != 0 {
		h.record(events.StoreBack, events.Fields{Detail: describe(s.partition) + fmt.Sprintf(" after_ms=%d", steadyMS()-s.failingSince)})
		s.failingSince = 0
	}
	s.appending = false
	done()
}

func (h *Host) appendFailing(s *ownedShard, err error) {
	if s.failingSince == 0 {
		s.failingSince = steadyMS()
		h.record(events.StoreLost, events.Fields{Detail: describe(s.partition), Err: err})
	}
}

func (h *Host) poll(s *ownedShard, p shard.Poll) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Duration(p.WaitMS)*time.Millisecond+pollMargin)
	defer cancel()
	sentAt := steadyMS()
	h.stats.polls.Add(1)
	lists, err := h.cfg.Workers.Poll(ctx, p)
	h.post(func() {
		now := steadyMS()
		if h.owned[s.partition] != s {
			return
		}
		if err == nil {
			s.core.Polled(now, sentAt, p.Target, lists)
			return
		}
		s.core.PollFailed(now, p.Target, pollError(err))
	})
}

func pollError(err error) shard.PollError {
	switch deps.KindOf(err) {
	case deps.KindFenced:
		return shard.PollFenced
	case deps.KindReplaced:
		return shard.PollReplaced
	case deps.KindRefused, deps.KindInvalid:
		return shard.PollRefused
	}
	return shard.PollLost
}

func (h *Host) start(s *ownedShard, st shard.Start) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	h.stats.starts.Add(1)
	out := h.cfg.Workers.Start(ctx, st)
	h.post(func() { s.core.Started(steadyMS(), st, out) })
}

func (h *Host) stop(s *ownedShard, st shard.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	err := h.cfg.Workers.Stop(ctx, st)
	h.post(func() {
		s.core.Stopped(steadyMS(), st, err == nil, err != nil && deps.KindOf(err) == deps.KindFenced)
	})
}

func (h *Host) pace(s *ownedShard, p shard.Pace) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	err := h.cfg.Workers.Pace(ctx, p)
	h.post(func() { s.core.Paced(steadyMS(), p, err == nil) })
}

// advise asks on which workers a step may run.
func (h *Host) advise(s *ownedShard, a shard.Advise) {
	ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
	defer cancel()
	sentAt := steadyMS()
	var out shard.Advised
	err := errNoAdvisor
	if h.cfg.Advisor != nil {
		out, err = h.cfg.Advisor.Advise(ctx, a.Key, a.Workers)
	}
	if err != nil {
		h.record(events.AdviceFailed, events.Fields{Request: a.Key.Job, Err: err, AgeMS: steadyMS() - sentAt, Shard: s.partition.Index, Epoch: s.epoch})
	}
	h.post(func() { s.core.Advised(steadyMS(), sentAt, a, out, err == nil) })
}

// logDecision logs one decision of a shard.
func (h *Host) logDecision(s *ownedShard, e shard.Event) {
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
	shard.EventInvariant: events.JobInvariantBroken, shard.EventAdvice: events.AdviceGiven,
}
