package jobhost

import "time"

// maxPassPause bounds the pause between two passes, so that a node that was
// suspended during a pass does not wait long afterwards.
const maxPassPause = 25 * time.Millisecond

// The pause after a short pass is shortPassFactor times as long as the pass, up to
// shortPassPause: far less than a call to a worker or to the store takes.
const (
	shortPassFactor = 6
	shortPassPause  = 3 * time.Millisecond
)

// passPacer decides how soon the next pass over the shards may begin. A pass
// costs the same for one event as for many. In the peak of a large pool there
// are thousands of events per second, and a pass for each of them would use up
// the processor. Passes therefore take at most half of the time, short ones a seventh, and
// the events of the pause are handled by one pass.
type passPacer struct{ nextAt time.Time }

// remaining returns how long the next pass has to wait.
func (p *passPacer) remaining(now time.Time) time.Duration { return p.nextAt.Sub(now) }

// passed records a pass.
func (p *passPacer) passed(began, ended time.Time) {
	took := ended.Sub(began)
	p.nextAt = ended.Add(min(max(took, min(shortPassFactor*took, shortPassPause)), maxPassPause))
}
