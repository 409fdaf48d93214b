// Package retry limits retries to a fraction of the traffic, so that failures
// do not multiply the load.
//
//	b := retry.NewBudget(retry.Options{Ratio: 0.1})
//	b.RecordRequest(now)       // for each first attempt
//	if b.TrySpend(now) { ... } // one retry may be sent
//
// The package does not read a clock; the caller passes the current time.
package retry

import (
	"math"
	"time"
)

// The defaults of [Options], and the bounds of [Backoff].
const (
	defaultRatio        = 0.2
	defaultMinRate      = 1.0
	defaultWindow       = 10 * time.Second
	defaultMinBurst     = 20.0
	defaultInitialDelay = 50 * time.Millisecond
	defaultMaxDelay     = 5 * time.Second
)

// Options configures a [Budget]. Zero fields take their defaults.
type Options struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// MinRate is the number of retries per second allowed regardless of
	// traffic.
	MinRate float64
	// Window is the span of recent traffic whose unused retries accumulate.
	Window time.Duration
	// MinBurst is the number of unused retries that can accumulate regardless
	// of traffic.
	MinBurst float64
}

// Budget is a token bucket that first attempts refill and retries drain. It is
// not safe for concurrent use.
type Budget struct {
	opts       Options
	tokens     float64
	lastUpdate time.Time
	// requestRate is the exponentially decayed rate of first attempts, per
	// second.
	requestRate float64
}

// NewBudget returns a budget that starts with MinBurst retries.
func NewBudget(opts Options) *Budget {
	if opts.Ratio <= 0 {
		opts.Ratio = defaultRatio
	}
	if opts.MinRate <= 0 {
		opts.MinRate = defaultMinRate
	}
	if opts.Window <= 0 {
		opts.Window = defaultWindow
	}
	if opts.MinBurst <= 0 {
		opts.MinBurst = defaultMinBurst
	}
	return &Budget{opts: opts, tokens: opts.MinBurst}
}

// RecordRequest records one first attempt and adds its Ratio of a retry to the
// budget.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requestRate += 1 / b.opts.Window.Seconds()
	b.tokens = min(b.tokens+b.opts.Ratio, b.maxTokens())
}

// TrySpend withdraws one retry. It reports whether the budget allows the retry.
func (b *Budget) TrySpend(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxTokens returns the maximum number of unused retries: those that the
// traffic of one window earns, and at least MinBurst.
func (b *Budget) maxTokens() float64 {
	return max(b.opts.MinBurst, b.opts.Ratio*b.requestRate*b.opts.Window.Seconds())
}

// advance decays the request rate and adds the retries of MinRate for the time
// since the last update.
func (b *Budget) advance(now time.Time) {
	if b.lastUpdate.IsZero() {
		b.lastUpdate = now
		return
	}
	elapsed := now.Sub(b.lastUpdate)
	if elapsed <= 0 {
		return
	}
	b.lastUpdate = now
	b.requestRate *= math.Exp(-elapsed.Seconds() / b.opts.Window.Seconds())
	b.tokens = min(b.tokens+b.opts.MinRate*elapsed.Seconds(), b.maxTokens())
}

// Backoff returns how long to wait before a retry; attempt is 1 for the first
// retry. The delay doubles with each attempt up to a maximum. The second half
// of it is jitter derived from the seed, which the caller takes from the
// request id.
func Backoff(attempt int, seed uint64) time.Duration {
	delay := defaultInitialDelay
	for i := 1; i < attempt && delay < defaultMaxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, defaultMaxDelay)
	const jitterSteps = 1 << 10
	jitter := time.Duration(seed%jitterSteps) * delay / (2 * jitterSteps)
	return delay/2 + jitter
}
