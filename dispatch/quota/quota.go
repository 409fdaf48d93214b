// Package quota shares service between teams: a weighted fair queue and rate
// limits.
//
//	var queue quota.FairQueue[string]
//	team := queue.NewFlow(2)
//	queue.Push(team, "request", 0.1)
//	value, ok := queue.Take(func(string) quota.Choice { return quota.Accept })
//
// Nothing here reads a clock: time is an argument.
package quota

import "time"

// Bucket is a token bucket. The zero value is empty and never fills.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket that refills at rate tokens a second up to
// burst tokens.
func NewBucket(now time.Time, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, last: now}
}

// Take takes one token; it reports false when there is none.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait is how long until one token is there; zero when there is one now, and
// negative when the bucket never fills.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.rate <= 0 || b.burst < 1 {
		return -1
	}
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Nanosecond
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.last).Seconds()
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
}

// set changes the rate and the burst and keeps the tokens.
func (b *Bucket) set(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Rate is one team's bound on requests a second.
type Rate struct {
	Team string
	// PerSecond is the sustained rate; zero means no bound.
	PerSecond float64
	// Burst is how many may come at once; zero means one second's worth.
	Burst float64
}

// Limiter bounds the request rate of each named team. Teams without a rate
// pass, so its memory is bounded by the configuration.
type Limiter struct {
	buckets map[string]*Bucket
}

// SetRates replaces the rates; teams that stay keep their tokens.
func (l *Limiter) SetRates(now time.Time, rates []Rate) {
	next := make(map[string]*Bucket, len(rates))
	for _, r := range rates {
		if r.PerSecond <= 0 {
			continue
		}
		burst := r.Burst
		if burst <= 0 {
			burst = max(1, r.PerSecond)
		}
		if old := l.buckets[r.Team]; old != nil {
			old.set(now, r.PerSecond, burst)
			next[r.Team] = old
			continue
		}
		next[r.Team] = NewBucket(now, r.PerSecond, burst)
	}
	l.buckets = next
}

// Allow takes one request of a team; when it reports false, retryAfter says
// when the next one passes.
func (l *Limiter) Allow(now time.Time, team string) (ok bool, retryAfter time.Duration) {
	b := l.buckets[team]
	if b == nil || b.Take(now) {
		return true, 0
	}
	return false, b.Wait(now)
}
