package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

var (
	began      = time.Now()
	recordMu   sync.Mutex
	recordFile *bufio.Writer
)

// logLine writes one line of the record.
func logLine(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		_, _ = fmt.Fprintf(recordFile, "%8.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
	}
}

// cleanUp ends all processes before exit.
var cleanUp = func() {}

func exit(code int) {
	cleanUp()
	recordMu.Lock()
	_ = recordFile.Flush()
	os.Exit(code)
}

// Judge notes what the workers see.
type Judge struct {
	mu sync.Mutex
	// running holds the runs of each task, by "run@worker".
	running map[string]map[string]bool
	// runningOf counts the running tasks of each job.
	runningOf map[string]int
	// newest holds the newest run of each task.
	newest map[string]*taskRun
	// done holds the tasks with an end "done" that was acknowledged.
	done   map[string]bool
	broken []string
}

func newJudge() *Judge {
	return &Judge{running: map[string]map[string]bool{}, runningOf: map[string]int{}, newest: map[string]*taskRun{}, done: map[string]bool{}}
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

func (j *Judge) runStarted(r *taskRun, worker string) {
	task, run := r.task, r.run
	j.mu.Lock()
	defer j.mu.Unlock()
	j.newest[task] = r
	logLine("worker %s: starts %s run %d", worker, task, run)
	if j.done[task] {
		j.violation("TWICE: %s run %d starts on %s after an end done was taken note of", task, run, worker)
	}
	if j.running[task] == nil {
		j.running[task] = map[string]bool{}
	}
	for other := range j.running[task] {
		j.violation("TWICE: %s run %d starts on %s while %s runs", task, run, worker, other)
	}
	j.running[task][fmt.Sprintf("%d@%s", run, worker)] = true
	j.runningOf[jobOf(task)]++
}

func (j *Judge) remove(task string, run int, worker string) {
	delete(j.running[task], fmt.Sprintf("%d@%s", run, worker))
	j.runningOf[jobOf(task)]--
}

// checkStop checks a stop of a lasting run that is at work: fewer others of its
// step than its budget may be away.
func (j *Judge) checkStop(r *taskRun, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	step, away := r.task[:strings.LastIndex(r.task, ".")], 0
	for i := range r.tasks {
		other := fmt.Sprintf("%s.%d", step, i)
		if n := j.newest[other]; other != r.task && (n == nil || len(j.running[other]) == 0 || !n.atWork()) {
			away++
		}
	}
	if away >= r.mayMiss {
		j.violation("AVAIL: %s run %d, at work on %s, is stopped while %d others of its step are away and %d may be", r.task, r.run, worker, away, r.mayMiss)
	}
}

func (j *Judge) runGone(task string, run int, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.remove(task, run, worker)
}

func (j *Judge) runEnded(task string, run int, worker, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	logLine("worker %s: ends %s run %d %s", worker, task, run, how)
	j.remove(task, run, worker)
}

func (j *Judge) endAcked(task string, run int, worker, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if how == "done" {
		j.done[task] = true
	}
}

// violation notes a broken rule. The caller holds the lock.
func (j *Judge) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	logLine("BROKEN %s", text)
	j.broken = append(j.broken, text)
}

func (j *Judge) breakRule(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violation(format, args...)
}

// runningTasks counts the job's runs.
func (j *Judge) runningTasks(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runningOf[id]
}

// hasStarted reports whether a run of the task was started.
func (j *Judge) hasStarted(task string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newest[task] != nil
}
