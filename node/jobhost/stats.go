package jobhost

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonwinch/node/telemetry"
)

// hostStats holds the host's counters and histograms.
type hostStats struct {
	storeWrites, storeReads atomic.Int64
	polls, starts           atomic.Int64
	tasksGivenUp            atomic.Int64
	roomExchanges           atomic.Int64
	// relayedAnswered and relayedGivenUp count the orders sent through relays.
	relayedAnswered, relayedGivenUp atomic.Int64
	// appendLatency and requestLatency are nil if metrics are not registered.
	appendLatency, requestLatency *telemetry.Histogram

	refusals refusalCount
	// bounds counts by reason what met a bound of this node.
	bounds refusalCount

	mu       sync.Mutex
	requests map[requestLabel]int64
	// runsLost counts the runs that ended with their worker, by cause.
	runsLost map[string]int64
}

// countLostRun counts a run that was settled because its worker is gone.
func (s *hostStats) countLostRun(cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runsLost == nil {
		s.runsLost = map[string]int64{}
	}
	s.runsLost[cause]++
}

type requestLabel struct {
	op      Operation
	outcome Outcome
}

func (s *hostStats) countRequest(op Operation, outcome Outcome, took time.Duration) {
	s.requestLatency.Observe(took, telemetry.Label("operation", opNames[op]))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[requestLabel]int64{}
	}
	s.requests[requestLabel{op, outcome}]++
}

// RegisterMetrics registers the host's metrics.
func (h *Host) RegisterMetrics(m *telemetry.Metrics) error {
	var err error
	if h.stats.appendLatency, err = m.Histogram(telemetry.StoreLatency); err != nil {
		return err
	}
	if h.stats.requestLatency, err = m.Histogram(telemetry.JobLatency); err != nil {
		return err
	}
	return m.Observe(telemetry.JobInstruments(), h.readings)
}
