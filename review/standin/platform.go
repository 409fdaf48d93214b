package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2000 * time.Millisecond
	peerKey    = "entry-nodes-of-one-deployment"
)

var zones = []string{"z-a", "z-b", "z-c"}

// Platform holds the stand-ins of one deployment.
type Platform struct {
	store   *Store
	judge   *Judge
	dir     string
	storeAt string
	cloudAt string

	// processes guards the start of processes and stopped.
	processes sync.Mutex
	stopped   bool

	mu       sync.Mutex
	machines []*machine
	version  int
	nodes    []*Node
}

type machine struct {
	name, pool, zone, rack, state string
	worker                        *Worker
}

func newPlatform(dir string) *Platform {
	p := &Platform{store: newStore(), judge: newJudge(), dir: dir}
	p.storeAt = serve(p.store)
	p.cloudAt = serve(http.HandlerFunc(p.serveCloud))
	return p
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// addMachines starts workers of a service.
func (p *Platform) addMachines(service string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		i := len(p.machines)
		m := &machine{name: fmt.Sprintf("m-%04x", i), pool: service, zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d", i/4), state: "up"}
		m.worker = startWorker(p, m.name, service, m.zone, m.rack)
		p.machines = append(p.machines, m)
	}
}

// workers returns the workers of a service.
func (p *Platform) workers(service string) []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Worker
	for _, m := range p.machines {
		if m.pool == service && m.state == "up" {
			list = append(list, m.worker)
		}
	}
	return list
}

// use returns the share of a service's capacity that is in use.
func (p *Platform) use(service string) float64 {
	used, all := 0, 0
	for _, w := range p.workers(service) {
		used += w.usedMilli()
		all += workerMilli
	}
	return float64(used) / float64(max(all, 1))
}

func (p *Platform) serveCloud(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r.URL.Path {
	case "/wigeonwinch/machines":
		var rows []map[string]any
		for _, m := range p.machines {
			row := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": workerMilli, "mem_mb": workerMemory, "gpu": 0}, "id": "",
			}
			if m.worker != nil {
				row["id"] = m.worker.id
			}
			rows = append(rows, row)
		}
		answer(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
	case "/wigeonwinch/machine-move", "/wigeonwinch/machine-upkeep":
		var body struct{ Machine, Pool string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		for _, m := range p.machines {
			if m.name == body.Machine {
				p.change(w, m, r.URL.Path == "/wigeonwinch/machine-move", body.Pool)
				return
			}
		}
		w.WriteHeader(http.StatusBadRequest)
	default:
		http.NotFound(w, r)
	}
}

// change moves a machine or takes it down for its upkeep.
func (p *Platform) change(w http.ResponseWriter, m *machine, move bool, pool string) {
	if move && m.pool == pool {
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" {
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	old, delay := m.worker, upkeepTime
	m.state, m.worker = "upkeep", nil
	if move {
		m.state, m.pool, delay = "moving", pool, moveTime
	}
	logLine("machine %s: %s, pool %s", m.name, m.state, m.pool)
	go old.end()
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.worker = startWorker(p, m.name, m.pool, m.zone, m.rack)
		m.state = "up"
	})
	answer(w, http.StatusOK, map[string]any{})
}

// route is one queue of the configuration.
type route struct {
	name, service string
	stretch       float64
	targetMS      int
}

const clientHost = "pule25.example"

// configure writes a new version of the configuration.
func (p *Platform) configure(services []string, routes ...route) {
	p.version++
	var rows, pools []map[string]any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + r.name, "host": clientHost, "path_prefix": "/" + r.name + "/", "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": r.targetMS,
			"priority": 0, "service": r.service, "max_attempts": 4, "stretch": r.stretch,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false})
	}
	p.store.Put("keyed.op", "config", map[string]any{
		"version": p.version, "routes": rows, "services": pools,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	logLine("operator: configuration %d acknowledged: %v", p.version, routes)
}

// Node is one machine of the system: a process of the program.
type Node struct {
	platform     *Platform
	name         string
	front, ready string
	settings     string
	cmd          *exec.Cmd
	exited       chan struct{}
}

// addNode writes the settings of a node and starts its process.
func (p *Platform) addNode() *Node {
	i := len(p.nodes)
	ports := freePorts(4)
	n := &Node{platform: p, name: fmt.Sprintf("edge-%d", i+1), front: loopback(ports[0]), ready: loopback(ports[1]), settings: filepath.Join(p.dir, fmt.Sprintf("boot-%d.json", i+1))}
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "region"
	}
	data, _ := json.Marshal(map[string]any{
		"node": n.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": zones[i%len(zones)], "region": "region", "zones": zoneMap,
		"listen": map[string]string{"front": n.front, "ready": n.ready}, "internal_ports": []int{ports[2], ports[3]}, "seeds": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "orders": "request", "advice": "",
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "recover_s": 12, "max_hold_ms": maxHoldMS, "stop_grace_ms": 200,
			"gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "move_s": 1.5, "upkeep_s": 2,
			"enforce_fencing": false, "lease_ms": 3000, "notice_ms": 4500,
		},
		"platform": map[string]any{
			"address": p.storeAt, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_s": 20.0,
			"record_bytes": recordBytes, "call_bytes": callBytes, "keep_s": 20, "part_mb": 200, "ttl_min_ms": 1000,
		},
		"cloud": map[string]any{"address": p.cloudAt, "rate_per_s": 64.0, "duties": []string{}, "duty_per_s": 64.0},
	})
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		panic(err)
	}
	p.nodes = append(p.nodes, n)
	n.start()
	return n
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// nextPort is where the search for free ports goes on.
var nextPort = 20_000 + rand.IntN(11_000)

// freePorts returns n successive free ports below the range from which the
// operating system takes ports for outgoing connections. No port is returned twice.
func freePorts(n int) []int {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", loopback(nextPort))
		if err != nil {
			ports = nil
		} else {
			_ = l.Close()
			ports = append(ports, nextPort)
		}
		nextPort++
	}
	return ports
}

// start starts the program with the command of the deploy file.
func (n *Node) start() {
	n.platform.processes.Lock()
	defer n.platform.processes.Unlock()
	if n.platform.stopped {
		return
	}
	n.cmd = exec.Command("target/wigeonwinchd", "platform")
	n.cmd.Env = append(os.Environ(), "WIGEONWINCH_NODE_FILE="+n.settings, "WIGEONWINCH_PEER_KEY="+peerKey)
	out, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		fmt.Println("cannot start the program:", err)
		os.Exit(2)
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(n.cmd, n.exited)
	logLine("node %s: started", n.name)
}

// kill ends the process at once, terminate asks it to end and kills it after
// the grace period.
func (n *Node) kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
	logLine("node %s: killed (SIGKILL)", n.name)
}

func (n *Node) terminate() {
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	logLine("node %s: SIGTERM", n.name)
	select {
	case <-n.exited:
	case <-time.After(6 * time.Second):
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	logLine("node %s: ended", n.name)
}

// isReady reports whether the node answers the balancer's check.
func (n *Node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + n.ready + "/wigeonwinch/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (n *Node) awaitReady() {
	for range 100 {
		if n.isReady() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	logLine("node %s does not become ready", n.name)
	exit(2)
}

// stopAll ends all processes; none is started afterwards.
func (p *Platform) stopAll() {
	p.processes.Lock()
	defer p.processes.Unlock()
	p.stopped = true
	for _, n := range p.nodes {
		if n.exited != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
}
