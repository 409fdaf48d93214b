// Package quota shares service between teams. It provides a weighted fair
// queue and per-team rate limits.
//
//	var queue quota.FairQueue[string]
//	team := queue.NewFlow(2)
//	queue.Push(team, "request", 0.1)
//	value, ok := queue.Take(func(string) quota.Choice { return quota.Accept })
//
// The package does not read a clock; the caller passes the current time.
package quota

import "time"

// Bucket is a token bucket. The zero value is empty and never fills.
type Bucket struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
}

// NewBucket returns a full bucket that refills at rate tokens per second and
// holds at most burst tokens.
func NewBucket(now time.Time, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, lastRefill: now}
}

// Take removes one token. It reports whether a token was available.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns the time until a token is available. It is zero when a token
// is available now, and negative when the bucket never gains a whole token.
func (b *Bucket) Delay(now time.Time) time.Duration {
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
	elapsed := now.Sub(b.lastRefill).Seconds()
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
}

// reconfigure changes the rate and the burst. It keeps the current tokens, up
// to the new burst.
func (b *Bucket) reconfigure(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Rate is one team's limit on requests per second.
type Rate struct {
	Team string
	// PerSecond is the sustained rate; zero means unlimited.
	PerSecond float64
	// Burst is the number of requests admitted at once; zero means the number
	// that the sustained rate admits in one second, and at least one.
	Burst float64
}

// Limiter limits the request rate of each configured team. Teams without a
// configured rate are not limited and use no memory, so the configuration
// bounds the size of the Limiter.
type Limiter struct {
	buckets map[string]*Bucket
}

// SetRates replaces the rates. Teams that remain configured keep their tokens.
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
			old.reconfigure(now, r.PerSecond, burst)
			next[r.Team] = old
			continue
		}
		next[r.Team] = NewBucket(now, r.PerSecond, burst)
	}
	l.buckets = next
}

// Allow reports whether a team's request is admitted, and charges it if so.
// For a rejected request, retryAfter is the time until the next request is
// admitted.
func (l *Limiter) Allow(now time.Time, team string) (ok bool, retryAfter time.Duration) {
	b := l.buckets[team]
	if b == nil || b.Take(now) {
		return true, 0
	}
	return false, b.Delay(now)
}
