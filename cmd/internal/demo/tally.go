package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonwinch/infra/standin"
)

// Bounds of the waiting time histograms, in microseconds.
const (
	minWaitUS = 1
	maxWaitUS = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// WaitSample is how long one answered call waited.
type WaitSample struct {
	// AtMS is when it was sent, in milliseconds since the start.
	AtMS   int64 `json:"at_ms"`
	WaitMS int64 `json:"wait_ms"`
	Long   bool  `json:"long,omitempty"`
	Urgent bool  `json:"urgent,omitempty"`
}

// tally counts the ends of calls.
type tally struct {
	mu      sync.Mutex
	sentAll int
	endAll  int
	counts  Result
	writes  []string
	notRun  []string
	short   *hdrhistogram.Histogram
	long    *hdrhistogram.Histogram
	urgent  *hdrhistogram.Histogram
	waits   []WaitSample
	reasons map[string]int
}

func newTally() *tally {
	return &tally{
		reasons: map[string]int{},
		short:   hdrhistogram.New(minWaitUS, maxWaitUS, digits),
		long:    hdrhistogram.New(minWaitUS, maxWaitUS, digits),
		urgent:  hdrhistogram.New(minWaitUS, maxWaitUS, digits),
	}
}

// progress returns how many calls were sent and how many have ended.
func (t *tally) progress() (sent, ended int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentAll, t.endAll
}

func (t *tally) open() int {
	sent, ended := t.progress()
	return sent - ended
}

func (t *tally) sent(c call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAll++
	t.counts.Sent++
	if !c.repeatable && c.first {
		t.writes = append(t.writes, c.id)
	}
}

// ended counts one end. It compares the node's word with the ledger's.
func (t *tally) ended(c call, e end, ledger *standin.Ledger) {
	run := ledger.Run(c.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endAll++
	if e.reason != "" {
		t.reasons[e.outcome+" "+e.reason]++
	}
	switch {
	case e.broken:
		t.counts.Lost++
	case e.crossed:
		t.counts.Crossed++
	case e.outcome == "answered":
		t.counts.Answered++
		if run.Started == 0 {
			t.counts.FalseWords++
		}
		t.wait(c, e)
	case e.outcome == "not-run":
		t.counts.NotRun++
		if c.resend == 0 {
			t.notRun = append(t.notRun, c.id)
		}
	case e.outcome == "unknown":
		t.counts.Unknown++
	default:
		t.counts.Lost++
	}
}

// wait notes how long an answered call waited beyond its run time.
func (t *tally) wait(c call, e end) {
	if !c.first || c.resend != 0 {
		return
	}
	waited := max(e.took-c.run, 0)
	histogram := t.short
	if c.long() {
		histogram = t.long
	}
	_ = histogram.RecordValue(max(waited.Microseconds(), minWaitUS))
	if c.urgent {
		_ = t.urgent.RecordValue(max(waited.Microseconds(), minWaitUS))
	}
	t.waits = append(t.waits, WaitSample{AtMS: e.at.Milliseconds(), WaitMS: waited.Milliseconds(), Long: c.long(), Urgent: c.urgent})
}

// doubled counts the not repeatable requests that ran more than once.
func (t *tally) doubled(ledger *standin.Ledger) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubled := 0
	for _, id := range t.writes {
		if ledger.Run(id).Started > 1 {
			doubled++
		}
	}
	return doubled
}

// ranAfterAll counts the calls told not run whose work ran, also later.
func (t *tally) ranAfterAll(ledger *standin.Ledger) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := 0
	for _, id := range t.notRun {
		if ledger.Run(id).Started > 0 {
			ran++
		}
	}
	return ran
}

func p99MS(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(99)) / 1000
}
