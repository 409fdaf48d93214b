package scheduler

import (
	"container/heap"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"wigeonwinch/dispatch"
)

// workerState is one worker and this node's requests on it.
type workerState struct {
	Worker
	order       uint64
	inProgress  int
	limit       int
	pausedUntil time.Time
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
	paused  []*workerState
	free    int
	total   int
	running int
}

// set replaces the workers; one that is gone stays until its work ends.
func (wt *workerTable) set(now time.Time, workers []Worker) {
	if slices.Equal(wt.given, workers) {
		return
	}
	wt.given = slices.Clone(workers)
	if wt.byID == nil {
		wt.byID = make(map[string]*workerState)
	}
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		wt.put(now, w)
	}
	for id, state := range wt.byID {
		if !listed[id] {
			state.gone = true
			wt.refresh(now, state)
			wt.forget(state)
		}
	}
}

func (wt *workerTable) put(now time.Time, w Worker) {
	state := wt.byID[w.ID]
	if state == nil {
		state = &workerState{order: preference(wt.node, w.ID)}
		wt.byID[w.ID] = state
		state.Worker = w
		heap.Push(&wt.heap, state)
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
	w.limit = wt.limitOf(now, w)
	wt.free += w.free()
	wt.total += w.limit
	heap.Fix(&wt.heap, w.position)
}

func (wt *workerTable) limitOf(now time.Time, w *workerState) int {
	if w.gone || !w.Accepting || now.Before(w.pausedUntil) {
		return 0
	}
	return max(0, w.Slots)
}

func (wt *workerTable) add(now time.Time, w *workerState, n int) {
	wt.free -= w.free()
	w.inProgress += n
	wt.free += w.free()
	wt.refresh(now, w)
	wt.forget(w)
}

// choose returns the least loaded worker that takes the request, or nil.
func (wt *workerTable) choose(j *job) *workerState {
	if wt.free <= 0 {
		return nil
	}
	first := wt.heap[0]
	if first.takes(j) {
		return first
	}
	var best *workerState
	for i, w := range wt.heap {
		if w.takes(j) && (best == nil || wt.heap.Less(i, best.position)) {
			best = w
		}
	}
	return best
}

func (w *workerState) takes(j *job) bool {
	return w.free() > 0 && w.fits(j.req) && !j.avoids(w.ID)
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

// preference spreads the nodes' first choices over the workers.
func preference(node, worker string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(worker))
	return h.Sum64()
}

// workerHeap orders workers by load; full ones come last.
type workerHeap []*workerState

func (h workerHeap) Len() int { return len(h) }

func (h workerHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if af, bf := a.free() > 0, b.free() > 0; af != bf {
		return af
	}
	left, right := a.inProgress*b.limit, b.inProgress*a.limit
	if left != right {
		return left < right
	}
	if a.order != b.order {
		return a.order < b.order
	}
	return strings.Compare(a.ID, b.ID) < 0
}

func (h workerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *workerHeap) Push(x any) {
	w := x.(*workerState)
	w.position = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *workerHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
