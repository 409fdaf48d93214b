package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	gangTimeout      = 3 * time.Second
	checkpointPeriod = time.Second
)

// gangs lets the members of a gang's run work together, also on several workers. The spec
// of such a task is "gang=MEMBERS ms=WORK". The members work from the moment when all of
// them are present with the same checkpoint; there is no common point to resume from
// otherwise.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

type gangRun struct {
	size    int
	work    time.Duration
	members map[string]*gangMember
	// at is the work that was done before the run, began when its work began.
	at    time.Duration
	began time.Time
	timer *time.Timer
}

type gangMember struct {
	worker     *worker
	task       string
	checkpoint string
	timeout    *time.Timer
}

// gangOf returns the name of a gang's run, given those of a member.
func gangOf(task string, number int) string {
	return task[:strings.LastIndexByte(task, '.')] + "/" + strconv.Itoa(number)
}

func checkpointName(done time.Duration) string { return fmt.Sprintf("%016x", done.Milliseconds()) }

func checkpointWork(name string) time.Duration {
	ms, _ := strconv.ParseInt(name, 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// join adds a member. The caller does not hold the worker's lock.
func (g *gangs) join(w *worker, o order) {
	var size, ms int
	if _, err := fmt.Sscanf(o.Spec, "gang=%d ms=%d", &size, &ms); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	name := gangOf(o.Task, o.Run)
	run := g.runs[name]
	if run == nil {
		run = &gangRun{size: size, work: time.Duration(ms) * time.Millisecond, members: map[string]*gangMember{}}
		g.runs[name] = run
	}
	m := &gangMember{worker: w, task: o.Task, checkpoint: o.Checkpoint}
	run.members[o.Task] = m
	for _, other := range run.members {
		if len(run.members) < size || other.checkpoint != m.checkpoint {
			m.timeout = time.AfterFunc(gangTimeout, func() { go w.endRun(o.Task, o.Run, "alone", o.Checkpoint) })
			return
		}
	}
	for _, other := range run.members {
		if other.timeout != nil {
			other.timeout.Stop()
		}
	}
	run.at, run.began = checkpointWork(m.checkpoint), time.Now()
	run.timer = time.AfterFunc(run.work-run.at, func() { g.finish(name, o.Run) })
}

func (g *gangs) finish(name string, number int) {
	g.mu.Lock()
	run := g.runs[name]
	delete(g.runs, name)
	g.mu.Unlock()
	if run == nil {
		return
	}
	for task, m := range run.members {
		m.worker.endRun(task, number, "done", checkpointName(run.work))
	}
}

// checkpoint returns the newest checkpoint of a member's run.
func (g *gangs) checkpoint(task string, number int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.runs[gangOf(task, number)]
	if run == nil {
		return ""
	}
	return run.newest(task)
}

func (r *gangRun) newest(task string) string {
	if r.began.IsZero() {
		if m := r.members[task]; m != nil {
			return m.checkpoint
		}
		return ""
	}
	done := r.at + time.Since(r.began).Truncate(checkpointPeriod)
	if done == 0 {
		return ""
	}
	return checkpointName(done)
}

// leave removes a member that has ended; the others of a run that worked end broken.
func (g *gangs) leave(task string, number int) {
	g.mu.Lock()
	name := gangOf(task, number)
	run := g.runs[name]
	if run == nil || run.members[task] == nil {
		g.mu.Unlock()
		return
	}
	if t := run.members[task].timeout; t != nil {
		t.Stop()
	}
	saved := run.newest(task)
	delete(run.members, task)
	if run.began.IsZero() {
		g.mu.Unlock()
		return
	}
	run.timer.Stop()
	delete(g.runs, name)
	g.mu.Unlock()
	for other, m := range run.members {
		go m.worker.endRun(other, number, "broken", saved)
	}
}
