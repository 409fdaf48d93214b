// Stand-ins and clients for the scripts of the review: they start the project's own
// program as separate processes on loopback addresses and judge what callers and workers
// see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "fire"
	host    = "fire.example"
	prefix  = "/check/"
)

// node is one process of the project.
type node struct {
	name, front, ready string
	cmd                *exec.Cmd
}

// world is a small deployment of one service.
type world struct {
	began   time.Time
	recMu   sync.Mutex
	rec     *os.File
	dir     string
	store   *store
	storeAt string
	cloudAt string
	// adviceAt is the address of the service that gives tickets.
	adviceAt string
	ticketMu sync.Mutex
	// tickets holds until when a ticket is valid.
	tickets map[string]time.Time
	workers []*worker
	nodes   []*node
	begunMu sync.Mutex
	begun   map[string]int
	client  *http.Client
	trouble bool
	gangs   *gangs
}

func newWorld(recordPath string) (*world, error) {
	rec, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), rec: rec, dir: dir, store: newStore(), begun: map[string]int{}, tickets: map[string]time.Time{}, gangs: &gangs{runs: map[string]*gangRun{}}, trouble: os.Getenv("TROUBLE") != "0",
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	w.store.refused = func(topic, part string, n int) {
		w.log("store: append of %d bytes to %s/%s is over the limit of a call or a record, answered 413", n, topic, part)
	}
	w.storeAt = strings.TrimPrefix(httptest.NewServer(w.store).URL, "http://")
	w.cloudAt = strings.TrimPrefix(httptest.NewServer(http.HandlerFunc(w.serveCloud)).URL, "http://")
	w.adviceAt = strings.TrimPrefix(httptest.NewServer(http.HandlerFunc(w.serveAdvice)).URL, "http://")
	w.log("trouble=%v", w.trouble)
	return w, nil
}

func (w *world) log(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	fmt.Fprintf(w.rec, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) addWorkers(service string, n, cpu int) {
	for range n {
		i := len(w.workers)
		id := fmt.Sprintf("i-%08x", 0x10+i)
		w.workers = append(w.workers, startWorker(w.store, id, service, []string{"z1", "z2", "z3"}[i%3], fmt.Sprintf("r%d-1", i%3+1), cpu, w.log, func(job string) {
			w.begunMu.Lock()
			w.begun[job]++
			w.begunMu.Unlock()
		}, w.gangs))
	}
}

func (w *world) starts(job string) int {
	w.begunMu.Lock()
	defer w.begunMu.Unlock()
	return w.begun[job]
}

const (
	adviceTime = 5 * time.Millisecond
	ticketTime = 3 * time.Second
)

// stepOf returns the step of a task.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// serveAdvice permits each step on all workers.
func (w *world) serveAdvice(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(adviceTime + time.Duration(len(in.Workers))*time.Millisecond)
	w.ticketMu.Lock()
	defer w.ticketMu.Unlock()
	good := [][]string{}
	for _, id := range in.Workers {
		ticket := fmt.Sprintf("%s-%s-%x", in.Step, id, len(w.tickets))
		w.tickets[ticket] = time.Now().Add(ticketTime)
		good = append(good, []string{id, ticket})
	}
	w.log("advice: %s on %d workers", in.Step, len(in.Workers))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// permits reports whether a ticket allows a task to start on a worker now.
func (w *world) permits(task, worker, ticket string) bool {
	w.ticketMu.Lock()
	defer w.ticketMu.Unlock()
	until, known := w.tickets[ticket]
	return known && time.Now().Before(until) && strings.HasPrefix(ticket, stepOf(task)+"-"+worker+"-")
}

// serveCloud lists the machines. They stay where they are: there is one pool.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/wigeonwinch/machines" {
		rw.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(rw, `{"reason":"busy"}`)
		return
	}
	list := []map[string]any{}
	for _, wk := range w.workers {
		state := "up"
		if wk.isGone() {
			state = "down"
		}
		list = append(list, map[string]any{"machine": wk.machine, "pool": wk.service, "state": state, "zone": wk.zone, "labels": []string{"a", wk.rack},
			"capacity": map[string]int{"cpu": wk.cpu, "mem_mb": 131072, "gpu": 0}, "id": wk.id})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": list, "next_page_token": nil})
}

// putConfig writes the operator's configuration: one queue, whose tasks the given service
// runs, with advice or without.
func (w *world) putConfig(version int, service string, advice bool) {
	route := map[string]any{"name": "r-fire", "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
		"priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6}
	if advice {
		route["advice"] = map[string]any{"decide_ms": adviceTime.Milliseconds(), "each_ms": 1, "valid_ms": ticketTime.Milliseconds()}
	}
	services := []any{}
	for _, name := range []string{"fire", "water"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false})
	}
	w.log("operator: configuration %d sends the queue to %s", version, service)
	cfg := map[string]any{"version": version, "routes": []any{route}, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	data, _ := json.Marshal(cfg)
	w.store.put("keyed.op", "config", data)
}

// freePorts returns n free ports in a row.
func freePorts(n int) int {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		first := l.Addr().(*net.TCPAddr).Port
		l.Close()
		open := []net.Listener{}
		for i := range n {
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			l.Close()
		}
		if len(open) == n {
			return first
		}
	}
}

