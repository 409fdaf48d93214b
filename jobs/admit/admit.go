// Package admit decides whether a job is taken when its pool is loaded: one
// that could not be finished in time is turned away before it is stored, so
// that its caller can come back when there is room.
package admit

// The times after which refused callers come back.
const (
	// StoreRetryMS is given while the store takes no records.
	StoreRetryMS = 1_000
	// ImpossibleRetryMS is given when no worker can hold a task: only a change
	// of the pool's workers helps.
	ImpossibleRetryMS = 60_000
	// minRetryMS keeps callers from returning before anything has changed.
	minRetryMS = 300
	// maxRetryMS is about one turn of the queues' demand.
	maxRetryMS = 5_000
	// packing is the share of a pool's cores that tasks of mixed sizes fill.
	packing = 0.85
	// comingMS is how long VMs on their way take on average: most of a move.
	comingMS = 1_500
	// chainShare of the estimated chain must fit: estimates are off by half,
	// both ways.
	chainShare = 0.7
)

// Load is what a pool has to do already.
type Load struct {
	// WaitingWork is accepted and not placed, in milli-CPU milliseconds.
	WaitingWork int64
	// CapacityMilliCPU is the room of all workers, FreeMilliCPU what is left.
	CapacityMilliCPU, FreeMilliCPU int64
	// ComingMilliCPU is on its way to the pool.
	ComingMilliCPU int64
}

// waitMS is how long the waiting work takes.
func (l Load) waitMS() int64 {
	rate := float64(l.CapacityMilliCPU) * packing
	done := rate * comingMS
	if l.ComingMilliCPU == 0 || float64(l.WaitingWork) <= done {
		return int64(float64(l.WaitingWork) / rate)
	}
	later := rate + float64(l.ComingMilliCPU)*packing
	return comingMS + int64((float64(l.WaitingWork)-done)/later)
}

// Ask is the job in question.
type Ask struct {
	Work int64
	// FirstMilliCPU is what its first tasks ask for together.
	FirstMilliCPU int64
	// ChainMS is the longest chain of its estimates, SlackMS the time left
	// until it loses its worth.
	ChainMS, SlackMS   int64
	Lasting, Scheduled bool
}

// Decision is the answer.
type Decision struct {
	Accept       bool
	Reason       string
	RetryAfterMS int64
}

// Decide admits lasting and scheduled jobs always, others if the work ahead
// of them leaves their chain enough time, or if workers would stay idle.
func Decide(l Load, a Ask) Decision {
	if a.Lasting || a.Scheduled {
		return Decision{Accept: true}
	}
	if l.CapacityMilliCPU <= 0 {
		return Decision{Reason: "no_worker_in_reach", RetryAfterMS: StoreRetryMS}
	}
	wait := l.waitMS()
	if wait+int64(chainShare*float64(a.ChainMS)) <= a.SlackMS {
		return Decision{Accept: true}
	}
	if l.WaitingWork == 0 && a.FirstMilliCPU <= l.FreeMilliCPU/2 {
		return Decision{Accept: true}
	}
	over := wait + a.ChainMS - a.SlackMS
	return Decision{Reason: "too_much_ahead", RetryAfterMS: min(max(over, minRetryMS), maxRetryMS)}
}
