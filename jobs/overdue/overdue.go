// Package overdue decides when a call to a worker is overdue, so that another one is
// sent. A worker answers a poll as soon as one of its runs ends. While calls get lost, a
// lost poll hides the ends of all runs of its worker until its time-out, and a lost start
// holds up its job: with thirteen tasks a job, one call in twenty holds up every second job.
//
//	overdue.PollDue(run) <= now // the poll in flight should have reported the run's end
package overdue

const (
	// EvidenceMS is how long after an unanswered call more are expected to be lost.
	EvidenceMS = 10_000
	// StartMS is when a start without an answer is looked for: more than twice what
	// starts take through a relay between zones.
	StartMS = 250
	// MinPollAgeMS is the age from which a poll may be overdue, and the pause between
	// two checks of one worker.
	MinPollAgeMS = 200
	// graceMS is the time until a poll in flight reports an end.
	graceMS = 100
	// overrunFactor is the multiple of its expected time that a run may take.
	overrunFactor = 1.5
	// recheckShare of the age at which a late run was last seen at work passes
	// before it is looked for again; stragglers take several times as long.
	recheckShare, minRecheckMS = 0.5, 300
)

// Run is a run that a worker should report as ended. Times are in milliseconds.
type Run struct {
	StartedAt  int64
	ExpectedMS int64
	// SeenAt is when the worker last reported the run as being at work.
	SeenAt int64
}

// PollDue returns the time from which a poll that has not reported the end of the run is
// overdue.
func PollDue(r Run) int64 {
	due := r.StartedAt + int64(overrunFactor*float64(r.ExpectedMS)) + graceMS
	if r.SeenAt < due {
		return due
	}
	return r.SeenAt + max(minRecheckMS, int64(recheckShare*float64(r.SeenAt-r.StartedAt)))
}
