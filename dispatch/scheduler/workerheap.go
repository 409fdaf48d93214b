package scheduler

import (
	"hash/fnv"
	"strings"
)

// hashPreference returns a node's tie-breaking rank of a worker, so that the
// nodes do not all choose the same worker first.
func hashPreference(node, worker string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(worker))
	return h.Sum64()
}

// workerHeap orders workers by load, then by the least recent start. Workers
// without a free slot come last.
type workerHeap []*workerState

func (h workerHeap) Len() int { return len(h) }

func (h workerHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if af, bf := a.freeSlots() > 0, b.freeSlots() > 0; af != bf {
		return af
	}
	left, right := a.inProgress*b.limit, b.inProgress*a.limit
	if left != right {
		return left < right
	}
	if a.lastStart != b.lastStart {
		return a.lastStart < b.lastStart
	}
	if a.preferenceHash != b.preferenceHash {
		return a.preferenceHash < b.preferenceHash
	}
	return strings.Compare(a.ID, b.ID) < 0
}

func (h workerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *workerHeap) Push(x any) {
	w := x.(*workerState)
	w.heapIndex = len(*h)
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
