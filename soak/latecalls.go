package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Calls to workers.
const (
	pathStart = "/wigeonwinch/run-start"
	pathStop  = "/wigeonwinch/run-stop"
	pathHold  = "/wigeonwinch/hold"
	pathPace  = "/wigeonwinch/pace"
)

// LateShares are the shares of the calls to workers that get no answer.
type LateShares struct {
	// Holds and Orders are carried out later, holds also by a later life of the worker.
	Holds, Orders float64
	// Answers are carried out at once.
	Answers float64
}

// How late calls are carried out, and the share of the holds that a later life carries out
// at the worst moment.
const (
	minLateness   = 300 * time.Millisecond
	maxLateness   = 3 * time.Second
	atEndShare    = 0.5
	unansweredFor = 5 * time.Second
)

// LateCalls are the calls to all workers that get no answer.
type LateCalls struct {
	mu     sync.Mutex
	random *rand.Rand
	// active are the shares in force.
	active []*LateShares
	// atEnd holds by worker ID the calls that a later life carries out as a run ends there.
	atEnd map[string][]lateCall
	// pick, if set, chooses further calls that a later life carries out as a run ends there.
	pick func(lateCall) bool
	// current returns the present life of a worker, or nil.
	current func(id string) *Worker
}

// lateCall is a call that is carried out later.
type lateCall struct {
	// life is the life that received the call.
	life         *Worker
	path, sender string
	order        order
}

// NewLateCalls returns calls of which none is late.
func NewLateCalls(random *rand.Rand) *LateCalls {
	return &LateCalls{random: random, atEnd: map[string][]lateCall{}, current: func(string) *Worker { return nil }}
}

// Begin makes shares of the calls late until end is called.
func (l *LateCalls) Begin(s LateShares) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = append(l.active, &s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.active = slices.DeleteFunc(l.active, func(other *LateShares) bool { return other == &s })
	}
}

// divert reports whether a call gets no answer, and has it carried out as the shares say.
func (l *LateCalls) divert(call lateCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pick != nil && l.pick(call) {
		l.keepForEnd(call)
		return true
	}
	if len(l.active) == 0 {
		return false
	}
	shares := *l.active[len(l.active)-1]
	late := shares.Orders
	if call.path == pathHold {
		late = shares.Holds
	}
	switch roll := l.random.Float64(); {
	case roll < late:
		l.carryOutLater(call)
		return true
	case roll < late+shares.Answers:
		go call.life.carryOut(context.Background(), call.path, call.sender, call.order)
		return true
	}
	return false
}

// carryOutLater has a call carried out seconds later. The caller holds the lock.
func (l *LateCalls) carryOutLater(call lateCall) {
	if call.path == pathHold && l.random.Float64() < atEndShare {
		l.keepForEnd(call)
		return
	}
	call.order.WaitMS = 0
	time.AfterFunc(between(l.random, minLateness, maxLateness), func() {
		w := call.life
		if call.path == pathHold {
			w = l.current(w.id)
		}
		if w != nil {
			w.carryOut(context.Background(), call.path, call.sender, call.order)
		}
	})
}

// keepForEnd keeps a call until a run ends on a later life. The caller holds the lock.
func (l *LateCalls) keepForEnd(call lateCall) {
	call.order.WaitMS = 0
	l.atEnd[call.life.id] = append(l.atEnd[call.life.id], call)
}

// takeAtEnd returns the calls that earlier lives of a worker have received and that are
// carried out now that a run ends.
func (l *LateCalls) takeAtEnd(w *Worker) []lateCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []lateCall
	l.atEnd[w.id] = slices.DeleteFunc(l.atEnd[w.id], func(c lateCall) bool {
		if c.life == w {
			return false
		}
		due = append(due, c)
		return true
	})
	return due
}

// leaveUnanswered ends a call without an answer once its sender has given it up.
func (w *Worker) leaveUnanswered(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-w.gone:
	case <-time.After(unansweredFor):
	}
	panic(http.ErrAbortHandler)
}
