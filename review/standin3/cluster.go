package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	clientHost = "pule25.example"
	moveTime   = 1500 * time.Millisecond
	noticeMS   = 4500
	graceS     = 6
)

var zones = []string{"z-a", "z-b", "z-c"}

// service is a pool of workers with one queue.
type service struct {
	name, path string
	workers    int
	// special is how many of the workers are of kind "b"; the others are of kind "a".
	special int
}

// cluster is the project's program as processes, and the stand-ins that it works with.
type cluster struct {
	record   *record
	judge    *judge
	store    *store
	program  string
	dir      string
	services []service
	cloud    string
	nodes    []*node

	mu       sync.Mutex
	machines []*machine
	lives    int
	closed   bool
}

type machine struct {
	name, pool, zone, rack, kind, state string
	worker                              *worker
}

type node struct {
	name, zone, front, ready, settings string
	cmd                                *exec.Cmd
	exited                             chan struct{}
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// newCluster starts the stand-ins and one process of the program in each zone, and waits
// until all are ready.
func newCluster(rec *record, program string, services []service) *cluster {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	c := &cluster{record: rec, program: program, dir: dir, store: newStore(), services: services}
	c.judge = newJudge(c)
	c.store.c = c
	c.cloud = serve(http.HandlerFunc(c.serveCloud))
	address := serve(c.store)
	for _, s := range services {
		for n := range s.workers {
			i := len(c.machines)
			m := &machine{name: fmt.Sprintf("m-%02d", i), pool: s.name, zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d", i/4), kind: "a"}
			if n < s.special {
				m.kind = "b"
			}
			c.machines = append(c.machines, m)
			c.boot(m)
		}
	}
	c.configure(1)
	for i, zone := range zones {
		c.addNode(i, zone, address)
	}
	for _, n := range c.nodes {
		n.awaitReady()
	}
	return c
}

// configure writes a version of the configuration.
func (c *cluster) configure(version int) {
	var routes, list []map[string]any
	for _, s := range c.services {
		routes = append(routes, map[string]any{
			"name": "queue-" + s.name, "host": clientHost, "path_prefix": s.path, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 3000,
			"priority": 0, "service": s.name, "max_attempts": 3, "stretch": 4.0,
		})
		list = append(list, map[string]any{"name": s.name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false})
	}
	c.store.put(topicOperator, "config", map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000}})
}

// boot starts the next life of a machine. The caller holds the lock, or is alone.
func (c *cluster) boot(m *machine) {
	if c.closed {
		return
	}
	c.lives++
	m.worker, m.state = c.startWorker(fmt.Sprintf("i-%04x", c.lives), m.name, m.pool, m.zone, m.rack, m.kind), "up"
}

// findRun returns the worker that a task runs on, and the run.
func (c *cluster) findRun(task string) (*worker, *run) {
	for _, w := range c.workers() {
		w.mu.Lock()
		r := w.runs[task]
		w.mu.Unlock()
		if r != nil {
			return w, r
		}
	}
	return nil, nil
}

func (c *cluster) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.worker != nil {
			list = append(list, m.worker)
		}
	}
	return list
}

// serveCloud is the platform's list of machines and its orders.
func (c *cluster) serveCloud(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/wigeonwinch/machines":
		rows := []map[string]any{}
		for _, m := range c.machines {
			row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
				"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB}, "id": ""}
			if m.worker != nil {
				row["id"] = m.worker.id
			}
			rows = append(rows, row)
		}
		answerJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
	case "/wigeonwinch/machine-move":
		c.serveMove(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (c *cluster) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range c.machines {
		switch {
		case m.name != body.Machine:
			continue
		case m.pool == body.Pool:
			answerJSON(w, http.StatusOK, struct{}{})
		case m.state != "up":
			answerJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		default:
			c.record.printf("machine %s: moves to %s", m.name, body.Pool)
			old := m.worker
			m.worker, m.state, m.pool = nil, "moving", body.Pool
			old.end()
			time.AfterFunc(moveTime, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.boot(m)
			})
			answerJSON(w, http.StatusOK, struct{}{})
		}
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

func freePorts(n int) []int {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("find free ports: %v", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// internalPorts returns two successive free ports.
func internalPorts() [2]int {
	for {
		a := freePorts(1)[0]
		l, err := net.Listen("tcp", loopback(a+1))
		if err == nil {
			_ = l.Close()
			return [2]int{a, a + 1}
		}
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (c *cluster) addNode(i int, zone, storeAddress string) {
	ports, internal := freePorts(2), internalPorts()
	n := &node{name: fmt.Sprintf("edge-%s-1", zone), zone: zone, front: loopback(ports[0]), ready: loopback(ports[1]), exited: make(chan struct{})}
	n.settings = filepath.Join(c.dir, n.name+".json")
	allZones := map[string]string{}
	for _, z := range zones {
		allZones[z] = "region"
	}
	data, err := json.MarshalIndent(map[string]any{
		"node": n.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": zone, "region": "region", "zones": allZones,
		"listen": map[string]string{"front": n.front, "ready": n.ready}, "internal_ports": internal, "seeds": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "orders": "request", "advice": "",
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceS,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "max_hold_ms": maxHoldMS,
			"stop_grace_ms": stopGraceMS, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"notice_ms": noticeMS, "move_s": moveTime.Seconds(), "upkeep_s": 2, "enforce_fencing": false, "lease_ms": 3000},
		"platform": map[string]any{"address": storeAddress, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": storeParts, "append_ms": 2.0,
			"record_bytes": 262_144, "call_bytes": 2_097_152, "keep_s": storeKeep.Seconds()},
		"cloud": map[string]any{"address": c.cloud, "rate_per_s": 64.0, "duty_per_s": 64.0},
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(n.settings, data, 0o600)
	}
	if err != nil {
		fail("settings: %v", err)
	}
	c.nodes = append(c.nodes, n)
	log, err := os.Create(filepath.Join(c.dir, n.name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	// The command and the environment of deploy/system.toml.
	n.cmd = exec.Command(c.program, "platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONWINCH_NODE_FILE=" + n.settings, "WIGEONWINCH_PEER_KEY=entry-nodes-of-one-deployment"}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		fail("start %s: %v", c.program, err)
	}
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
}

func (n *node) awaitReady() {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + n.ready + "/wigeonwinch/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	fail("%s did not become ready", n.name)
}

// close ends all processes that the cluster has started.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, n := range c.nodes {
		select {
		case <-n.exited:
			c.record.printf("%s had ended by itself", n.name)
		default:
		}
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.record.printf("logs are kept")
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// call sends a client's request to a node. Status 0 means that there was no answer.
func (c *cluster) call(n *node, method, path string, body any) (status int, answer []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		fail("encode a job: %v", err)
	}
	if body == nil {
		data = nil
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.front+path, bytes.NewReader(data))
	if err != nil {
		fail("request: %v", err)
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	if res, err := httpClient.Do(req); err == nil {
		answer, _ = io.ReadAll(res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
	}
	c.record.printf("client: %s %s at %s -> %d %s", method, path, n.name, status, answer)
	return status, answer
}

// submit hands a job in until it is accepted, at one node after the other.
func (c *cluster) submit(path string, job map[string]any) {
	data, _ := json.Marshal(job)
	c.record.printf("client: job %s: %s", path, data)
	for try := range 20 {
		if status, _ := c.call(c.nodes[try%len(c.nodes)], http.MethodPost, path, job); status/100 == 2 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	fail("the job %s was not accepted", path)
}

// state asks a node for a job's state.
func (c *cluster) state(n *node, path string) string {
	status, data := c.call(n, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.State
}
