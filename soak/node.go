package soak

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	graceS = 6
	// readyTimeout is how long a node may take to become ready.
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	// peerKey is shared by all nodes of one run.
	peerKey = "entry-nodes-of-one-deployment"
)

// Node is an entry node: one process of the program at a time.
type Node struct {
	name    string
	program string
	front   string
	ready   string
	// peer is the address for other nodes.
	peer string
	// operator is the address for metrics and the operator API.
	operator string
	// settings is the path of the settings file, log that of the process's output.
	settings, log string
	record        *Record
	// access and proxy are the node's way to the store, links its ways to workers and
	// peers, by ID and by name, those to other nodes.
	access *StoreAccess
	proxy  *Proxy
	peers  map[*Node]*Proxy

	mu      sync.Mutex
	links   map[string]*Proxy
	process *process
	closed  bool
}

// process is one process of the program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a process of the program unless one runs.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.process != nil && !n.process.hasExited() {
		return nil
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of a node")
	}
	cmd := exec.Command(n.program, "platform")
	cmd.Env = append(os.Environ(), "WIGEONWINCH_NODE_FILE="+n.settings, "WIGEONWINCH_PEER_KEY="+peerKey)
	cmd.Stdout, cmd.Stderr = out, out
	// The process must not outlive the soak, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "start the program; build it first")
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	n.process = p
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	n.record.Printf("node %s: started, process %d", n.name, cmd.Process.Pid)
	return nil
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (n *Node) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Freeze stops the node's process and returns the function that lets it go on.
func (n *Node) Freeze() (thaw func()) {
	p := n.current()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	n.record.Printf("node %s: frozen", n.name)
	return func() {
		n.record.Printf("node %s: goes on", n.name)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Kill ends the node's process at once.
func (n *Node) Kill() {
	p := n.current()
	_ = p.cmd.Process.Kill()
	<-p.exited
	n.record.Printf("node %s: killed", n.name)
}

// Terminate asks the process to end and kills it after the grace period. It reports whether
// the process ended by itself.
func (n *Node) Terminate() (inTime bool) {
	p := n.current()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	n.record.Printf("node %s: SIGTERM", n.name)
	select {
	case <-p.exited:
		inTime = true
	case <-time.After(graceS * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	n.record.Printf("node %s: ended", n.name)
	return inTime
}

// close ends the process for good.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	p := n.process
	n.mu.Unlock()
	if p != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if n.proxy != nil {
		n.proxy.Close()
	}
	for _, p := range n.peers {
		p.Close()
	}
}

// awaitReady waits until the node reports that it is ready.
func (n *Node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		res, err := client.Get("http://" + n.ready + "/wigeonwinch/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s did not become ready, see %s", n.name, n.log)
}

// addLink adds the node's way to a worker.
func (n *Node) addLink(worker string, p *Proxy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[worker] = p
}

func (n *Node) link(worker string) *Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[worker]
}

// writeSettings writes the settings file. ports are the first two internal ones, limits
// those of the VM.
func (n *Node) writeSettings(zone string, ports [2]int, cloud string, limits map[string]any) error {
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = regionName
	}
	data, err := json.MarshalIndent(map[string]any{
		"node": n.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": zone, "region": regionName, "zones": zones,
		"listen": map[string]string{"front": n.front, "ready": n.ready}, "internal_ports": ports, "seeds": []string{}, "bootstrap": true,
		"limits":    limits,
		"discovery": "platform", "entry": "vip", "heartbeat_ms": workerHeartbeat.Milliseconds(), "orders": "request", "advice": "",
		"bounds": map[string]any{
			"contact_ms": contactMS, "grace_s": graceS, "max_hold_ms": maxHoldMS, "stop_grace_ms": stopGraceMS, "cancel_ms": cancelMS,
			"visible_ms": visibleMS, "finish_s": finishTime.Seconds(), "status_s": 120, "move_s": moveTime.Seconds(), "lease_ms": 3000,
		},
		"platform": map[string]any{
			"address": n.proxy.Address(), "form": "log", "parts": storeParts, "record_bytes": storeRecordBytes, "call_bytes": storeCallBytes, "keep_s": storeKeepS,
		},
		"cloud": map[string]any{"address": cloud, "duty_per_s": 64.0},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(n.settings, data, 0o600), "write settings")
}
