// Package retry bounds retries to a share of the traffic, so that failures
// never multiply the load.
//
//	b := retry.NewBudget(retry.Options{Share: 0.1})
//	b.Request(now)          // for each first attempt
//	if b.Spend(now) { ... } // one retry may go
//
// Time is an argument; nothing here reads a clock.
package retry

import (
	"math"
	"time"
)

// The defaults of Options.
const (
	defaultShare      = 0.2
	defaultMinRate    = 1.0
	defaultWindow     = 10 * time.Second
	defaultMinBurst   = 20.0
	defaultFirstDelay = 50 * time.Millisecond
	defaultMaxDelay   = 5 * time.Second
)

// Options configures a Budget. Zero fields take their defaults.
type Options struct {
	// Share is the retries allowed for each first attempt.
	Share float64
	// MinRate is the retries a second allowed at any traffic.
	MinRate float64
	// Window is how much traffic's worth of unused retries is kept.
	Window time.Duration
	// MinBurst is the least number of unused retries kept.
	MinBurst float64
}

// Budget is a token bucket that first attempts fill. It is not safe for
// concurrent use.
type Budget struct {
	opts   Options
	tokens float64
	last   time.Time
	// rate is the decayed number of first attempts a second.
	rate float64
}

// NewBudget returns a budget with MinBurst retries in hand.
func NewBudget(opts Options) *Budget {
	if opts.Share <= 0 {
		opts.Share = defaultShare
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

// Request counts one first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.rate += 1 / b.opts.Window.Seconds()
	b.tokens = min(b.tokens+b.opts.Share, b.burst())
}

// Spend takes one retry; it reports false when the budget is spent.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// burst is the most unused retries kept: those of one window's traffic.
func (b *Budget) burst() float64 {
	return max(b.opts.MinBurst, b.opts.Share*b.rate*b.opts.Window.Seconds())
}

func (b *Budget) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.rate *= math.Exp(-elapsed.Seconds() / b.opts.Window.Seconds())
	b.tokens = min(b.tokens+b.opts.MinRate*elapsed.Seconds(), b.burst())
}

// Delay is how long to wait before the given attempt, counted from 1 for the
// first retry. It doubles and is spread by the seed, which the caller takes
// from the request's id.
func Delay(attempt int, seed uint64) time.Duration {
	delay := defaultFirstDelay
	for i := 1; i < attempt && delay < defaultMaxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, defaultMaxDelay)
	const spread = 1 << 10
	part := time.Duration(seed%spread) * delay / (2 * spread)
	return delay/2 + part
}
