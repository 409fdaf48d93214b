package scheduler

import (
	"math"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/runtimes"
)

// What counts as long.
const (
	// longFactor is how many times the pool's median run time is long.
	longFactor = 8
	// minThreshold is below which nothing counts as long.
	minThreshold = 20 * time.Millisecond
	// longCut is from which probability of a long run on a request is queued
	// as long.
	longCut = 0.2
	// poolHalfLife is how fast the pool's run times are forgotten.
	poolHalfLife = 10 * time.Minute
	// medianEvery is after how many run times the median is computed again.
	medianEvery = 64
)

// policy holds what the scheduler has learned of the pool's load.
type policy struct {
	times     runtimes.Histogram
	learned   int
	threshold time.Duration
	short     loadMeter
	urgent    loadMeter
}

// arrived counts a new request towards the load.
func (p *policy) arrived(now time.Time, j *job) {
	switch j.lane {
	case laneShort:
		p.short.add(now, p.window(), j.cost)
	case laneUrgent:
		p.urgent.add(now, p.window(), j.cost)
	}
}

// The time over which load is measured.
const (
	windowRuns = 8
	minWindow  = 500 * time.Millisecond
	maxWindow  = 30 * time.Second
)

// window is the time over which load is measured.
func (p *policy) window() time.Duration {
	return min(max(windowRuns*p.threshold/longFactor, minWindow), maxWindow)
}

// learn counts the run time of a whole answer.
func (p *policy) learn(now time.Time, d time.Duration) {
	p.times.Add(now, poolHalfLife, d)
	p.learned++
	if p.learned%medianEvery == 1 || p.learned < medianEvery {
		p.threshold = max(minThreshold, longFactor*p.times.Quantile(0.5))
	}
}

// loadMeter measures offered work in slots, over a sliding window.
type loadMeter struct {
	load float64
	last time.Time
}

func (m *loadMeter) add(now time.Time, window, work time.Duration) {
	m.at(now, window)
	m.load += work.Seconds() / window.Seconds()
}

func (m *loadMeter) at(now time.Time, window time.Duration) float64 {
	if elapsed := now.Sub(m.last); elapsed > 0 {
		if m.load > 0 {
			m.load *= math.Exp(-elapsed.Seconds() / window.Seconds())
		}
		m.last = now
	}
	return m.load
}

// classify chooses the lane of a job and predicts its run time.
func (s *Scheduler) classify(j *job) {
	threshold := s.policy.threshold
	p := s.opts.Learner.Predict(keyOf(j.req), j.req.Declared, threshold)
	j.median = p.Median
	j.p90 = p.P90
	j.cost = p.MeanWithin
	if threshold == 0 {
		j.cost = p.Mean
	}
	switch {
	case j.req.Class == dispatch.ClassUrgent:
		j.lane = laneUrgent
	case threshold > 0 && p.LongShare >= longCut:
		j.lane = laneLong
		j.cost = p.Mean
	default:
		j.lane = laneShort
	}
}

func keyOf(r *dispatch.Request) runtimes.Key {
	return runtimes.Key{Service: r.Service, Route: r.Route}
}

// How the slots are divided.
const (
	// longFloorShare is one divided by the share of slots that long work gets
	// before short work.
	longFloorShare = 8
	// protectFloorShare is one divided by the least share of slots that long
	// work can't take.
	protectFloorShare = 4
	// urgentCeilingShare is one divided by the largest share of slots kept
	// free for urgent work.
	urgentCeilingShare = 4
	// minForHold is below how many slots none is kept free.
	minForHold = 4
	// spread is how many standard deviations of load the reserves allow for.
	spread = 1.0
	// quickPerHeld is how many requests that end soon must be in progress to
	// lend one slot of the urgent reserve to short work.
	quickPerHeld = 4
)

// reserve is the number of slots for a load, with room for its spread.
func reserve(load float64) int { return int(math.Ceil(load + spread*math.Sqrt(load))) }

// urgentHold is the number of slots kept free for urgent work.
func (s *Scheduler) urgentHold(now time.Time) int {
	total := s.workers.total
	if total < minForHold {
		return 0
	}
	load := s.policy.urgent.at(now, s.policy.window())
	need := reserve(load) - s.lanes[laneUrgent].running
	return min(max(1, need), max(1, total/urgentCeilingShare))
}

// longFloor is the number of slots that long work gets before short work.
func (s *Scheduler) longFloor() int { return max(1, s.workers.total/longFloorShare) }

// longLimit is the number of slots that long work may take.
func (s *Scheduler) longLimit(now time.Time, hold int) int {
	total := s.workers.total
	load := s.policy.short.at(now, s.policy.window())
	protect := max(1, total/protectFloorShare, reserve(load))
	return max(s.longFloor(), total-hold-protect)
}

// mayLend says whether short work may take the slots held for urgent work:
// only while enough requests in progress should end within the bound.
func (s *Scheduler) mayLend(hold int) bool { return s.quick >= quickPerHeld*hold }

// isQuick says whether a job should end well within the urgent bound.
func (s *Scheduler) isQuick(j *job) bool {
	return j.p90 > 0 && j.p90 <= s.opts.UrgentBound/2
}
