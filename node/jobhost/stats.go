package jobhost

import (
	"sync"
	"sync/atomic"
	"time"
)

// latencyBoundsMS are the upper bounds of the latency histograms' buckets.
var latencyBoundsMS = []int64{2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// histogram counts durations in fixed buckets.
type histogram struct {
	buckets [12]atomic.Int64
	sumMS   atomic.Int64
}

func (g *histogram) observe(d time.Duration) {
	ms := d.Milliseconds()
	g.sumMS.Add(ms)
	for i, bound := range latencyBoundsMS {
		if ms <= bound {
			g.buckets[i].Add(1)
			return
		}
	}
	g.buckets[len(latencyBoundsMS)].Add(1)
}

// hostStats are the host's counters.
type hostStats struct {
	storeWrites, storeReads atomic.Int64
	polls, starts           atomic.Int64
	appendTime              histogram

	mu       sync.Mutex
	requests map[requestLabel]int64
	latency  map[Operation]*histogram
}

type requestLabel struct {
	op      Operation
	outcome Outcome
}

func (s *hostStats) count(op Operation, outcome Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[requestLabel]int64{}
		s.latency = map[Operation]*histogram{}
	}
	s.requests[requestLabel{op, outcome}]++
	if s.latency[op] == nil {
		s.latency[op] = &histogram{}
	}
	s.latency[op].observe(took)
}
