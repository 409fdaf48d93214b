// Package admit decides whether a loaded pool accepts a job. A job that cannot
// finish in time is refused before it is stored, so that its caller can retry
// when the pool has capacity.
package admit

// Retry delays returned with a refusal, and the parameters of the estimate.
const (
	// UnavailableRetryMS is used while the store accepts no records and while
	// no worker is reachable.
	UnavailableRetryMS = 1_000
	// UnplaceableRetryMS is used when no worker can hold one of the job's
	// tasks: only a change of the pool's workers helps.
	UnplaceableRetryMS = 60_000
	// minRetryMS keeps callers from retrying before anything has changed.
	minRetryMS = 300
	// maxRetryMS is about one phase of the queues' demand.
	maxRetryMS = 5_000
	// packingShare is the share of a pool's cores that tasks of mixed sizes
	// fill.
	packingShare = 0.85
	// incomingDelayMS is the mean time until VMs that are moving to the pool
	// arrive: most of the duration of a move.
	incomingDelayMS = 1_500
	// criticalPathShare of a job's estimated critical path must fit into its
	// slack: estimates are off by half in both directions.
	criticalPathShare = 0.7
)

// Load is the work and the capacity of a pool.
type Load struct {
	// WaitingWork is the accepted work that is not placed yet, in milli-CPU
	// milliseconds.
	WaitingWork int64
	// CapacityMilliCPU is the capacity of all workers, FreeMilliCPU the unused
	// part of it.
	CapacityMilliCPU, FreeMilliCPU int64
	// IncomingMilliCPU is the capacity of the VMs that are moving to the pool.
	IncomingMilliCPU int64
}

// estimatedWaitMS estimates how long the pool needs for its waiting work.
func (l Load) estimatedWaitMS() int64 {
	rate := float64(l.CapacityMilliCPU) * packingShare
	doneBefore := rate * incomingDelayMS
	if l.IncomingMilliCPU == 0 || float64(l.WaitingWork) <= doneBefore {
		return int64(float64(l.WaitingWork) / rate)
	}
	laterRate := rate + float64(l.IncomingMilliCPU)*packingShare
	return incomingDelayMS + int64((float64(l.WaitingWork)-doneBefore)/laterRate)
}

// Request describes the job to be admitted.
type Request struct {
	Work int64
	// InitialMilliCPU is the sum requested by the steps that can start at
	// once.
	InitialMilliCPU int64
	// CriticalPathMS is the longest chain of estimated step run times, SlackMS
	// the time left until the deadline for the job's full value.
	CriticalPathMS, SlackMS int64
	Lasting, Scheduled      bool
}

// Decision is the result of an admission check.
type Decision struct {
	Accept       bool
	Reason       string
	RetryAfterMS int64
}

// Decide always admits lasting and scheduled jobs. It admits other jobs if the
// work ahead of them leaves enough time for their critical path, or if workers
// would otherwise be idle.
func Decide(l Load, r Request) Decision {
	if r.Lasting || r.Scheduled {
		return Decision{Accept: true}
	}
	if l.CapacityMilliCPU <= 0 {
		return Decision{Reason: "no_worker_in_reach", RetryAfterMS: UnavailableRetryMS}
	}
	wait := l.estimatedWaitMS()
	if wait+int64(criticalPathShare*float64(r.CriticalPathMS)) <= r.SlackMS {
		return Decision{Accept: true}
	}
	if l.WaitingWork == 0 && r.InitialMilliCPU <= l.FreeMilliCPU/2 {
		return Decision{Accept: true}
	}
	overrun := wait + r.CriticalPathMS - r.SlackMS
	return Decision{Reason: "too_much_ahead", RetryAfterMS: min(max(overrun, minRetryMS), maxRetryMS)}
}
