package quota

import "container/heap"

// Choice is the decision of the callback of FairQueue.Take on one entry.
type Choice uint8

// The choices.
const (
	// Accept removes the entry from the queue and ends the search.
	Accept Choice = iota
	// Skip leaves the entry queued and continues with the next one.
	Skip
	// Park excludes the entry's flow from scheduling until Unpark.
	Park
	// Stop leaves the entry queued and ends the search.
	Stop
)

// lookahead is the number of entries of one flow that Take offers before it
// continues with the next flow.
const lookahead = 4

// Entry is one queued value. It is valid until it is taken or removed.
type Entry[T any] struct {
	Value T

	cost       float64
	flow       *Flow[T]
	prev, next *Entry[T]
}

// Flow is the queue of one team.
type Flow[T any] struct {
	weight     float64
	id         int
	startTag   float64
	head, tail *Entry[T]
	length     int
	queuedCost float64
	position   int
	parked     bool
}

// notInHeap is the heap position of a flow that is not in the heap.
const notInHeap = -1

// Len returns the number of queued entries.
func (f *Flow[T]) Len() int { return f.length }

// QueuedCost returns the total cost of the queued entries, in seconds of
// service.
func (f *Flow[T]) QueuedCost() float64 { return f.queuedCost }

// Weight returns the flow's share relative to the other flows.
func (f *Flow[T]) Weight() float64 { return f.weight }

// setWeight changes the flow's share, which applies from the next charge. A
// weight that is not positive counts as one.
func (f *Flow[T]) setWeight(weight float64) {
	if weight <= 0 {
		weight = 1
	}
	f.weight = weight
}

// SetWeight changes the weight of a flow of this queue.
func (q *FairQueue[T]) SetWeight(f *Flow[T], weight float64) {
	if f.length > 0 {
		q.activeWeight -= f.weight
	}
	f.setWeight(weight)
	if f.length > 0 {
		q.activeWeight += f.weight
	}
}

// FairQueue shares service between flows in proportion to their weights, using
// start-time fair queueing. Push and Take cost O(log flows), Remove costs O(1).
type FairQueue[T any] struct {
	flows        flowHeap[T]
	virtualTime  float64
	nextID       int
	length       int
	queuedCost   float64
	activeWeight float64
	steps        uint64
	skipped      []*Flow[T]
}

// NewFlow adds a flow with the given weight.
func (q *FairQueue[T]) NewFlow(weight float64) *Flow[T] {
	f := &Flow[T]{id: q.nextID, position: notInHeap}
	f.setWeight(weight)
	q.nextID++
	return f
}

// Len returns the number of queued entries.
func (q *FairQueue[T]) Len() int { return q.length }

// QueuedCost returns the total cost of all queued entries, in seconds of
// service.
func (q *FairQueue[T]) QueuedCost() float64 { return q.queuedCost }

// ActiveWeight returns the total weight of the flows with queued entries.
func (q *FairQueue[T]) ActiveWeight() float64 { return q.activeWeight }

// Steps returns the number of entries and flows visited since the queue was
// created. Tests use it to bound the cost of an operation.
func (q *FairQueue[T]) Steps() uint64 { return q.steps }

// Push appends a value to a flow. The cost is in seconds of service.
func (q *FairQueue[T]) Push(f *Flow[T], value T, cost float64) *Entry[T] {
	e := &Entry[T]{Value: value, cost: cost, flow: f, prev: f.tail}
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	q.recordAdded(f, cost)
	return e
}

// PushFront inserts a value at the head of a flow. The cost is in seconds of
// service.
func (q *FairQueue[T]) PushFront(f *Flow[T], value T, cost float64) *Entry[T] {
	e := &Entry[T]{Value: value, cost: cost, flow: f, next: f.head}
	if f.head == nil {
		f.tail = e
	} else {
		f.head.prev = e
	}
	f.head = e
	q.recordAdded(f, cost)
	return e
}

// recordAdded updates the totals for an entry that was added to a flow, and
// makes the flow eligible.
func (q *FairQueue[T]) recordAdded(f *Flow[T], cost float64) {
	if f.length == 0 {
		q.activeWeight += f.weight
	}
	f.length++
	f.queuedCost += cost
	q.length++
	q.queuedCost += cost
	q.steps++
	q.activate(f)
}

