package scheduler

import (
	"container/heap"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/quota"
)

// laneID names a lane.
type laneID uint8

// The lanes, in order of preference.
const (
	laneUrgent laneID = iota
	laneShort
	laneLong
	laneCount
)

// job is one submitted request until it ends.
type job struct {
	ticket   Ticket
	req      *dispatch.Request
	team     *team
	lane     laneID
	counted  laneID
	cost     time.Duration
	median   time.Duration
	p90      time.Duration
	deadline time.Time
	queuedAt time.Time
	entry    *quota.Entry[*job]

	worker    *workerState
	startedAt time.Time
	place     int
	attempts  int
	avoid     [maxAvoid]string
	safe      bool
	relieved  bool
	ended     bool

	timers [timerCount]timer
}

// maxAvoid is how many workers a request remembers not to go back to.
const maxAvoid = 3

func (j *job) avoids(worker string) bool {
	for _, id := range j.avoid {
		if id == worker {
			return true
		}
	}
	return false
}

func (j *job) addAvoid(worker string) {
	if worker == "" || j.avoids(worker) {
		return
	}
	copy(j.avoid[1:], j.avoid[:maxAvoid-1])
	j.avoid[0] = worker
}

// timerSlot names one of a job's timers.
type timerSlot uint8

// The timers of a job.
const (
	deadlineTimer timerSlot = iota
	overrunTimer
	timerCount
)

// timer is a place in a timerHeap; index is one-based, zero when not in it.
type timer struct {
	at    time.Time
	index int
}

// timerHeap orders jobs by one of their timers.
type timerHeap struct {
	slot timerSlot
	jobs []*job
	dead int
}

// minDead is below how many ended jobs a heap isn't worth compacting.
const minDead = 64

// abandon counts a job that ended and stays in the heap for now.
func (h *timerHeap) abandon(j *job) {
	if j.timers[h.slot].index > 0 {
		h.dead++
	}
}

// compact drops the ended jobs when they are the larger part: O(1) for each
// of them.
func (h *timerHeap) compact() {
	if h.dead < minDead || 2*h.dead < len(h.jobs) {
		return
	}
	live := h.jobs[:0]
	for _, j := range h.jobs {
		j.timers[h.slot].index = 0
		if !j.ended {
			live = append(live, j)
			j.timers[h.slot].index = len(live)
		}
	}
	clear(h.jobs[len(live):])
	h.jobs = live
	h.dead = 0
	heap.Init(h)
}

func (h *timerHeap) add(j *job, at time.Time) {
	h.remove(j)
	j.timers[h.slot].at = at
	heap.Push(h, j)
}

func (h *timerHeap) remove(j *job) {
	if i := j.timers[h.slot].index; i > 0 {
		heap.Remove(h, i-1)
	}
}

// due takes out one job whose timer is not after now.
func (h *timerHeap) due(now time.Time) *job {
	if len(h.jobs) == 0 || h.jobs[0].timers[h.slot].at.After(now) {
		return nil
	}
	j := heap.Pop(h).(*job)
	if j.ended {
		h.dead--
	}
	return j
}

// next is the earliest timer; the zero time when there is none.
func (h *timerHeap) next() time.Time {
	if len(h.jobs) == 0 {
		return time.Time{}
	}
	return h.jobs[0].timers[h.slot].at
}

// Len implements heap.Interface.
func (h *timerHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.jobs[i], h.jobs[j]
	if at, bt := a.timers[h.slot].at, b.timers[h.slot].at; !at.Equal(bt) {
		return at.Before(bt)
	}
	return a.ticket < b.ticket
}

// Swap implements heap.Interface.
func (h *timerHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].timers[h.slot].index = i + 1
	h.jobs[j].timers[h.slot].index = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	j := x.(*job)
	h.jobs = append(h.jobs, j)
	j.timers[h.slot].index = len(h.jobs)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	j.timers[h.slot].index = 0
	return j
}
