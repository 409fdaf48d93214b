package standin

import (
	"sync"
	"time"
)

// Run counts the runs of one request ID on all backends.
type Run struct {
	// Started counts the runs that started.
	Started int
	// Finished counts the runs that completed.
	Finished int
	// Interrupted counts the runs that a reboot of the backend interrupted.
	Interrupted int
	// Stopped counts the runs that a stop action ended.
	Stopped int
	// Checkpointed is the work completed as of the last checkpoint. The next run
	// of the request resumes from there.
	Checkpointed time.Duration
}

// Ledger records the runs of every request on all backends. Tests and the demo
// check the nodes' answers against it, because it does not depend on the nodes.
type Ledger struct {
	mu          sync.Mutex
	runs        map[string]*Run
	interrupted int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]*Run{}}
}

// Run returns the runs of one request.
func (l *Ledger) Run(id string) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run, ok := l.runs[id]; ok {
		return *run
	}
	return Run{}
}

// Interruptions returns the number of runs that a reboot of a backend
// interrupted, over all requests.
func (l *Ledger) Interruptions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupted
}

// Totals are sums over all requests.
type Totals struct {
	// Requests is the number of request IDs, Runs the number of started runs.
	Requests, Runs int
	// Repeated is the number of request IDs that ran more than once.
	Repeated int
}

// Totals returns the sums over all requests.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := Totals{Requests: len(l.runs)}
	for _, run := range l.runs {
		totals.Runs += run.Started
		if run.Started > 1 {
			totals.Repeated++
		}
	}
	return totals
}

func (l *Ledger) recordStart(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.runs[id]
	if !ok {
		run = &Run{}
		l.runs[id] = run
	}
	run.Started++
}

func (l *Ledger) recordFinish(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Finished++
}

func (l *Ledger) recordStop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Stopped++
}

func (l *Ledger) recordCheckpoint(id string, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Checkpointed = done
}

func (l *Ledger) recordInterruption(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Interrupted++
	l.interrupted++
}
