package main

import (
	"net/http"
	"sync"
	"time"
)

// The trials are faults that were shown and are not among the five cases; see
// review/REPORT.md.
func init() {
	cases["many-occurrences"] = manyOccurrences
	cases["crashing-workers"] = crashingWorkers
	cases["late-crashes"] = lateCrashes
	cases["waiting"] = waitingCount
}

// manyOccurrences: a timed job has many occurrences open when the nodes are
// stopped and started in turn.
func manyOccurrences(p *Platform, trouble bool) {
	p.addMachines("intake", 4)
	p.configure([]string{"intake"}, route{"lint", "intake", 1.6, 3000})
	p.startNodes(3, "lint")
	id := newID()
	const occurrences = 9000
	body := job(5000, 500, []map[string]any{step(1, 500, 5000, nil)}, map[string]any{
		"repeat_count": occurrences, "first_run_ms": time.Now().UnixMilli() - occurrences*1000, "interval_ms": 1000,
	})
	if !p.submit("lint", id, body) {
		exit(2)
	}
	time.Sleep(3 * time.Second)
	p.reportState("lint", id)
	if trouble {
		for _, n := range p.nodes {
			n.terminate()
			n.start()
			n.awaitReady()
			time.Sleep(time.Second)
		}
	}
	time.Sleep(8 * time.Second)
	for range 5 {
		for name, status := range p.reportState("lint", id) {
			if status == http.StatusGone {
				p.judge.breakRule("LOST: the accepted job %s is answered 410 by %s", id, name)
			}
		}
		time.Sleep(time.Second)
	}
}

// crashingWorkers: the worker that runs one task of a lasting job crashes, five
// times.
func crashingWorkers(p *Platform, trouble bool) {
	p.addMachines("intake", 8)
	p.configure([]string{"intake"}, route{"lint", "intake", 1.6, 3000}, route{"sync", "intake", 2.2, 2500})
	p.startNodes(3, "lint")
	body := job(0, 300, []map[string]any{step(5, 300, 700, map[string]any{"long_running": true, "anti_affinity": 1, "may_miss": 1})}, nil)
	body["spec"] = body["spec"].(string) + " tasks=5 may_miss=1"
	id := newID()
	if !p.submit("sync", id, body) {
		exit(2)
	}
	for range 5 {
		time.Sleep(4 * time.Second)
		logLine("%d of 5 tasks run", p.judge.runningTasks(id))
		if trouble {
			p.crashWorkerOf(id + ".0.0.0")
		}
	}
	time.Sleep(15 * time.Second)
	logLine("%d of 5 tasks run", p.judge.runningTasks(id))
	p.reportState("sync", id)
}

// crashWorkerOf crashes the worker that runs a task. The next life of its machine
// begins after a second, under a new id.
func (p *Platform) crashWorkerOf(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.worker == nil || !m.worker.runsTask(task) {
			continue
		}
		m.worker.crash()
		m.worker, m.state = nil, "down"
		time.AfterFunc(time.Second, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			m.worker, m.state = startWorker(p, m.name, m.pool, m.zone, m.rack), "up"
		})
		return
	}
	logLine("%s does not run", task)
}

// lateCrashes: a task crashes each worker that starts it, eleven seconds after its
// start.
func lateCrashes(p *Platform, trouble bool) {
	p.addMachines("intake", 8)
	p.configure([]string{"intake"}, route{"lint", "intake", 1.6, 60_000})
	p.startNodes(3, "lint")
	id := newID()
	if !p.submit("lint", id, job(15_000, 300, []map[string]any{step(1, 300, 15_000, nil)}, nil)) {
		exit(2)
	}
	task := id + ".0.0.0"
	crashes, last := 0, 0
	for end := time.Now().Add(95 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		p.judge.mu.Lock()
		r := p.judge.newest[task]
		p.judge.mu.Unlock()
		if r == nil {
			continue
		}
		if r.run != last {
			last = r.run
			logLine("run %d started, %d crashes before", r.run, crashes)
			if crashes >= 5 {
				p.judge.breakRule("BUDGET: started for the third time after three workers have crashed under it")
				break
			}
		}
		if trouble && time.Since(r.started) > 11*time.Second && p.judge.runningTasks(id) > 0 {
			p.crashWorkerOf(task)
			crashes++
			time.Sleep(500 * time.Millisecond)
		}
	}
	p.reportState("lint", id)
}

// waitingCount: one worker refuses all starts while a queue waits.
func waitingCount(p *Platform, trouble bool) {
	p.addMachines("intake", 10)
	p.configure([]string{"intake"}, route{"lint", "intake", 100, 60_000})
	p.startNodes(3, "lint")
	if trouble {
		w := p.workers("intake")[0]
		w.refuseStarts(6500 * time.Millisecond)
	}
	accepted := map[string]time.Time{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	// Ten workers hold 640 of these tasks.
	for range 20 {
		wait.Go(func() {
			for range 33 {
				id := newID()
				if p.submit("lint", id, job(20_000, 250, []map[string]any{step(1, 250, 20_000, nil)}, nil)) {
					mu.Lock()
					accepted[id] = time.Now()
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	logLine("the traffic ends, %d jobs were accepted", len(accepted))
	time.Sleep(4500 * time.Millisecond)
	for range 14 {
		time.Sleep(500 * time.Millisecond)
		for _, n := range p.nodes {
			status, body := n.call(http.MethodGet, "lint", "", nil)
			time.Sleep(20 * time.Millisecond)
			waiting := 0
			for id, at := range accepted {
				if time.Since(at) > 5*time.Second && !p.judge.hasStarted(id+".0.0.0") {
					waiting++
				}
			}
			told, _ := body["waiting"].(float64)
			logLine("client: GET lint/ at %s -> %d waiting %.0f; %d accepted 5 s ago have not begun", n.name, status, told, waiting)
			if status == http.StatusOK && waiting > 0 && told < float64(waiting)/2 {
				p.judge.breakRule("MIXED: %s gives %.0f jobs as waiting, %d accepted over 5 s before have not begun", n.name, told, waiting)
			}
		}
	}
}
