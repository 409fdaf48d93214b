package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/eject"
)

// workerState is one worker and the state of this node's requests on it. limit
// is the number of requests that this node may have in progress on it now. A
// removed worker stays until its requests end.
type workerState struct {
	Worker
	preferenceHash uint64
	lastStart      uint64
	inProgress     int
	limit          int
	pausedUntil    time.Time
	state          eject.State
	removed        bool
	heapIndex      int
}

// freeSlots returns the number of further requests that may start on the worker
// now.
func (w *workerState) freeSlots() int { return max(0, w.limit-w.inProgress) }

// fits reports whether the worker is large enough for the request.
func (w *Worker) fits(r *dispatch.Request) bool {
	return r.Cores <= w.Cores && r.MemoryMB <= w.MemoryMB && r.Accelerators <= w.Accelerators
}

// workerTable holds the workers, ordered by load.
type workerTable struct {
	node       string
	configured []Worker
	byID       map[string]*workerState
	heap       workerHeap
	tracker    *eject.Tracker
	// nextChange is when a worker's limit next changes without further input;
	// zero means never.
	nextChange time.Time
	// startCount counts the starts; it orders workers by their last start.
	startCount uint64
	// freeSlots and usableSlots are the sums of the workers' free slots and
	// limits.
	freeSlots, usableSlots int
}

func (wt *workerTable) init(node string, tracker *eject.Tracker) {
	wt.node = node
	wt.tracker = tracker
	wt.byID = make(map[string]*workerState)
}

// set replaces the workers. A removed worker stays in the table until its
// requests end.
func (wt *workerTable) set(now time.Time, workers []Worker) {
	if slices.Equal(wt.configured, workers) {
		return
	}
	wt.configured = slices.Clone(workers)
	listed := make(map[string]bool, len(workers))
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		ids = append(ids, w.ID)
	}
	wt.tracker.SetWorkers(now, ids)
	for _, w := range workers {
		wt.upsert(now, w)
	}
	for id, state := range wt.byID {
		if !listed[id] {
			state.removed = true
			wt.refresh(now, state)
			wt.removeIfIdle(state)
		}
	}
	wt.updateNextChange(now)
}

func (wt *workerTable) upsert(now time.Time, w Worker) {
	state := wt.byID[w.ID]
	if state == nil {
		state = &workerState{preferenceHash: hashPreference(wt.node, w.ID), Worker: w}
		wt.byID[w.ID] = state
		heap.Push(&wt.heap, state)
	}
	if w.Accepting && !state.Accepting {
		wt.tracker.StartRamp(now, w.ID)
	}
	state.Worker = w
	state.removed = false
	wt.refresh(now, state)
}

// removeIfIdle deletes a removed worker that has no requests in progress.
func (wt *workerTable) removeIfIdle(w *workerState) {
	if w.removed && w.inProgress == 0 {
		heap.Remove(&wt.heap, w.heapIndex)
		delete(wt.byID, w.ID)
	}
}

// refresh recomputes a worker's limit and its position in the heap.
func (wt *workerTable) refresh(now time.Time, w *workerState) {
	wt.freeSlots -= w.freeSlots()
	wt.usableSlots -= w.limit
	w.state = wt.tracker.State(now, w.ID)
	w.limit = wt.slotLimit(now, w)
	wt.freeSlots += w.freeSlots()
	wt.usableSlots += w.limit
	heap.Fix(&wt.heap, w.heapIndex)
}

func (wt *workerTable) slotLimit(now time.Time, w *workerState) int {
	if w.removed || !w.Accepting || now.Before(w.pausedUntil) {
		return 0
	}
	share := wt.tracker.Share(now, w.ID)
	return max(0, int(math.Ceil(share*float64(w.Slots))))
}

// advance updates the limits once nextChange has been reached.
func (wt *workerTable) advance(now time.Time) {
	if wt.nextChange.IsZero() || now.Before(wt.nextChange) {
		return
	}
	for _, w := range slices.Clone(wt.heap) {
		wt.refresh(now, w)
	}
	wt.updateNextChange(now)
}

