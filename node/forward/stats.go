package forward

import (
	"sync/atomic"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/scheduler"
)

// counters counts events since the start.
type counters struct {
	arrived, answered, notRun, unknown atomic.Uint64
	duplicates, retried, relayed       atomic.Uint64
	refusedByWorker, violations        atomic.Uint64
}

func (c *counters) count(res result) {
	switch res.outcome {
	case dispatch.OutcomeAnswered:
		c.answered.Add(1)
	case dispatch.OutcomeNotRun:
		c.notRun.Add(1)
	case dispatch.OutcomeUnknown:
		c.unknown.Add(1)
	}
	if res.duplicate {
		c.duplicates.Add(1)
	}
}

// Stats is a snapshot of the request path. Counts are since the start.
type Stats struct {
	// Arrived counts the requests, including relayed ones.
	Arrived uint64 `json:"arrived"`
	// Answered, NotRun and Unknown count the requests by outcome.
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	// Duplicates counts the answers returned to duplicates.
	Duplicates uint64 `json:"duplicates"`
	// Retried counts the retries of repeatable requests.
	Retried uint64 `json:"retried"`
	// Relayed counts the requests relayed to another zone.
	Relayed uint64 `json:"relayed"`
	// RefusedByWorker counts the refusals by workers.
	RefusedByWorker uint64 `json:"refused_by_worker"`
	// Violations counts broken invariants. It is expected to stay zero.
	Violations uint64 `json:"violations"`
	// InFlight is the number of requests in progress and queued.
	InFlight int `json:"in_flight"`
	// BodyBytes is the total size of the request bodies in memory, in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// Claims is the number of claims that this node keeps as a home node.
	Claims int `json:"claims"`
	// Executions is the number of executions of claimed requests that this
	// node tracks.
	Executions int `json:"works"`
	// AnswerBytes is the total size of the answers retained for duplicates,
	// in bytes.
	AnswerBytes int `json:"answer_bytes"`
	// Pools holds the scheduler statistics by pool.
	Pools map[string]scheduler.Stats `json:"pools"`
}

// Stats returns a snapshot of the request path.
func (s *Server) Stats() Stats {
	stats := Stats{
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
		BodyBytes:       s.cfg.Gate.HeldBytes(),
		Pools:           make(map[string]scheduler.Stats),
	}
	stats.Claims, stats.Executions, stats.AnswerBytes = s.claims.sizes()
	s.forEachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		stats.Pools[p.name] = p.sched.Stats()
	})
	return stats
}