func (w *world) startNodes(n int) error {
	for i := range n {
		p := freePorts(7)
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", p+k) }
		name := fmt.Sprintf("edge-z%d-1", i%3+1)
		if i >= 3 {
			name = fmt.Sprintf("edge-z%d-%d", i%3+1, i/3+1)
		}
		settings := map[string]any{
			"node": name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": fmt.Sprintf("z%d", i%3+1), "region": "r",
			"zones":  map[string]string{"z1": "r", "z2": "r", "z3": "r"},
			"listen": map[string]string{"front": at(0), "ready": at(1), "control": at(2)}, "internal_ports": []int{p + 3, p + 6}, "seeds": []string{},
			"bootstrap": true, "counts_as_loss": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
			"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
				"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "max_hold_ms": maxHoldMS, "stop_grace_ms": 400, "gang_timeout_ms": 3000,
				"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 3, "checkpoint_s": 1, "restore_ms": 100, "notice_ms": 4500,
				"move_s": 1.5, "upkeep_s": 2, "enforce_fencing": false, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000},
			"orders": "request", "advice": w.adviceAt,
			"platform": map[string]any{"address": w.storeAt, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_s": 20.0,
				"read_mb_s": 80.0, "record_bytes": recordBytes, "call_bytes": callBytes, "keep_s": 20, "part_mb": 200, "ttl_min_ms": 1000},
			"cloud": map[string]any{"address": w.cloudAt, "rate_per_s": 64.0, "duties": []string{}, "duty_per_s": 64.0},
		}
		data, _ := json.MarshalIndent(settings, "", " ")
		file := filepath.Join(w.dir, name+".json")
		if err := os.WriteFile(file, data, 0o644); err != nil {
			return err
		}
		nd := &node{name: name, front: at(0), ready: at(1)}
		w.nodes = append(w.nodes, nd)
		if err := w.startNode(nd); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a process as the deploy file says.
func (w *world) startNode(n *node) error {
	out, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/wigeonwinchd", "platform")
	n.cmd.Env = []string{"WIGEONWINCH_NODE_FILE=" + filepath.Join(w.dir, n.name+".json"), "WIGEONWINCH_PEER_KEY=entry-nodes-of-one-deployment",
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.log("%s starts", n.name)
	return n.cmd.Start()
}

// ownerOf returns the node that took the shard of a service over last, by the nodes' logs.
// It only decides which process the disruption hits.
func (w *world) ownerOf(service string) *node {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	mark := fmt.Sprintf("topic=4 partition=%d ", h.Sum32()%12)
	var owner *node
	var epoch int64
	for _, n := range w.nodes {
		data, _ := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		for _, line := range strings.Split(string(data), "\n") {
			var e struct {
				Name, Detail string
			}
			var taken int64
			if json.Unmarshal([]byte(line), &e) != nil || e.Name != "shard_taken" || !strings.HasPrefix(e.Detail, mark) {
				continue
			}
			if _, err := fmt.Sscanf(e.Detail[len(mark):], "epoch=%d", &taken); err == nil && taken > epoch {
				owner, epoch = n, taken
			}
		}
	}
	return owner
}

// awaitReady waits until all nodes are ready for work.
func (w *world) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, n := range w.nodes {
		for {
			res, err := w.client.Get("http://" + n.ready + "/wigeonwinch/ready")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// call sends one request of a client to a node. Status 0 means no answer.
func (w *world) call(n *node, method, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	res, err := w.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in, as a client of the pages does: after no answer, 502 or 504 the
// same ID is sent again, and after 429 or 503 it is a new attempt. It returns whether the
// job was accepted, and whether every attempt was rejected.
func (w *world) submit(id string, body []byte) (accepted, rejected bool) {
	rejected = true
	for try := range 5 {
		n := w.nodes[(int(id[0])+int(id[15])+try)%len(w.nodes)]
		status, text := w.call(n, http.MethodPost, id, body)
		w.log("client: POST %s at %s: %d %s", id, n.name, status, text)
		if status >= 200 && status < 300 {
			return true, false
		}
		if status != 429 && status != 503 {
			rejected = false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false, rejected
}

// get asks for a job's state, or with an empty ID for the queue's waiting jobs.
func (w *world) get(n *node, id string) (int, string) {
	status, text := w.call(n, http.MethodGet, id, nil)
	w.log("client: GET %s at %s: %d %s", id, n.name, status, text)
	return status, text
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	w.rec.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