// updateNextChange computes when a limit next changes without further input.
func (wt *workerTable) updateNextChange(now time.Time) {
	wt.nextChange = wt.tracker.NextChange(now)
	for _, w := range wt.heap {
		if w.pausedUntil.After(now) {
			wt.nextChange = earlier(wt.nextChange, w.pausedUntil)
		}
	}
}

// earlier returns the earlier of two times; a zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// addInProgress adds n, which may be negative, to a worker's requests in
// progress.
func (wt *workerTable) addInProgress(now time.Time, w *workerState, n int) {
	if n > 0 {
		wt.startCount++
		w.lastStart = wt.startCount
	}
	wt.freeSlots -= w.freeSlots()
	w.inProgress += n
	wt.freeSlots += w.freeSlots()
	wt.refresh(now, w)
	wt.removeIfIdle(w)
}

// observe records the outcome of a request with the ejection tracker.
func (wt *workerTable) observe(now time.Time, w *workerState, service string, ok bool) {
	before := wt.tracker.State(now, w.ID)
	wt.tracker.Observe(now, w.ID, service, ok)
	if wt.tracker.State(now, w.ID) != before && !w.removed {
		wt.refresh(now, w)
		wt.updateNextChange(now)
	}
}

// pauseAfterRefusal is how long no request starts on a worker after it refused
// one.
const pauseAfterRefusal = 50 * time.Millisecond

// pause stops starting requests on a worker for pauseAfterRefusal.
func (wt *workerTable) pause(now time.Time, w *workerState) {
	w.pausedUntil = now.Add(pauseAfterRefusal)
	wt.refresh(now, w)
	wt.nextChange = earlier(wt.nextChange, w.pausedUntil)
}

// choose returns the least loaded worker that accepts the request, or nil.
// Workers that the request avoids are used only if there are no others.
func (wt *workerTable) choose(now time.Time, j *job) *workerState {
	if wt.freeSlots <= 0 {
		return nil
	}
	first := wt.heap[0]
	if wt.accepts(now, first, j) && !j.avoids(first.ID) {
		return first
	}
	best, hasAlternative := wt.search(now, j, true)
	if best == nil && !hasAlternative {
		best, _ = wt.search(now, j, false)
	}
	return best
}

// search returns the least loaded worker that accepts the request, leaving out
// the avoided workers if skipAvoided is set. It also reports whether any
// worker that it considered has a limit above zero and is large enough, even
// if it has no free slot now.
func (wt *workerTable) search(now time.Time, j *job, skipAvoided bool) (best *workerState, hasAlternative bool) {
	for i, w := range wt.heap {
		if skipAvoided && j.avoids(w.ID) {
			continue
		}
		if w.limit > 0 && w.fits(j.req) {
			hasAlternative = true
		}
		if wt.accepts(now, w, j) && (best == nil || wt.heap.Less(i, best.heapIndex)) {
			best = w
		}
	}
	return best, hasAlternative
}

// accepts reports whether the request may start on the worker now.
func (wt *workerTable) accepts(now time.Time, w *workerState, j *job) bool {
	if w.freeSlots() <= 0 || !w.fits(j.req) {
		return false
	}
	if w.state != eject.Probing {
		return true
	}
	urgent := j.req.Class == dispatch.ClassUrgent
	return wt.tracker.Admits(now, w.ID, j.req.Repeatable, urgent)
}

// refuseImpossible refuses a request that no worker is large enough to run.
func (wt *workerTable) refuseImpossible(r *dispatch.Request) *dispatch.Refusal {
	if len(wt.configured) == 0 {
		return &dispatch.Refusal{
			Reason:     dispatch.RefusedNoWorker,
			Detail:     "no worker of the pool is in reach; send again later or through another zone",
			RetryAfter: time.Second,
		}
	}
	for i := range wt.configured {
		if wt.configured[i].fits(r) {
			return nil
		}
	}
	return &dispatch.Refusal{
		Reason: dispatch.RefusedImpossible,
		Detail: "no worker of the pool is as large as the request needs; ask for fewer cores, less memory or fewer accelerators, or move the service to a pool of larger workers",
	}
}
