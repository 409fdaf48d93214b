package scheduler

import (
	"container/heap"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/quota"
)

// laneID identifies a lane.
type laneID uint8

// The lanes, highest priority first.
const (
	laneUrgent laneID = iota
	laneShort
	laneLong
	laneCount
)

// job is the state of one submitted request until it ends. lane is the lane in
// which it is queued; runningLane is the lane to which it is charged while it is
// in progress, which is laneLong after an overrun.
type job struct {
	ticket      Ticket
	req         *dispatch.Request
	team        *team
	lane        laneID
	runningLane laneID
	cost        time.Duration
	median      time.Duration
	p90         time.Duration
	deadline    time.Time
	queuedAt    time.Time
	entry       *quota.Entry[*job]

	worker        *workerState
	startedAt     time.Time
	runningIndex  int
	attempts      int
	lost          int
	avoided       [maxAvoided]string
	reliablyShort bool
	preempting    bool
	ended         bool

	timers [timerCount]timer
}

// maxAvoided limits the workers that a job remembers to avoid on a retry.
const maxAvoided = 3

func (j *job) avoids(worker string) bool {
	for _, id := range j.avoided {
		if id == worker {
			return true
		}
	}
	return false
}

func (j *job) avoidWorker(worker string) {
	if worker == "" || j.avoids(worker) {
		return
	}
	copy(j.avoided[1:], j.avoided[:maxAvoided-1])
	j.avoided[0] = worker
}

// timerKind identifies one of a job's timers.
type timerKind uint8

// The timers of a job.
const (
	deadlineTimer timerKind = iota
	overrunTimer
	timerCount
)

// timer is a job's entry in a timerHeap. index is one-based; zero means that
// the job is not in the heap.
type timer struct {
	at    time.Time
	index int
}

// timerHeap orders jobs by their timers of one kind. stale counts the ended
// jobs that are still in the heap.
type timerHeap struct {
	kind  timerKind
	jobs  []*job
	stale int
}

// minStale is the number of ended jobs below which a heap is not compacted.
const minStale = 64

// markStale counts an ended job that stays in the heap until it is popped or
// compacted.
func (h *timerHeap) markStale(j *job) {
	if j.timers[h.kind].index > 0 {
		h.stale++
	}
}

// compact removes the ended jobs once they make up at least half of the heap,
// which amortizes to O(1) for each ended job.
func (h *timerHeap) compact() {
	if h.stale < minStale || 2*h.stale < len(h.jobs) {
		return
	}
	live := h.jobs[:0]
	for _, j := range h.jobs {
		j.timers[h.kind].index = 0
		if !j.ended {
			live = append(live, j)
			j.timers[h.kind].index = len(live)
		}
	}
	clear(h.jobs[len(live):])
	h.jobs = live
	h.stale = 0
	heap.Init(h)
}

func (h *timerHeap) set(j *job, at time.Time) {
	h.remove(j)
	j.timers[h.kind].at = at
	heap.Push(h, j)
}

func (h *timerHeap) remove(j *job) {
	if i := j.timers[h.kind].index; i > 0 {
		heap.Remove(h, i-1)
	}
}

// popDue removes and returns one job whose timer is not after now, or nil.
func (h *timerHeap) popDue(now time.Time) *job {
	if len(h.jobs) == 0 || h.jobs[0].timers[h.kind].at.After(now) {
		return nil
	}
	j := heap.Pop(h).(*job)
	if j.ended {
		h.stale--
	}
	return j
}

// earliest returns the time of the earliest timer, or the zero time if there is
// none.
func (h *timerHeap) earliest() time.Time {
	if len(h.jobs) == 0 {
		return time.Time{}
	}
	return h.jobs[0].timers[h.kind].at
}

// Len implements heap.Interface.
func (h *timerHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.jobs[i], h.jobs[j]
	if at, bt := a.timers[h.kind].at, b.timers[h.kind].at; !at.Equal(bt) {
		return at.Before(bt)
	}
	return a.ticket < b.ticket
}

// Swap implements heap.Interface.
func (h *timerHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].timers[h.kind].index = i + 1
	h.jobs[j].timers[h.kind].index = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	j := x.(*job)
	h.jobs = append(h.jobs, j)
	j.timers[h.kind].index = len(h.jobs)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	j.timers[h.kind].index = 0
	return j
}
