package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// timedJobs hands in jobs with a due time: with the disruption all are due at the same
// moment, without it one after the other.
func timedJobs(w *world) int {
	const jobs, workers, cpu, taskCPU = 450, 8, 32000, 8000
	w.addWorkers(service, workers, cpu)
	w.putConfig(3, service, false)
	if err := w.startNodes(3); err != nil || !w.awaitReady(15*time.Second) {
		return unable
	}
	time.Sleep(5 * time.Second)
	dueAt := time.Now().Add(20 * time.Second)
	spec := "ms=300 " + strings.Repeat("x", 3990)
	steps := []any{}
	for i := range 5 {
		s := map[string]any{"count": 32, "cpu": taskCPU, "mem_mb": 1000, "estimate_ms": 300}
		if i > 0 {
			s["depends_on"] = []int{i - 1}
		}
		steps = append(steps, s)
	}
	ids := make([]string, jobs)
	accepted := make([]bool, jobs)
	due := make([]time.Time, jobs)
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i := range jobs {
		ids[i] = fmt.Sprintf("%016x", 0xabc0000000000000+uint64(i)*0x1000193)
		due[i] = dueAt
		if !w.trouble {
			due[i] = dueAt.Add(time.Duration(i) * 50 * time.Millisecond)
		}
		body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps, "repeat_count": 1, "first_run_ms": due[i].UnixMilli(), "interval_ms": 60000})
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			accepted[i], _ = w.submit(ids[i], body)
		}()
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	n := 0
	for _, ok := range accepted {
		if ok {
			n++
		}
	}
	w.log("accepted %d of %d timed jobs", n, jobs)
	if n < jobs*9/10 || time.Now().After(dueAt) {
		return unable
	}
	// Ordinary jobs after the due time show whether the service works at all. The traffic
	// ends with them. finish_s after it, the service is watched for 3 s.
	time.Sleep(time.Until(dueAt.Add(3 * time.Second)))
	plain, _ := json.Marshal(map[string]any{"spec": "ms=300", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300}}})
	var plainIDs []string
	for i := range 3 {
		id := fmt.Sprintf("9a1a00000000000%x", i)
		if ok, _ := w.submit(id, plain); ok {
			plainIDs = append(plainIDs, id)
		}
	}
	watchFrom := time.Now().Add(14 * time.Second)
	time.Sleep(time.Until(watchFrom))
	idle := true
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		running := 0
		for _, wk := range w.workers {
			running += wk.running()
		}
		if running*taskCPU*2 >= workers*cpu {
			idle = false
		}
	}
	notBegun, begun := 0, 0
	for i, id := range ids {
		if accepted[i] && w.starts(id) == 0 {
			notBegun++
		} else {
			begun++
		}
	}
	for _, id := range plainIDs {
		w.log("ordinary job %s: %d starts", id, w.starts(id))
	}
	status, text := w.get(w.nodes[0], ids[0])
	w.log("at the end: %d jobs have begun, %d accepted jobs whose time has come have not; under half of the capacity in use for 3 s: %v; first job: %d %s", begun, notBegun, idle, status, text)
	if idle && notBegun > 0 {
		return broken
	}
	return held
}

