package quota

import "container/heap"

// Choice is what a caller of FairQueue.Take answers for one entry.
type Choice uint8

// The choices.
const (
	// Accept takes the entry out of the queue.
	Accept Choice = iota
	// Skip leaves the entry and tries another.
	Skip
	// Park leaves the whole flow until Unpark.
	Park
	// Stop leaves everything and ends the search.
	Stop
)

// lookahead is how many entries of one flow Take offers before it goes on to
// the next flow.
const lookahead = 4

// Entry is one queued value. It stays valid until taken or removed.
type Entry[T any] struct {
	Value T

	cost       float64
	flow       *Flow[T]
	prev, next *Entry[T]
}

// Flow is the queue of one team.
type Flow[T any] struct {
	weight     float64
	order      int
	tag        float64
	head, tail *Entry[T]
	length     int
	work       float64
	position   int
	parked     bool
}

// outside is the position of a flow that is not in the heap.
const outside = -1

// Len is the number of queued entries.
func (f *Flow[T]) Len() int { return f.length }

// Work is the summed cost of the queued entries.
func (f *Flow[T]) Work() float64 { return f.work }

// Weight is the flow's share against the others.
func (f *Flow[T]) Weight() float64 { return f.weight }

// setWeight changes the flow's share; it holds from the next charge.
func (f *Flow[T]) setWeight(weight float64) {
	if weight <= 0 {
		weight = 1
	}
	f.weight = weight
}

// Reweigh changes the weight of a flow of this queue.
func (q *FairQueue[T]) Reweigh(f *Flow[T], weight float64) {
	if f.length > 0 {
		q.active -= f.weight
	}
	f.setWeight(weight)
	if f.length > 0 {
		q.active += f.weight
	}
}

// FairQueue shares service between flows in proportion to their weights, by
// start-time fair queueing. Push and Take cost O(log flows), Remove O(1).
type FairQueue[T any] struct {
	flows   flowHeap[T]
	virtual float64
	nextID  int
	length  int
	work    float64
	active  float64
	steps   uint64
	aside   []*Flow[T]
}

// NewFlow adds a flow with the given weight.
func (q *FairQueue[T]) NewFlow(weight float64) *Flow[T] {
	f := &Flow[T]{order: q.nextID, position: outside}
	f.setWeight(weight)
	q.nextID++
	return f
}

// Len is the number of queued entries.
func (q *FairQueue[T]) Len() int { return q.length }

// Work is the summed cost of all queued entries.
func (q *FairQueue[T]) Work() float64 { return q.work }

// ActiveWeight is the summed weight of the flows with queued entries.
func (q *FairQueue[T]) ActiveWeight() float64 { return q.active }

// Steps counts the entries and flows visited since the start.
func (q *FairQueue[T]) Steps() uint64 { return q.steps }

// Push queues a value at the end of a flow. The cost is in seconds of service.
func (q *FairQueue[T]) Push(f *Flow[T], value T, cost float64) *Entry[T] {
	e := &Entry[T]{Value: value, cost: cost, flow: f, prev: f.tail}
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	q.added(f, cost)
	return e
}

// PushFront queues a value at the head of a flow.
func (q *FairQueue[T]) PushFront(f *Flow[T], value T, cost float64) *Entry[T] {
	e := &Entry[T]{Value: value, cost: cost, flow: f, next: f.head}
	if f.head == nil {
		f.tail = e
	} else {
		f.head.prev = e
	}
	f.head = e
	q.added(f, cost)
	return e
}

func (q *FairQueue[T]) added(f *Flow[T], cost float64) {
	if f.length == 0 {
		q.active += f.weight
	}
	f.length++
	f.work += cost
	q.length++
	q.work += cost
	q.steps++
	q.activate(f)
}

// activate puts a flow with entries into the heap, not before the present.
func (q *FairQueue[T]) activate(f *Flow[T]) {
	if f.position != outside || f.parked || f.length == 0 {
		return
	}
	f.tag = max(f.tag, q.virtual)
	heap.Push(&q.flows, f)
}

// Remove takes out a queued entry in O(1). An emptied flow leaves the heap
// when Take next meets it.
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
		q.active = remaining(q.active, f.weight, q.length)
	}
	f.work = remaining(f.work, e.cost, f.length)
	q.work = remaining(q.work, e.cost, q.length)
	q.steps++
	e.flow, e.prev, e.next = nil, nil, nil
}

// remaining subtracts without leaving a rounding error in an empty queue.
func remaining(work, cost float64, length int) float64 {
	if length == 0 {
		return 0
	}
	return max(0, work-cost)
}

// Take offers entries in fair order until one is accepted, and charges its
// cost to its flow. It reports false when nothing was accepted.
func (q *FairQueue[T]) Take(choose func(T) Choice) (T, bool) {
	var none T
	defer q.restore()
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
			return none, false
		case Park:
			heap.Pop(&q.flows)
			f.parked = true
		case Skip:
			heap.Pop(&q.flows)
			q.aside = append(q.aside, f)
		}
	}
	return none, false
}

// offer shows the first entries of a flow.
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

func (q *FairQueue[T]) charge(f *Flow[T], e *Entry[T]) {
	cost := e.cost
	q.Remove(e)
	q.virtual = max(q.virtual, f.tag)
	f.tag += cost / f.weight
	heap.Fix(&q.flows, f.position)
}

// restore returns the flows that were set aside during a search.
func (q *FairQueue[T]) restore() {
	for i, f := range q.aside {
		q.activate(f)
		q.aside[i] = nil
	}
	q.aside = q.aside[:0]
}

// Correct adds the difference between the true cost and the charged one, in
// seconds of service; it may be negative.
func (q *FairQueue[T]) Correct(f *Flow[T], difference float64) {
	f.tag += difference / f.weight
	if f.position != outside {
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

// flowHeap orders flows by their start tags.
type flowHeap[T any] []*Flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
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
	f.position = outside
	return f
}

// Heads yields the first entry of each flow that is not parked.
func (q *FairQueue[T]) Heads() func(yield func(T) bool) {
	return func(yield func(T) bool) {
		for _, f := range q.flows {
			if f.head != nil && !yield(f.head.Value) {
				return
			}
		}
	}
}
