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
	longCut = 0.1
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
		p.short.add(now, p.span(), j.cost)
	case laneUrgent:
		p.urgent.add(now, p.urgentSpan(), j.cost)
	}
}

// The time over which load is measured.
const (
	windowRuns = 2
	minWindow  = 500 * time.Millisecond
	maxWindow  = 30 * time.Second
)

// span is how fast the load meters forget.
func (p *policy) span() span {
	median := p.threshold / longFactor
	return span{
		window:   min(max(windowRuns*median, minWindow), maxWindow),
		peakHalf: max(peakHalfRuns*median, minPeakHalfLife),
	}
}

// Urgent load is measured over urgentWindow, and its peaks are forgotten by
// half after urgentPeakHalfLife: the reserve must be there before the slots
// fill with long work.
const (
	urgentWindow       = 10 * time.Second
	urgentPeakHalfLife = 30 * time.Minute
)

// urgentSpan is how fast the meter of urgent load forgets.
func (p *policy) urgentSpan() span {
	return span{window: urgentWindow, peakHalf: urgentPeakHalfLife}
}

// span is how fast a loadMeter forgets load and its peak.
type span struct {
	window, peakHalf time.Duration
}

// learn counts the run time of a whole answer.
func (p *policy) learn(now time.Time, d time.Duration) {
	p.times.Add(now, poolHalfLife, d)
	p.learned++
	if p.learned%medianEvery == 1 || p.learned < medianEvery {
		p.threshold = max(minThreshold, longFactor*p.times.Quantile(0.5))
	}
}

// loadMeter measures offered work in slots, over a sliding window, and
// remembers its peaks.
type loadMeter struct {
	load float64
	peak float64
	last time.Time
}

// How fast a peak of load is forgotten: it counts half after peakHalfRuns
// median runs, or minPeakHalfLife if that is longer.
const (
	peakHalfRuns    = 8
	minPeakHalfLife = 2 * time.Second
)

// peakAt is the highest load of late.
func (m *loadMeter) peakAt(now time.Time, sp span) float64 {
	m.at(now, sp)
	return m.peak
}

func (m *loadMeter) add(now time.Time, sp span, work time.Duration) {
	m.at(now, sp)
	m.load += work.Seconds() / sp.window.Seconds()
	m.peak = max(m.peak, m.load)
}

// at is the load now.
func (m *loadMeter) at(now time.Time, sp span) float64 {
	elapsed := now.Sub(m.last).Seconds()
	if elapsed <= 0 {
		return m.load
	}
	m.last = now
	if m.peak > 0 {
		m.load *= math.Exp(-elapsed / sp.window.Seconds())
		m.peak = max(m.load, m.peak*math.Exp2(-elapsed/sp.peakHalf.Seconds()))
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
	j.safe = j.req.Declared > 0 && p.Known && p.LongShare <= lendRisk && p.P90 <= s.opts.UrgentBound/2
	switch {
	case j.req.Class == dispatch.ClassUrgent:
		j.lane = laneUrgent
	case threshold > 0 && p.LongShare >= longCut && !s.tooDoubtful(j, p.LongShare):
		j.lane = laneLong
		j.cost = p.Mean
	default:
		j.lane = laneShort
	}
}

// tooDoubtful says whether a job that is more likely short than long would
// miss its deadline behind the long ones, while short work doesn't wait.
func (s *Scheduler) tooDoubtful(j *job, longShare float64) bool {
	if longShare >= 0.5 || j.req.Deadline.IsZero() || s.lanes[laneShort].queue.Len() > 0 {
		return false
	}
	ahead := s.lanes[laneLong].queue.Work()
	wait := time.Duration(ahead / float64(s.longFloor()) * float64(time.Second))
	return j.queuedAt.Add(wait + j.p90).After(j.deadline)
}

func keyOf(r *dispatch.Request) runtimes.Key {
	return runtimes.Key{Service: r.Service, Route: r.Route}
}

// How the slots are divided.
const (
	// protectFloorShare is one divided by the least share of slots that long
	// work can't take.
	protectFloorShare = 4
	// urgentCeilingShare is one divided by the largest share of slots kept
	// free for urgent work.
	urgentCeilingShare = 4
	// lendRisk is up to which probability of a long run a request may borrow
	// a slot held for urgent work.
	lendRisk = 0.005
	// safePerHeld is how many requests that are all but sure to end soon must
	// be in progress for each held slot to be lent.
	safePerHeld = 4
	// minForHold is below how many slots none is kept free.
	minForHold = 4
	// spread is how many standard deviations of load the reserves allow for.
	spread = 1.5
)

// reserve is the number of slots for a load, with room for its spread.
func reserve(load float64) int { return int(math.Ceil(load + spread*math.Sqrt(load))) }

// urgentHold is the number of slots kept free for urgent work.
func (s *Scheduler) urgentHold(now time.Time) int {
	total := s.workers.total
	if total < minForHold {
		return 0
	}
	load := s.policy.urgent.peakAt(now, s.policy.urgentSpan())
	need := reserve(load) - s.lanes[laneUrgent].running
	return min(max(s.opts.UrgentReserve, need), max(1, total/urgentCeilingShare))
}

// longFloor is the number of slots that long work gets before short work.
func (s *Scheduler) longFloor() int {
	return max(1, int(s.opts.LongShare*float64(s.workers.total)))
}

// longLimit is the number of slots that long work may take.
func (s *Scheduler) longLimit(now time.Time, hold int) int {
	total := s.workers.total
	load := s.policy.short.peakAt(now, s.policy.span())
	protect := max(1, total/protectFloorShare, reserve(load))
	return max(s.longFloor(), total-hold-protect)
}

// mayLend says whether safe short work may take the slots held for urgent
// work: only while enough work in progress is all but sure to end soon. Work
// that declares nothing is never safe, so a flood of it leaves the reserve.
func (s *Scheduler) mayLend(hold int) bool { return s.safe >= safePerHeld*hold }