// activate puts a flow with entries into the heap unless it is parked. The
// flow's start tag is raised to the current virtual time, so that an idle flow
// accumulates no credit.
func (q *FairQueue[T]) activate(f *Flow[T]) {
	if f.position != notInHeap || f.parked || f.length == 0 {
		return
	}
	f.startTag = max(f.startTag, q.virtualTime)
	heap.Push(&q.flows, f)
}

// Remove removes a queued entry in O(1). An entry that has already been taken
// or removed is ignored. A flow that becomes empty stays in the heap until
// Take next visits it.
func (q *FairQueue[T]) Remove(e *Entry[T]) {
	f := e.flow
	if f == nil {
		return
	}
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	f.length--
	q.length--
	if f.length == 0 {
		q.activeWeight = subtractCost(q.activeWeight, f.weight, q.length)
	}
	f.queuedCost = subtractCost(f.queuedCost, e.cost, f.length)
	q.queuedCost = subtractCost(q.queuedCost, e.cost, q.length)
	q.steps++
	e.flow, e.prev, e.next = nil, nil, nil
}

// subtractCost subtracts a cost from a total. It returns zero for an empty
// queue, so that no rounding error remains.
func subtractCost(total, cost float64, length int) float64 {
	if length == 0 {
		return 0
	}
	return max(0, total-cost)
}

// Take offers entries to choose in fair order until one is accepted, and
// charges the cost of that entry to its flow. It reports whether an entry was
// accepted.
func (q *FairQueue[T]) Take(choose func(T) Choice) (T, bool) {
	var zero T
	defer q.requeueSkipped()
	for len(q.flows) > 0 {
		f := q.flows[0]
		q.steps++
		if f.length == 0 {
			heap.Pop(&q.flows)
			continue
		}
		e, choice := q.offer(f, choose)
		switch choice {
		case Accept:
			value := e.Value
			q.charge(f, e)
			return value, true
		case Stop:
			return zero, false
		case Park:
			heap.Pop(&q.flows)
			f.parked = true
		case Skip:
			heap.Pop(&q.flows)
			q.skipped = append(q.skipped, f)
		}
	}
	return zero, false
}

// offer calls choose for the first entries of a flow until it returns a choice
// other than Skip.
func (q *FairQueue[T]) offer(f *Flow[T], choose func(T) Choice) (*Entry[T], Choice) {
	e := f.head
	for i := 0; i < lookahead && e != nil; i++ {
		q.steps++
		if choice := choose(e.Value); choice != Skip {
			return e, choice
		}
		e = e.next
	}
	return nil, Skip
}

// charge removes an accepted entry, advances the virtual time to the start tag
// of its flow, and adds the entry's weighted cost to that tag.
func (q *FairQueue[T]) charge(f *Flow[T], e *Entry[T]) {
	cost := e.cost
	q.Remove(e)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += cost / f.weight
	heap.Fix(&q.flows, f.position)
}

// requeueSkipped puts the flows that were skipped during a search back into
// the heap.
func (q *FairQueue[T]) requeueSkipped() {
	for i, f := range q.skipped {
		q.activate(f)
		q.skipped[i] = nil
	}
	q.skipped = q.skipped[:0]
}

// AdjustCost adjusts the cost charged to a flow by the difference between the
// actual and the charged cost, in seconds of service. The difference may be
// negative.
func (q *FairQueue[T]) AdjustCost(f *Flow[T], difference float64) {
	f.startTag += difference / f.weight
	if f.position != notInHeap {
		heap.Fix(&q.flows, f.position)
	}
}

// Unpark makes a parked flow eligible again.
func (q *FairQueue[T]) Unpark(f *Flow[T]) {
	if !f.parked {
		return
	}
	f.parked = false
	q.activate(f)
}

// flowHeap orders flows by start tag, and flows with equal tags by id.
type flowHeap[T any] []*Flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].id < h[j].id
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*Flow[T])
	f.position = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.position = notInHeap
	return f
}

// Heads yields the first entry of each non-empty flow that is not parked, in
// no particular order.
func (q *FairQueue[T]) Heads() func(yield func(T) bool) {
	return func(yield func(T) bool) {
		for _, f := range q.flows {
			if f.head != nil && !yield(f.head.Value) {
				return
			}
		}
	}
}
