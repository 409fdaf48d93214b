// Package runtime learns how long a queue's tasks really run, from what their
// submitters guess and what was seen. Guesses are off by half and more; how
// much they say is learned as well.
//
//	e.Observe(guessMS, tookMS)
//	expected := e.Expect(guessMS)
package runtime

import "math"

const (
	// leastSeen is how many runs must have been seen before they outweigh the
	// submitter's guess.
	leastSeen = 30
	// memory is the weight that earlier runs keep with each new one: the last
	// few hundred count.
	memory = 0.997
	// leastSpread is the variance of the guesses, on a log scale, below which
	// their slope can't be told.
	leastSpread = 1e-3
)

// Estimator is a regression of the run time on the guess, both on a log
// scale. The zero value has seen nothing.
type Estimator struct {
	seen         float64
	x, y, xx, xy float64
}

// Observe adds one run that ended well.
func (e *Estimator) Observe(guessMS, tookMS int64) {
	if guessMS <= 0 || tookMS <= 0 {
		return
	}
	x, y := math.Log(float64(guessMS)), math.Log(float64(tookMS))
	e.seen = e.seen*memory + 1
	e.x = e.x*memory + x
	e.y = e.y*memory + y
	e.xx = e.xx*memory + x*x
	e.xy = e.xy*memory + x*y
}

// Expect returns the usual run time of a task with the given guess.
func (e *Estimator) Expect(guessMS int64) int64 {
	if e == nil || e.seen < leastSeen || guessMS <= 0 {
		return guessMS
	}
	mx, my := e.x/e.seen, e.y/e.seen
	spread := e.xx/e.seen - mx*mx
	slope := 0.0
	if spread > leastSpread {
		slope = min(max((e.xy/e.seen-mx*my)/spread, 0), 1)
	}
	return max(int64(math.Exp(my+slope*(math.Log(float64(guessMS))-mx))), 1)
}
