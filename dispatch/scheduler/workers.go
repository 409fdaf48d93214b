package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/eject"
)

// workerState is one worker and this node's requests on it.
type workerState struct {
	Worker
	order       uint64
	lastStart   uint64
	inProgress  int
	limit       int
	pausedUntil time.Time
	state       eject.State
	gone        bool
	position    int
}

// free is how many more requests the worker takes now.
func (w *workerState) free() int { return max(0, w.limit-w.inProgress) }

// fits says whether the worker could ever hold the request.
func (w *Worker) fits(r *dispatch.Request) bool {
	return r.Cores <= w.Cores && r.MemoryMB <= w.MemoryMB && r.Accelerators <= w.Accelerators
}

// workerTable holds the workers, the least loaded first.
type workerTable struct {
	node    string
	given   []Worker
	byID    map[string]*workerState
	heap    workerHeap
	tracker *eject.Tracker
	// changes is when a limit next changes by time alone.
	changes time.Time
	// starts numbers the starts.
	starts uint64
	// free counts the free slots, total the usable ones.
	free, total int
}

func (wt *workerTable) init(node string, tracker *eject.Tracker) {
	wt.node = node
	wt.tracker = tracker
	wt.byID = make(map[string]*workerState)
}

// set replaces the workers; one that is gone stays until its work ends.
func (wt *workerTable) set(now time.Time, workers []Worker) {
	if slices.Equal(wt.given, workers) {
		return
	}
	wt.given = slices.Clone(workers)
	listed := make(map[string]bool, len(workers))
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		ids = append(ids, w.ID)
	}
	wt.tracker.SetWorkers(now, ids)
	for _, w := range workers {
		wt.put(now, w)
	}
	for id, state := range wt.byID {
		if !listed[id] {
			state.gone = true
			wt.refresh(now, state)
			wt.forget(state)
		}
	}
	wt.reschedule(now)
}

func (wt *workerTable) put(now time.Time, w Worker) {
	state := wt.byID[w.ID]
	if state == nil {
		state = &workerState{order: preference(wt.node, w.ID), Worker: w}
		wt.byID[w.ID] = state
		heap.Push(&wt.heap, state)
	}
	if w.Accepting && !state.Accepting {
		wt.tracker.Restart(now, w.ID)
	}
	state.Worker = w
	state.gone = false
	wt.refresh(now, state)
}

// forget drops a worker that is gone and has nothing in progress.
func (wt *workerTable) forget(w *workerState) {
	if w.gone && w.inProgress == 0 {
		heap.Remove(&wt.heap, w.position)
		delete(wt.byID, w.ID)
	}
}

// refresh computes the worker's limit again and its place in the order.
func (wt *workerTable) refresh(now time.Time, w *workerState) {
	wt.free -= w.free()
	wt.total -= w.limit
	w.state = wt.tracker.State(now, w.ID)
	w.limit = wt.limitOf(now, w)
	wt.free += w.free()
	wt.total += w.limit
	heap.Fix(&wt.heap, w.position)
}

func (wt *workerTable) limitOf(now time.Time, w *workerState) int {
	if w.gone || !w.Accepting || now.Before(w.pausedUntil) {
		return 0
	}
	share := wt.tracker.Share(now, w.ID)
	return max(0, int(math.Ceil(share*float64(w.Slots))))
}

// advance applies the changes that time alone brings.
func (wt *workerTable) advance(now time.Time) {
	if wt.changes.IsZero() || now.Before(wt.changes) {
		return
	}
	for _, w := range slices.Clone(wt.heap) {
		wt.refresh(now, w)
	}
	wt.reschedule(now)
}

// reschedule finds when a limit next changes by time alone.
func (wt *workerTable) reschedule(now time.Time) {
	wt.changes = wt.tracker.Wake(now)
	for _, w := range wt.heap {
		if w.pausedUntil.After(now) {
			wt.changes = earlier(wt.changes, w.pausedUntil)
		}
	}
}

// earlier returns the earlier of two times, of which zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// add counts n more requests on a worker.
func (wt *workerTable) add(now time.Time, w *workerState, n int) {
	if n > 0 {
		wt.starts++
		w.lastStart = wt.starts
	}
	wt.free -= w.free()
	w.inProgress += n
	wt.free += w.free()
	wt.refresh(now, w)
	wt.forget(w)
}

// observe tells the tracker how a request ended on a worker.
func (wt *workerTable) observe(now time.Time, w *workerState, service string, ok bool) {
	before := wt.tracker.State(now, w.ID)
	wt.tracker.Observe(now, w.ID, service, ok)
	if wt.tracker.State(now, w.ID) != before && !w.gone {
		wt.refresh(now, w)
		wt.reschedule(now)
	}
}

// pauseAfterRefusal is how long a worker that refused gets nothing.
const pauseAfterRefusal = 50 * time.Millisecond

// pause keeps new work from a worker that has just refused some.
func (wt *workerTable) pause(now time.Time, w *workerState) {
	w.pausedUntil = now.Add(pauseAfterRefusal)
	wt.refresh(now, w)
	wt.changes = earlier(wt.changes, w.pausedUntil)
}

// choose returns the least loaded worker that takes the request, or nil. The
// workers that the request avoids are used when there are no others.
func (wt *workerTable) choose(now time.Time, j *job) *workerState {
	if wt.free <= 0 {
		return nil
	}
	first := wt.heap[0]
	if wt.takes(now, first, j) && !j.avoids(first.ID) {
		return first
	}
	best, others := wt.search(now, j, true)
	if best == nil && !others {
		best, _ = wt.search(now, j, false)
	}
	return best
}

// search looks at all workers. It also reports whether there is a worker in
// use, free or not, that the request needn't avoid.
func (wt *workerTable) search(now time.Time, j *job, avoid bool) (best *workerState, others bool) {
	for i, w := range wt.heap {
		if avoid && j.avoids(w.ID) {
			continue
		}
		if w.limit > 0 && w.fits(j.req) {
			others = true
		}
		if wt.takes(now, w, j) && (best == nil || wt.heap.Less(i, best.position)) {
			best = w
		}
	}
	return best, others
}

// takes says whether a worker takes the request now.
func (wt *workerTable) takes(now time.Time, w *workerState, j *job) bool {
	if w.free() <= 0 || !w.fits(j.req) {
		return false
	}
	if w.state != eject.Probing {
		return true
	}
	urgent := j.req.Class == dispatch.ClassUrgent
	return wt.tracker.Takes(now, w.ID, j.req.Repeatable, urgent)
}

// refuseImpossible refuses a request that no worker can ever hold.
func (wt *workerTable) refuseImpossible(r *dispatch.Request) *dispatch.Refusal {
	if len(wt.given) == 0 {
		return &dispatch.Refusal{
			Reason:     dispatch.RefusedNoWorker,
			Detail:     "no worker of the pool is in reach; send again later or through another zone",
			RetryAfter: time.Second,
		}
	}
	for i := range wt.given {
		if wt.given[i].fits(r) {
			return nil
		}
	}
	return &dispatch.Refusal{
		Reason: dispatch.RefusedImpossible,
		Detail: "no worker of the pool is as large as the request needs; ask for fewer cores, less memory or fewer accelerators, or move the service to a pool of larger workers",
	}
}
