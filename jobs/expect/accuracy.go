package expect

import (
	"maps"
	"math"
	"slices"
)

// accuracyShare is the weight of the newest step in the mean errors.
const accuracyShare = 0.02

// accuracy holds the mean errors of a queue's expectations.
type accuracy struct{ declared, expected float64 }

// noteAccuracy compares a finished step with what was declared, and with what
// would be expected of the same step just before its end.
func (l *Learner) noteAccuracy(s *Step, o Outcome) {
	e := l.Expect(*s)
	if e.Source == FromDeclared || s.DeclaredMS <= 0 {
		return
	}
	declared, expected := errorFactor(s.DeclaredMS, o.MeanMS), errorFactor(e.TaskMS, o.MeanMS)
	a := l.accuracy[s.Queue]
	if a == nil {
		if len(l.accuracy) >= maxQueues {
			clear(l.accuracy)
		}
		l.accuracy[s.Queue] = &accuracy{declared, expected}
		return
	}
	a.declared += accuracyShare * (declared - a.declared)
	a.expected += accuracyShare * (expected - a.expected)
}

// errorFactor returns the logarithm of the factor by which an estimate is off.
func errorFactor(estimateMS, actualMS int64) float64 {
	return math.Abs(math.Log(float64(max(estimateMS, 1)) / float64(max(actualMS, 1))))
}

// QueueStats is what is known of a queue.
type QueueStats struct {
	Queue string `cbor:"1,keyasint" json:"queue"`
	// Steps is the decayed number of finished steps.
	Steps float64 `cbor:"2,keyasint" json:"steps"`
	// MeanMS and P90MS are the run time of one task.
	MeanMS int64 `cbor:"3,keyasint" json:"mean_ms"`
	P90MS  int64 `cbor:"4,keyasint" json:"p90_ms"`
	// DeclaredFactor and ExpectedFactor are the factors by which declared and
	// expected run times are off on average.
	DeclaredFactor float64 `cbor:"5,keyasint" json:"declared_factor"`
	ExpectedFactor float64 `cbor:"6,keyasint" json:"expected_factor"`
}

// Stats returns what is known of the queues for which run times are expected,
// by name.
func (l *Learner) Stats() []QueueStats {
	stats := make([]QueueStats, 0, len(l.accuracy))
	for _, name := range slices.Sorted(maps.Keys(l.accuracy)) {
		s, _ := l.QueueStats(name)
		stats = append(stats, s)
	}
	return stats
}

// QueueStats returns what is known of a queue. It reports false if the declared
// run times are used.
func (l *Learner) QueueStats(queue string) (QueueStats, bool) {
	p, a := l.queues.Predict(queueKey(queue), 0, 0), l.accuracy[queue]
	if a == nil {
		return QueueStats{}, false
	}
	return QueueStats{
		Queue: queue, Steps: p.Weight, MeanMS: p.Mean.Milliseconds(), P90MS: p.P90.Milliseconds(),
		DeclaredFactor: math.Exp(a.declared), ExpectedFactor: math.Exp(a.expected),
	}, true
}

// Histories returns the number of histories that the learner holds.
func (l *Learner) Histories() int {
	n := l.queues.Routes()
	for _, e := range l.customers.entries {
		n += e.Value.(*lruEntry[customerHistories]).value.Routes()
	}
	return n
}
