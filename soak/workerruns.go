package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (w *Worker) start(sender string, o order) answer {
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return w.ok()
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		w.extend(o.Deadline)
		return w.conflict("old")
	}
	if o.Deadline <= w.clockMS() {
		return w.conflict("late")
	}
	w.extend(o.Deadline)
	work, how := parseSpec(o.Spec, o.Run)
	r := &taskRun{task: o.Task, run: o.Run, percent: halfDone}
	if work >= lastingWork {
		r.percent = 100
	}
	w.runs[o.Task] = r
	r.timer = time.AfterFunc(work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !r.stopping {
			w.endRun(r, how)
		}
	})
	w.judge.RunStarted(Start{Worker: w.id, Sender: sender, Token: o.Token, Task: o.Task, Run: o.Run, Spec: o.Spec})
	return w.ok()
}

// formatSpec returns the spec of tasks that work for some time; their first runs
// fail.
func formatSpec(work time.Duration, failures int) string {
	return fmt.Sprintf("work_ms=%d failures=%d", work.Milliseconds(), failures)
}

// parseSpec returns how long a run works and how it ends.
func parseSpec(text string, run int) (work time.Duration, how string) {
	how = endDone
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		switch name {
		case "work_ms":
			work = time.Duration(n) * time.Millisecond
		case "failures":
			if run <= n {
				how = endFailed
			}
		}
	}
	return work, how
}

// stop ends a run within the grace period. The caller holds the lock.
func (w *Worker) stop(sender string, o order) answer {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
		r.stopping = true
		w.judge.StopOrdered(w.id, sender, r.task, r.run)
		time.AfterFunc(time.Duration(w.random.IntN(stopGraceMS))*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(r, endStopped)
		})
	}
	return w.ok()
}

// hold extends the lease, takes note of acknowledged ends, and returns what runs
// and what has ended. The caller holds the lock.
func (w *Worker) hold(ctx context.Context, o order) answer {
	if o.Deadline != 0 {
		w.extend(o.Deadline)
	}
	w.forget(o.Acked)
	w.waitingAcks[&o] = o.Acked
	defer delete(w.waitingAcks, &o)
	timeout := time.NewTimer(time.Duration(min(o.WaitMS, maxHoldWaitMS)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0 && !w.ending; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-w.gone:
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.ending {
		return answer{}
	}
	return answer{http.StatusOK, w.lists()}
}

// forget drops the ends that a node has taken note of. The caller holds the lock.
func (w *Worker) forget(upTo int) {
	n := 0
	for n < len(w.ended) && w.ended[n].number <= upTo {
		if e := w.ended[n]; !e.lapsed {
			w.judge.EndAcked(w.id, e.task, e.run)
		}
		n++
	}
	w.ended = append([]endedRun(nil), w.ended[n:]...)
}

// lists returns what runs and what has ended. The caller holds the lock.
func (w *Worker) lists() any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", r.percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}