// waitingCount asks for the number of waiting jobs while the only worker with room is
// unhealthy.
func waitingCount(w *world) int {
	const workers, cpu = 7, 32000
	w.addWorkers(service, workers, cpu)
	w.putConfig(3, service, false)
	if err := w.startNodes(3); err != nil || !w.awaitReady(15*time.Second) {
		return unable
	}
	time.Sleep(6 * time.Second)
	// Lasting tasks fill six workers.
	lasting, _ := json.Marshal(map[string]any{"spec": "last", "steps": []any{map[string]any{"count": workers - 1, "cpu": 30000, "mem_mb": 1000, "estimate_ms": 500, "long_running": true, "anti_affinity": 1}}})
	if ok, _ := w.submit("1a57000000000001", lasting); !ok {
		return unable
	}
	time.Sleep(4 * time.Second)
	var free *worker
	for _, wk := range w.workers {
		if wk.running() == 0 {
			free = wk
		}
	}
	if free == nil {
		return unable
	}
	if w.trouble {
		free.mu.Lock()
		free.unhealthy = true
		free.mu.Unlock()
		w.log("worker %s is unhealthy from now on", free.id)
	}
	began := time.Now()
	body, _ := json.Marshal(map[string]any{"spec": "ms=400", "steps": []any{map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 400}}})
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("c0de00000000000%x", i)
		if ok, _ := w.submit(id, body); ok {
			ids = append(ids, id)
		}
	}
	acceptedAt := time.Now()
	if len(ids) == 0 || acceptedAt.Sub(began) > time.Second {
		return unable
	}
	// visible_ms + 2 s after the last acceptance, while the worker is still unhealthy.
	time.Sleep(5200 * time.Millisecond)
	waiting := 0
	for _, id := range ids {
		if w.starts(id) == 0 {
			waiting++
		}
	}
	code := held
	for _, n := range w.nodes {
		status, text := w.get(n, "")
		var out struct {
			Waiting int `json:"waiting"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &out) == nil && 2*out.Waiting < waiting {
			w.log("%s gives %d as waiting, but %d accepted jobs have not begun", n.name, out.Waiting, waiting)
			code = broken
		}
	}
	w.log("the check ended %.1f s after the worker became unhealthy; %d of %d jobs had not begun", time.Since(began).Seconds(), waiting, len(ids))
	if w.trouble {
		free.mu.Lock()
		free.unhealthy = false
		free.mu.Unlock()
	}
	return code
}

// gangCheckpoints crashes a worker on which members of gangs work that save checkpoints.
func gangCheckpoints(w *world) int {
	const workers, cpu, gangJobs = 7, 32000, 12
	w.addWorkers(service, workers, cpu)
	w.putConfig(3, service, false)
	if err := w.startNodes(3); err != nil || !w.awaitReady(15*time.Second) {
		return unable
	}
	time.Sleep(6 * time.Second)
	body, _ := json.Marshal(map[string]any{"spec": "gang=6 ms=14000", "steps": []any{map[string]any{"count": 6, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 14000,
		"gang": true, "checkpointing": true, "anti_affinity": 1}}})
	ids := []string{}
	for i := range gangJobs {
		id := fmt.Sprintf("6a1600000000000%x", i)
		if ok, _ := w.submit(id, body); !ok {
			return unable
		}
		ids = append(ids, id)
		time.Sleep(370 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	crashedAt := time.Now()
	if w.trouble {
		w.log("worker %s crashes", w.workers[0].id)
		if w.workers[0].running() == 0 {
			return unable
		}
		w.workers[0].crash()
	}
	// A lease lapses within 6 s, and the work takes 14 s.
	time.Sleep(45 * time.Second)
	open := 0
	for _, id := range ids {
		if status, text := w.get(w.nodes[0], id); status != 200 || !strings.Contains(text, "completed") {
			open++
		}
	}
	alone := 0
	for _, wk := range w.workers {
		alone += wk.countAlone(crashedAt.Add(7 * time.Second))
	}
	w.log("%d runs have ended alone more than 10 s after the crash; %d of %d jobs are not completed", alone, open, gangJobs)
	if alone > 0 {
		return broken
	}
	return held
}

// adviceQueueMoves gives a queue whose starts need tickets to another service while it has
// jobs.
func adviceQueueMoves(w *world) int {
	const workers, cpu, jobs, taskCPU = 4, 32000, 5, 2000
	w.addWorkers(service, workers, cpu)
	w.addWorkers("water", workers, cpu)
	for _, wk := range w.workers {
		wk.permits = w.permits
	}
	w.putConfig(3, service, true)
	if err := w.startNodes(3); err != nil || !w.awaitReady(15*time.Second) {
		return unable
	}
	time.Sleep(6 * time.Second)
	step := func(count int) map[string]any {
		return map[string]any{"count": count, "cpu": taskCPU, "mem_mb": 1000, "estimate_ms": 1500}
	}
	second := step(4)
	second["depends_on"] = []int{0}
	body, _ := json.Marshal(map[string]any{"spec": "ms=1500", "steps": []any{step(1), second}})
	ids := []string{}
	for i := range jobs {
		id := fmt.Sprintf("adc1ce000000000%x", i)
		if ok, _ := w.submit(id, body); !ok {
			return unable
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.putConfig(4, "water", true)
	}
	// The traffic ends here. finish_s after it, the jobs are asked for and watched for 3 s.
	time.Sleep(14 * time.Second)
	idle := map[string]bool{}
	for _, id := range ids {
		status, text := w.get(w.nodes[0], id)
		idle[id] = status == 200 && !strings.Contains(text, "completed")
	}
	busiest := 0
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		running := 0
		for _, wk := range w.workers {
			for job := range wk.jobs() {
				idle[job] = false
			}
			if wk.service == service {
				running += wk.running()
			}
		}
		busiest = max(busiest, running)
	}
	// A task needs 2 of the 128 cores of the service that has the jobs.
	w.log("at most %d tasks ran on %s in these 3 s", busiest, service)
	if busiest*taskCPU*2 >= workers*cpu {
		return held
	}
	n := 0
	for id, is := range idle {
		if is {
			n++
			w.log("job %s: not completed, nothing running for 3 s, %d starts in all", id, w.starts(id))
		}
	}
	if n > 0 {
		return broken
	}
	return held
}

// manyOccurrences kills the owner of a timed job with many open occurrences.
func manyOccurrences(w *world) int {
	const workers, cpu, occurrences = 8, 32000, 9000
	w.addWorkers(service, workers, cpu)
	w.putConfig(3, service, false)
	if err := w.startNodes(3); err != nil || !w.awaitReady(15*time.Second) {
		return unable
	}
	time.Sleep(6 * time.Second)
	// Each second for the last two and a half hours. Sixteen tasks find room at a time.
	body, _ := json.Marshal(map[string]any{"spec": "ms=30000", "steps": []any{map[string]any{"count": 1, "cpu": 16000, "mem_mb": 1000, "estimate_ms": 30000}},
		"repeat_count": occurrences, "first_run_ms": time.Now().UnixMilli() - occurrences*1000, "interval_ms": 1000})
	const id = "0cc0000000000001"
	if ok, _ := w.submit(id, body); !ok {
		return unable
	}
	acceptedAt := time.Now()
	time.Sleep(5 * time.Second)
	for _, n := range w.nodes {
		if status, _ := w.get(n, id); status != 200 {
			return unable
		}
	}
	w.log("%d tasks of the job have started", w.starts(id))
	if w.trouble {
		owner := w.ownerOf(service)
		if owner == nil {
			return unable
		}
		w.log("%s is killed", owner.name)
		_ = owner.cmd.Process.Kill()
		_ = owner.cmd.Wait()
		time.Sleep(500 * time.Millisecond)
		if err := w.startNode(owner); err != nil {
			return unable
		}
	}
	// The nodes are in touch again contact_ms after the kill.
	time.Sleep(8 * time.Second)
	code := held
	for _, n := range w.nodes {
		if status, _ := w.get(n, id); status == 410 {
			w.log("%s denies a job that was accepted %.1f s before", n.name, time.Since(acceptedAt).Seconds())
			code = broken
		}
	}
	return code
}
