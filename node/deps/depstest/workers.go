package depstest

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// Workers implements deps.Workers. Every run succeeds after RunTime.
type Workers struct {
	// RunTime is the duration of a run.
	RunTime time.Duration

	mu   sync.Mutex
	byID map[string]*workerState
	// ConcurrentRuns lists tasks that ran on two workers at once.
	ConcurrentRuns []string
	// Starts counts the executed starts by task.
	Starts map[shard.Key]int
}

type workerState struct {
	incarnation int64
	epoch       int64
	running     map[shard.RunRef]bool
	ended       []shard.ListedEnd
	lastEnd     int
	// closedRuns holds the highest run number of each task that ended or was
	// stopped; the worker starts only higher ones.
	closedRuns map[shard.Key]int
}

func (s *workerState) clockMS() int64 { return time.Now().UnixMilli() - s.incarnation }

// NewWorkers returns workers that answer immediately.
func NewWorkers(runTime time.Duration) *Workers {
	return &Workers{RunTime: runTime, byID: map[string]*workerState{}, Starts: map[shard.Key]int{}}
}

// StartCounts returns a copy of Starts.
func (w *Workers) StartCounts() map[shard.Key]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.Starts)
}

func (w *Workers) worker(t shard.Target) *workerState {
	s := w.byID[t.Worker]
	if s == nil {
		s = &workerState{incarnation: t.Incarnation, running: map[shard.RunRef]bool{}, closedRuns: map[shard.Key]int{}}
		w.byID[t.Worker] = s
	}
	return s
}

// Poll implements deps.Workers.
func (w *Workers) Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error) {
	deadline := time.Now().Add(time.Duration(p.WaitMS) * time.Millisecond)
	for {
		lists, err := w.pollResponse(p)
		if err != nil || len(lists.Ended) > 0 || !time.Now().Before(deadline) {
			return lists, err
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return lists, &deps.Error{Kind: deps.KindUnknown, Call: "poll", Err: ctx.Err()}
		}
	}
}

func (w *Workers) pollResponse(p shard.Poll) (shard.PollResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.worker(p.Target)
	if p.Epoch < s.epoch {
		return shard.PollResponse{}, &deps.Error{Kind: deps.KindFenced, Call: "poll"}
	}
	s.epoch = p.Epoch
	for len(s.ended) > 0 && s.ended[0].End <= p.AckedUpto {
		s.ended = s.ended[1:]
	}
	l := shard.PollResponse{ClockMS: s.clockMS(), Incarnation: s.incarnation, Ended: append([]shard.ListedEnd(nil), s.ended...)}
	for ref := range s.running {
		l.Running = append(l.Running, shard.ListedRun{RunRef: ref, Percent: 100})
	}
	return l, nil
}

// Start implements deps.Workers.
func (w *Workers) Start(_ context.Context, st shard.Start) shard.StartResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.worker(st.Target)
	return shard.StartResult{Outcome: w.start(s, st), ClockMS: s.clockMS()}
}

// start starts a run. The caller holds the lock.
func (w *Workers) start(s *workerState, st shard.Start) shard.StartOutcome {
	switch {
	case st.Epoch < s.epoch:
		return shard.StartFenced
	case st.Number <= s.closedRuns[st.Key]:
		return shard.StartStaleRun
	}
	for id, other := range w.byID {
		for ref := range other.running {
			if ref.Key == st.Key && (other != s || ref != st.RunRef) {
				w.ConcurrentRuns = append(w.ConcurrentRuns, fmt.Sprintf("%+v on %s and %s", st.Key, id, st.Worker))
			}
		}
	}
	w.Starts[st.Key]++
	s.running[st.RunRef] = true
	time.AfterFunc(w.RunTime, func() { w.endRun(s, st.RunRef, shard.EndDone) })
	return shard.StartAccepted
}

func (w *Workers) endRun(s *workerState, ref shard.RunRef, kind shard.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.running[ref] {
		return
	}
	delete(s.running, ref)
	s.closedRuns[ref.Key] = ref.Number
	s.lastEnd++
	s.ended = append(s.ended, shard.ListedEnd{End: s.lastEnd, RunRef: ref, Kind: kind})
}

// Stop implements deps.Workers.
func (w *Workers) Stop(_ context.Context, st shard.Stop) error {
	w.mu.Lock()
	s := w.worker(st.Target)
	s.closedRuns[st.Key] = max(s.closedRuns[st.Key], st.Number)
	w.mu.Unlock()
	w.endRun(s, st.RunRef, shard.EndStopped)
	return nil
}

// Pace implements deps.Workers.
func (w *Workers) Pace(context.Context, shard.Pace) error { return nil }

// VMs implements deps.VMs with an empty list of VMs.
type VMs struct{}

// List implements deps.VMs.
func (VMs) List(context.Context) ([]deps.VM, error) { return nil, nil }

// Move implements deps.VMs.
func (VMs) Move(context.Context, deps.Holder, string, string) error { return nil }

// Maintain implements deps.VMs.
func (VMs) Maintain(context.Context, deps.Holder, string, int) error { return nil }
