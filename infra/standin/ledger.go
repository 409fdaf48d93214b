package standin

import (
	"sync"
	"time"
)

// Run is what the backends saw of one request ID.
type Run struct {
	// Started counts the runs that began.
	Started int
	// Finished counts the runs that came to their end.
	Finished int
	// Cut counts the runs that a stop of the backend ended early.
	Cut int
	// Stopped counts the runs that the platform was asked to stop.
	Stopped int
	// Saved is the work done as of the last checkpoint; the next run of the
	// request goes on from there.
	Saved time.Duration
}

// Ledger counts the runs of every request over all backends. It is the
// independent witness against which the nodes' answers are checked.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]*Run
	cut  int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]*Run{}}
}

// Of returns the runs of one request.
func (l *Ledger) Of(id string) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run, ok := l.runs[id]; ok {
		return *run
	}
	return Run{}
}

// Cut returns the number of runs that a planned stop ended early.
func (l *Ledger) Cut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Totals sums up all requests.
type Totals struct {
	// Requests counts the ids, Runs their runs.
	Requests, Runs int
	// Repeated counts the ids that ran more than once.
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

func (l *Ledger) started(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.runs[id]
	if !ok {
		run = &Run{}
		l.runs[id] = run
	}
	run.Started++
}

func (l *Ledger) finished(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Finished++
}

func (l *Ledger) stopped(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Stopped++
}

func (l *Ledger) save(id string, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Saved = done
}

func (l *Ledger) cutShort(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].Cut++
	l.cut++
}
