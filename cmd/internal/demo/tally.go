package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonwinch/infra/standin"
)

// Range of the wait time histograms in microseconds, and their precision in
// significant decimal digits.
const (
	minWaitUS         = 1
	maxWaitUS         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// WaitSample is the wait time of one answered call.
type WaitSample struct {
	// AtMS is when the call was sent, in milliseconds since the start of the load.
	AtMS   int64 `json:"at_ms"`
	WaitMS int64 `json:"wait_ms"`
	Long   bool  `json:"long,omitempty"`
	Urgent bool  `json:"urgent,omitempty"`
}

// tally counts calls and their results.
type tally struct {
	mu         sync.Mutex
	sentCount  int
	endedCount int
	counts     Result
	// nonRepeatableIDs holds the ids of the non-repeatable requests.
	nonRepeatableIDs []string
	// notRunIDs holds the ids of the calls without a duplicate whose outcome
	// was not-run.
	notRunIDs   []string
	shortWaits  *hdrhistogram.Histogram
	longWaits   *hdrhistogram.Histogram
	urgentWaits *hdrhistogram.Histogram
	waits       []WaitSample
	reasons     map[string]int
}

func newTally() *tally {
	return &tally{
		reasons:     map[string]int{},
		shortWaits:  hdrhistogram.New(minWaitUS, maxWaitUS, significantDigits),
		longWaits:   hdrhistogram.New(minWaitUS, maxWaitUS, significantDigits),
		urgentWaits: hdrhistogram.New(minWaitUS, maxWaitUS, significantDigits),
	}
}

// progress returns the numbers of calls sent and calls ended.
func (t *tally) progress() (sent, ended int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentCount, t.endedCount
}

func (t *tally) unfinished() int {
	sent, ended := t.progress()
	return sent - ended
}

func (t *tally) recordSent(c call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentCount++
	t.counts.Sent++
	if !c.repeatable && c.firstSend {
		t.nonRepeatableIDs = append(t.nonRepeatableIDs, c.id)
	}
}

// recordResult counts the result of a call. An answered call that the ledger has
// no run of counts as a false outcome.
func (t *tally) recordResult(c call, result callResult, ledger *standin.Ledger) {
	run := ledger.Run(c.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endedCount++
	if result.reason != "" {
		t.reasons[result.outcome+" "+result.reason]++
	}
	switch {
	case result.noAnswer:
		t.counts.Lost++
	case result.crossed:
		t.counts.Crossed++
	case result.outcome == "answered":
		t.counts.Answered++
		if run.Started == 0 {
			t.counts.FalseOutcomes++
		}
		t.recordWait(c, result)
	case result.outcome == "not-run":
		t.counts.NotRun++
		if c.resendAfter == 0 {
			t.notRunIDs = append(t.notRunIDs, c.id)
		}
	case result.outcome == "unknown":
		t.counts.Unknown++
	default:
		t.counts.Lost++
	}
}

// recordWait records how long an answered call took beyond its run time. Calls
// with a duplicate are left out.
func (t *tally) recordWait(c call, result callResult) {
	if !c.firstSend || c.resendAfter != 0 {
		return
	}
	waited := max(result.duration-c.runTime, 0)
	histogram := t.shortWaits
	if c.isLong() {
		histogram = t.longWaits
	}
	_ = histogram.RecordValue(max(waited.Microseconds(), minWaitUS))
	if c.urgent {
		_ = t.urgentWaits.RecordValue(max(waited.Microseconds(), minWaitUS))
	}
	t.waits = append(t.waits, WaitSample{AtMS: result.sentAfter.Milliseconds(), WaitMS: waited.Milliseconds(), Long: c.isLong(), Urgent: c.urgent})
}

// countDoubled returns the number of non-repeatable requests that ran more than
// once.
func (t *tally) countDoubled(ledger *standin.Ledger) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubled := 0
	for _, id := range t.nonRepeatableIDs {
		if ledger.Run(id).Started > 1 {
			doubled++
		}
	}
	return doubled
}

// countRanDespiteNotRun returns the number of calls that were answered not-run
// although the request ran, before or after that answer.
func (t *tally) countRanDespiteNotRun(ledger *standin.Ledger) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := 0
	for _, id := range t.notRunIDs {
		if ledger.Run(id).Started > 0 {
			ran++
		}
	}
	return ran
}

func p99MS(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(99)) / 1000
}
