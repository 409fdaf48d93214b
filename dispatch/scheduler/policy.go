package scheduler

import (
	"math"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/runtimes"
)

// The classification of requests as long.
const (
	// longFactor is the multiple of the pool's median run time from which a run
	// is long.
	longFactor = 8
	// minLongThreshold is the run time below which no run is long.
	minLongThreshold = 20 * time.Millisecond
	// minLongProbability is the probability of a long run from which a request
	// is queued in the long lane.
	minLongProbability = 0.1
	// runTimeHalfLife is the half-life of an observed run time's weight.
	runTimeHalfLife = 10 * time.Minute
	// medianUpdateRuns is the number of observed runs between two computations
	// of the median. The median of fewer runs is computed after each run.
	medianUpdateRuns = 64
)

// loadStats holds the observed run times and load of the pool. longThreshold is
// the run time from which a run is long; zero until the first observation.
type loadStats struct {
	runTimes      runtimes.Histogram
	observed      int
	longThreshold time.Duration
	shortLoad     loadMeter
	urgentLoad    loadMeter
}

// recordArrival adds a new request to the load of its lane. The load of the long
// lane is not measured.
func (p *loadStats) recordArrival(now time.Time, j *job) {
	switch j.lane {
	case laneShort:
		p.shortLoad.add(now, p.shortDecay(), j.cost)
	case laneUrgent:
		p.urgentLoad.add(now, p.urgentDecay(), j.cost)
	}
}

// The window over which short load is measured: windowRuns median run times,
// within minWindow and maxWindow.
const (
	windowRuns = 2
	minWindow  = 500 * time.Millisecond
	maxWindow  = 30 * time.Second
)

// shortDecay returns the decay of the short load.
func (p *loadStats) shortDecay() decayParams {
	median := p.longThreshold / longFactor
	return decayParams{
		window:       min(max(windowRuns*median, minWindow), maxWindow),
		peakHalfLife: max(peakHalfLifeRuns*median, minPeakHalfLife),
	}
}

// Urgent load is measured over urgentWindow, and its peak halves every
// urgentPeakHalfLife. The half-life is long because the reserve must exist
// before long requests fill the slots.
const (
	urgentWindow       = 10 * time.Second
	urgentPeakHalfLife = 30 * time.Minute
)

// urgentDecay returns the decay of the urgent load.
func (p *loadStats) urgentDecay() decayParams {
	return decayParams{window: urgentWindow, peakHalfLife: urgentPeakHalfLife}
}

// decayParams sets how fast a loadMeter's load and peak decay.
type decayParams struct {
	window, peakHalfLife time.Duration
}

// observe records the run time of a complete answer.
func (p *loadStats) observe(now time.Time, d time.Duration) {
	p.runTimes.Add(now, runTimeHalfLife, d)
	p.observed++
	if p.observed%medianUpdateRuns == 1 || p.observed < medianUpdateRuns {
		p.longThreshold = max(minLongThreshold, longFactor*p.runTimes.Quantile(0.5))
	}
}

// loadMeter measures the offered load, in slots, as an exponentially weighted
// average, and its decaying peak.
type loadMeter struct {
	load float64
	peak float64
	last time.Time
}

// The half-life of a peak of short load: peakHalfLifeRuns median run times, but
// at least minPeakHalfLife.
const (
	peakHalfLifeRuns = 8
	minPeakHalfLife  = 2 * time.Second
)

// decayedPeak returns the decayed peak load at the given time.
func (m *loadMeter) decayedPeak(now time.Time, params decayParams) float64 {
	m.decay(now, params)
	return m.peak
}

func (m *loadMeter) add(now time.Time, params decayParams, work time.Duration) {
	m.decay(now, params)
	m.load += work.Seconds() / params.window.Seconds()
	m.peak = max(m.peak, m.load)
}

// decay decays the load and its peak up to now and returns the load.
func (m *loadMeter) decay(now time.Time, params decayParams) float64 {
	elapsed := now.Sub(m.last).Seconds()
	if elapsed <= 0 {
		return m.load
	}
	m.last = now
	if m.peak > 0 {
		m.load *= math.Exp(-elapsed / params.window.Seconds())
		m.peak = max(m.load, m.peak*math.Exp2(-elapsed/params.peakHalfLife.Seconds()))
	}
	return m.load
}

