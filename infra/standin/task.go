package standin

import (
	"time"

	"wigeonwinch/infra"
)

const (
	// throttledSpeed is the speed of a throttled task, as a share of the full.
	throttledSpeed = 0.5
	// maxTaskActs bounds the acts that wait for one task.
	maxTaskActs = 8
)

// Task implements Machine. An act on a task that is not here does nothing.
func (b *Backend) Task(kind infra.ActionKind, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	acts, ok := b.tasks[id]
	if !ok {
		return
	}
	select {
	case acts <- kind:
	default:
	}
}

func (b *Backend) openTask(id string) <-chan infra.ActionKind {
	b.mu.Lock()
	defer b.mu.Unlock()
	acts := make(chan infra.ActionKind, maxTaskActs)
	b.tasks[id] = acts
	return acts
}

func (b *Backend) closeTask(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.tasks, id)
}

// taskRun is the progress of one run.
type taskRun struct {
	total time.Duration
	speed float64
	ends  time.Time
	timer *time.Timer
}

func newTaskRun(total, saved time.Duration) *taskRun {
	left := max(total-saved, 0)
	return &taskRun{total: total, speed: 1, ends: time.Now().Add(left), timer: time.NewTimer(left)}
}

// left is the work that is left, at full speed.
func (t *taskRun) left() time.Duration {
	return time.Duration(t.speed * float64(time.Until(t.ends)))
}

func (t *taskRun) throttle() {
	left := t.left()
	t.speed = throttledSpeed
	span := time.Duration(float64(left) / t.speed)
	t.ends = time.Now().Add(span)
	t.timer.Reset(span)
}

// runTask works until the task has ended. It returns false when the backend
// or the task was stopped.
func (b *Backend) runTask(id string, total time.Duration, stopped <-chan struct{}) bool {
	acts := b.openTask(id)
	defer b.closeTask(id)
	run := newTaskRun(total, b.opts.Ledger.Of(id).Saved)
	defer run.timer.Stop()
	for {
		select {
		case <-run.timer.C:
			return true
		case <-stopped:
			b.opts.Ledger.cutShort(id)
			return false
		case kind := <-acts:
			if kind == infra.ActionStop {
				b.opts.Ledger.stopped(id)
				return false
			}
			b.actOn(run, id, kind)
		}
	}
}

func (b *Backend) actOn(run *taskRun, id string, kind infra.ActionKind) {
	switch kind {
	case infra.ActionThrottle:
		run.throttle()
	case infra.ActionCheckpoint:
		b.opts.Ledger.save(id, run.total-run.left())
	}
}
