package forward

import (
	"sync/atomic"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/scheduler"
)

// counters count since the start.
type counters struct {
	arrived, answered, notRun, unknown atomic.Uint64
	duplicates, retried, relayed       atomic.Uint64
	refusedByWorker, violations        atomic.Uint64
}

func (c *counters) count(e ending) {
	switch e.outcome {
	case dispatch.OutcomeAnswered:
		c.answered.Add(1)
	case dispatch.OutcomeNotRun:
		c.notRun.Add(1)
	case dispatch.OutcomeUnknown:
		c.unknown.Add(1)
	}
	if e.duplicate {
		c.duplicates.Add(1)
	}
}

// Stats is a picture of the request path. Counts are since the start.
type Stats struct {
	// Arrived counts the requests, relayed ones included.
	Arrived uint64 `json:"arrived"`
	// Answered, NotRun and Unknown count their ends.
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	// Duplicates counts the answers that went to a second copy.
	Duplicates uint64 `json:"duplicates"`
	// Retried counts further attempts of repeatable requests.
	Retried uint64 `json:"retried"`
	// Relayed counts the requests passed on to another zone.
	Relayed uint64 `json:"relayed"`
	// RefusedByWorker counts the workers' own refusals.
	RefusedByWorker uint64 `json:"refused_by_worker"`
	// Violations counts broken invariants; it stays zero.
	Violations uint64 `json:"violations"`
	// InFlight is the number of requests in progress and queued.
	InFlight int `json:"in_flight"`
	// BodyBytes is what their bodies take, in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// Claims is the number of claims that this node keeps as a home.
	Claims int `json:"claims"`
	// Works is the number of works that this node claimed and holds.
	Works int `json:"works"`
	// AnswerBytes is what the answers held for duplicates take, in bytes.
	AnswerBytes int `json:"answer_bytes"`
	// Pools are the queues by pool.
	Pools map[string]scheduler.Stats `json:"pools"`
}

// Stats returns a picture of the request path.
func (s *Server) Stats() Stats {
	st := Stats{
		Arrived:         s.counts.arrived.Load(),
		Answered:        s.counts.answered.Load(),
		NotRun:          s.counts.notRun.Load(),
		Unknown:         s.counts.unknown.Load(),
		Duplicates:      s.counts.duplicates.Load(),
		Retried:         s.counts.retried.Load(),
		Relayed:         s.counts.relayed.Load(),
		RefusedByWorker: s.counts.refusedByWorker.Load(),
		Violations:      s.counts.violations.Load(),
		InFlight:        int(s.inFlight.Load()),
		BodyBytes:       s.bodyBytes.Load(),
		Pools:           make(map[string]scheduler.Stats),
	}
	st.Claims, st.Works, st.AnswerBytes = s.claims.sizes()
	s.eachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		st.Pools[p.name] = p.sched.Stats()
	})
	return st
}