// classify predicts the run time of a job and chooses its lane.
func (s *Scheduler) classify(j *job) {
	threshold := s.load.longThreshold
	p := s.opts.Learner.Predict(routeKey(j.req), j.req.DeclaredRunTime, threshold)
	j.median = p.Median
	j.p90 = p.P90
	j.cost = p.CappedMean
	if threshold == 0 {
		j.cost = p.Mean
	}
	j.reliablyShort = j.req.DeclaredRunTime > 0 && p.HasHistory && p.LongProbability <= maxLendLongProbability && p.P90 <= s.opts.UrgentBound/2
	switch {
	case j.req.Class == dispatch.ClassUrgent:
		j.lane = laneUrgent
	case threshold > 0 && p.LongProbability >= minLongProbability && !s.missesDeadlineAsLong(j, p.LongProbability):
		j.lane = laneLong
		j.cost = p.Mean
	default:
		j.lane = laneShort
	}
}

// missesDeadlineAsLong reports whether a job that is more likely short than long
// would miss its deadline in the long lane while the short lane is empty. Such a
// job is queued as short.
func (s *Scheduler) missesDeadlineAsLong(j *job, longProbability float64) bool {
	if longProbability >= 0.5 || j.req.Deadline.IsZero() || s.lanes[laneShort].queue.Len() > 0 {
		return false
	}
	ahead := s.lanes[laneLong].queue.QueuedCost()
	wait := time.Duration(ahead / float64(s.minLongSlots()) * float64(time.Second))
	return j.queuedAt.Add(wait + j.p90).After(j.deadline)
}

func routeKey(r *dispatch.Request) runtimes.Key {
	return runtimes.Key{Service: r.Service, Route: r.Route}
}

// The division of the slots between the lanes.
const (
	// shortSlotsDivisor divides the slots into the minimum number that long
	// requests cannot take.
	shortSlotsDivisor = 4
	// urgentReserveDivisor divides the slots into the maximum number kept free
	// for urgent requests.
	urgentReserveDivisor = 4
	// maxLendLongProbability is the probability of a long run up to which a
	// request may use a slot reserved for urgent requests.
	maxLendLongProbability = 0.005
	// lendRatio is the number of reliably short requests that must be in
	// progress for each reserved slot before the reserve is lent.
	lendRatio = 4
	// minSlotsForReserve is the number of slots below which none is kept free.
	minSlotsForReserve = 4
	// loadStdDevs is the number of standard deviations of the load by which
	// slotsForLoad exceeds it.
	loadStdDevs = 1.5
)

// slotsForLoad returns the number of slots for a load, including a margin for
// its variation.
func slotsForLoad(load float64) int { return int(math.Ceil(load + loadStdDevs*math.Sqrt(load))) }

// urgentReserve returns the number of slots to keep free for urgent requests.
func (s *Scheduler) urgentReserve(now time.Time) int {
	total := s.workers.usableSlots
	if total < minSlotsForReserve {
		return 0
	}
	load := s.load.urgentLoad.decayedPeak(now, s.load.urgentDecay())
	need := slotsForLoad(load) - s.lanes[laneUrgent].running
	return min(max(s.opts.UrgentReserve, need), max(1, total/urgentReserveDivisor))
}

// minLongSlots returns the number of slots that long requests get before short
// ones.
func (s *Scheduler) minLongSlots() int {
	return max(1, int(s.opts.LongShare*float64(s.workers.usableSlots)))
}

// maxLongSlots returns the number of slots that long requests may take.
func (s *Scheduler) maxLongSlots(now time.Time, reserved int) int {
	total := s.workers.usableSlots
	load := s.load.shortLoad.decayedPeak(now, s.load.shortDecay())
	shortSlots := max(1, total/shortSlotsDivisor, slotsForLoad(load))
	return max(s.minLongSlots(), total-reserved-shortSlots)
}

// mayLend reports whether reliably short requests may take the slots reserved
// for urgent ones. They may only while enough reliably short requests are in
// progress, so that a slot becomes free soon. Requests without a declared run
// time are never reliably short, so a flood of them cannot use up the reserve.
func (s *Scheduler) mayLend(reserved int) bool { return s.reliablyShort >= lendRatio*reserved }
