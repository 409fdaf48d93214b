package jobhost

import (
	"sync"
	"time"
)

// maxOrdersPerWorker bounds the orders that are under way to one worker. It is above the
// connections that a node opens to it.
const maxOrdersPerWorker = 8

// workerOrder is an order to a worker, other than a poll.
type workerOrder struct {
	// deadline is until when the order may be sent and answered.
	deadline time.Time
	// send makes the call. drop is called instead if the deadline passes before.
	send, drop func()
}

// orderQueues hold the orders that wait to be sent, by worker. A job with many tasks, or its
// cancel, causes that many orders at once; a waiting one takes up no goroutine and no
// buffers. The methods are safe for concurrent use.
type orderQueues struct {
	mu      sync.Mutex
	workers map[string]*orderQueue
}

// orderQueue holds the orders for one worker in the order in which they came.
type orderQueue struct {
	waiting []workerOrder
	// sending is the number of orders under way.
	sending int
}

func newOrderQueues() *orderQueues { return &orderQueues{workers: map[string]*orderQueue{}} }

// add sends an order as soon as fewer than maxOrdersPerWorker are under way to the worker.
func (q *orderQueues) add(worker string, o workerOrder) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.workers[worker]
	if w == nil {
		w = &orderQueue{}
		q.workers[worker] = w
	}
	if w.sending >= maxOrdersPerWorker {
		w.waiting = append(w.waiting, o)
		return
	}
	w.sending++
	go q.work(worker, o)
}

// work sends an order and then those that wait, until none does.
func (q *orderQueues) work(worker string, o workerOrder) {
	for ok := true; ok; o, ok = q.next(worker) {
		if time.Now().Before(o.deadline) {
			o.send()
		} else {
			o.drop()
		}
	}
}

// next returns the next order for a worker. If there is none, the caller's place among the
// orders under way is free.
func (q *orderQueues) next(worker string) (o workerOrder, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.workers[worker]
	if len(w.waiting) > 0 {
		o, w.waiting[0] = w.waiting[0], workerOrder{}
		w.waiting = w.waiting[1:]
		return o, true
	}
	w.waiting = nil
	if w.sending--; w.sending == 0 {
		delete(q.workers, worker)
	}
	return workerOrder{}, false
}
