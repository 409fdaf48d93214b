package standin

import (
	"time"

	"wigeonwinch/infra"
)

const (
	// throttledSpeed is the speed of a throttled task, as a share of full speed.
	throttledSpeed = 0.5
	// maxPendingActions is the maximum number of queued actions per task.
	// Further actions are dropped.
	maxPendingActions = 8
)

// ActOnTask implements Machine. It ignores tasks that are not running on this
// backend.
func (b *Backend) ActOnTask(kind infra.ActionKind, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions, ok := b.tasks[id]
	if !ok {
		return
	}
	select {
	case actions <- kind:
	default:
	}
}

func (b *Backend) registerTask(id string) <-chan infra.ActionKind {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := make(chan infra.ActionKind, maxPendingActions)
	b.tasks[id] = actions
	return actions
}

func (b *Backend) unregisterTask(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.tasks, id)
}

// taskRun tracks the progress of one run.
type taskRun struct {
	total  time.Duration
	speed  float64
	endsAt time.Time
	timer  *time.Timer
}

// newTaskRun returns a run that resumes after the work saved by the last
// checkpoint.
func newTaskRun(total, saved time.Duration) *taskRun {
	remaining := max(total-saved, 0)
	return &taskRun{total: total, speed: 1, endsAt: time.Now().Add(remaining), timer: time.NewTimer(remaining)}
}

// remaining returns the remaining work, as run time at full speed.
func (t *taskRun) remaining() time.Duration {
	return time.Duration(t.speed * float64(time.Until(t.endsAt)))
}

func (t *taskRun) throttle() {
	remaining := t.remaining()
	t.speed = throttledSpeed
	span := time.Duration(float64(remaining) / t.speed)
	t.endsAt = time.Now().Add(span)
	t.timer.Reset(span)
}

// runTask runs the task and executes the actions on it. It reports whether the
// task completed; it did not if the backend or the task was stopped.
func (b *Backend) runTask(id string, total time.Duration, stopped <-chan struct{}) bool {
	actions := b.registerTask(id)
	defer b.unregisterTask(id)
	run := newTaskRun(total, b.opts.Ledger.Run(id).Checkpointed)
	defer run.timer.Stop()
	for {
		select {
		case <-run.timer.C:
			return true
		case <-stopped:
			b.opts.Ledger.recordInterruption(id)
			return false
		case kind := <-actions:
			if kind == infra.ActionStop {
				b.opts.Ledger.recordStop(id)
				return false
			}
			b.applyAction(run, id, kind)
		}
	}
}

func (b *Backend) applyAction(run *taskRun, id string, kind infra.ActionKind) {
	switch kind {
	case infra.ActionThrottle:
		run.throttle()
	case infra.ActionCheckpoint:
		b.opts.Ledger.recordCheckpoint(id, run.total-run.remaining())
	}
}
