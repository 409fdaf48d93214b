package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	regionName = "region"
	clientHost = "pule25.example"
)

var zoneNames = []string{"z-a", "z-b", "z-c"}

func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }

// queue is a queue of the configuration.
type queue struct{ path, service string }

// queues are the queues of the configuration; each service has one.
var queues = []queue{{"/lint/", "intake"}, {"/fire/", "desk"}}

// Options are the options of a run.
type Options struct {
	// Program is the path of wigeonwinchd.
	Program string
	// Dir is the directory of the settings and logs.
	Dir string
	// Seed determines all random choices.
	Seed           uint64
	Nodes, Workers int
	// Duration is how long clients hand in jobs.
	Duration time.Duration
	// Kinds are the kinds of faults of a run whose faults follow one another without a
	// pause; none stands for all kinds, with pauses.
	Kinds []FaultKind
	// MemoryMB and MaxFDs are the limits in the nodes' settings; 0 stands for those of a
	// common VM.
	MemoryMB, MaxFDs int
}

// Limits of a common VM.
const (
	commonMemoryMB = 284
	commonMaxFDs   = 4100
)

// limits returns the limits in the nodes' settings.
func (o Options) limits() map[string]any {
	return map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": cmp.Or(o.MemoryMB, commonMemoryMB), "max_fds": cmp.Or(o.MaxFDs, commonMaxFDs)}
}

// Streams of random numbers; clients and workers have one each.
const (
	streamPlan uint64 = iota
	streamAccess
	streamKeys
	streamLate
	streamWorkers   uint64 = 1 << 8
	streamClients   uint64 = 1 << 16
	streamScenarios uint64 = 1 << 24
)

func (o Options) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, stream)) }

// Cluster is the program's nodes and the stand-ins that they work with.
type Cluster struct {
	options  Options
	record   *Record
	calm     *Calm
	judge    *Judge
	store    *Store
	machines *Machines
	late     *LateCalls
	keys     *Keys
	nodes    []*Node
	// partitions holds the zones that are cut off.
	partitions partitions

	mu       sync.Mutex
	launched uint64
	version  int
	servers  []*http.Server
}

// StartCluster starts the stand-ins and the nodes and waits until all are ready.
// The caller closes the cluster.
func StartCluster(o Options) (*Cluster, error) {
	record, err := NewRecord(o.Dir)
	if err != nil {
		return nil, err
	}
	calm := NewCalm()
	c := &Cluster{options: o, record: record, calm: calm, judge: NewJudge(record, calm), store: NewStore(), keys: NewKeys(o.withCaps()), partitions: newPartitions()}
	c.judge.caps = o.withCaps()
	c.machines = NewMachines(record, c.launchWorker)
	c.late = NewLateCalls(o.random(streamLate))
	c.late.current = c.machines.Life
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	cloud, err := c.serve(c.machines)
	if err != nil {
		return err
	}
	ports, err := freePorts(4 * c.options.Nodes)
	if err != nil {
		return err
	}
	for i := range c.options.Nodes {
		if err := c.addNode(i, [4]int(ports[4*i:]), cloud); err != nil {
			return err
		}
	}
	if err := c.linkNodes(); err != nil {
		return err
	}
	for i := range c.options.Workers {
		if err := c.machines.Add(queues[i%len(queues)].service); err != nil {
			return err
		}
	}
	if err := c.configure(); err != nil {
		return err
	}
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return c.awaitOwners()
}

// Close ends all processes and stand-ins.
func (c *Cluster) Close() {
	var closing sync.WaitGroup
	for _, n := range c.nodes {
		closing.Go(n.close)
	}
	closing.Wait()
	c.machines.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
	_ = c.record.Close()
}

func (c *Cluster) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	c.mu.Lock()
	c.servers = append(c.servers, server)
	c.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// addNode prepares a node. ports are those for clients, for the health check and
// the two internal ones.
func (c *Cluster) addNode(i int, ports [4]int, cloud string) error {
	name := fmt.Sprintf("node-%d", i+1)
	n := &Node{
		name: name, program: c.options.Program, front: loopback(ports[0]), ready: loopback(ports[1]), peer: loopback(ports[2]), operator: loopback(ports[3]),
		record: c.record, peers: map[*Node]*Proxy{}, links: map[string]*Proxy{},
		settings: filepath.Join(c.options.Dir, name+".json"), log: filepath.Join(c.options.Dir, name+".log"),
	}
	n.access = c.store.Access(n.view, c.options.random(streamAccess+uint64(i)))
	address, err := c.serve(n.access)
	if err != nil {
		return err
	}
	if n.proxy, err = NewProxy(address); err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	return n.writeSettings(zoneOf(i), [2]int{ports[2], ports[3]}, cloud, c.options.limits())
}

// linkNodes opens the nodes' ways to one another.
func (c *Cluster) linkNodes() error {
	for _, n := range c.nodes {
		for _, other := range c.nodes {
			link, err := NewProxy(other.peer)
			if err != nil {
				return err
			}
			n.peers[other] = link
		}
	}
	return nil
}

var addressField = []byte(`"address":"`)

// view returns a record with the addresses of the node's own ways to workers and to
// other nodes.
func (n *Node) view(topic string, record []byte) []byte {
	switch topic {
	case topicWorkers:
		return n.viewWorker(record)
	case topicNodes:
		// All ports have five digits, so that the record keeps its length.
		for other, link := range n.peers {
			record = bytes.ReplaceAll(record, []byte(other.peer), []byte(link.Address()))
		}
	}
	return record
}

// viewWorker translates a worker's entry. Entries in the store have the worker's ID as
// the address.
func (n *Node) viewWorker(entry []byte) []byte {
	before, rest, found := bytes.Cut(entry, addressField)
	if !found {
		return entry
	}
	id, after, _ := bytes.Cut(rest, []byte{'"'})
	link := n.link(string(id))
	if link == nil {
		return entry
	}
	return fmt.Appendf(nil, "%s%s%s\"%s", before, addressField, link.Address(), after)
}

// launchWorker starts a worker and opens a way to it for each node.
func (c *Cluster) launchWorker(place WorkerPlace) (*Worker, error) {
	c.mu.Lock()
	c.launched++
	random := c.options.random(streamWorkers + c.launched)
	c.mu.Unlock()
	w := NewWorker(place, c.store, c.judge, random)
	w.late = c.late
	var links []*Proxy
	firstBeat, restartBeat := time.Duration(0), between(random, 0, workerHeartbeat)
	for _, n := range c.nodes {
		address, err := w.ListenFor(n.name)
		if err != nil {
			return nil, err
		}
		link := n.link(w.id)
		if link != nil {
			link.Retarget(address)
			firstBeat = restartBeat
		} else if link, err = NewProxy(address); err != nil {
			return nil, err
		}
		n.addLink(w.id, link)
		links = append(links, link)
	}
	go func() {
		<-w.gone
		if w.restarts {
			return
		}
		for _, link := range links {
			link.Close()
		}
	}()
	w.Register(w.id, firstBeat)
	return w, nil
}

// configure writes a new version of the configuration.
func (c *Cluster) configure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	var routes, services []map[string]any
	for i, q := range queues {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("queue-%d", i), "host": clientHost, "path_prefix": q.path, "type": "unsafe", "timeout_ms": clientTimeout.Milliseconds(),
			"target_latency_ms": 3000, "priority": 0, "service": q.service, "max_attempts": maxAttempts, "stretch": 4.0,
		})
		services = append(services, map[string]any{
			"name": q.service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false,
		})
	}
	customers, applied := c.keys.next()
	err := c.store.Put(topicOperator, "config", map[string]any{
		"version": c.version, "routes": routes, "services": services, "tenants": customers,
		"limits": map[string]int{"max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
	})
	if err == nil {
		applied()
	}
	return err
}

const ownersTimeout = 20 * time.Second

// awaitOwners waits until each service has a node that gives its orders.
func (c *Cluster) awaitOwners() error {
	for deadline := time.Now().Add(ownersTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		missing := 0
		for _, q := range queues {
			if c.judge.Owner(q.service) == "" {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return errors.New("no node gives orders to the workers of each service; see the logs of the nodes")
}

// node returns the node of a name, or nil.
func (c *Cluster) node(name string) *Node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns free ports in groups of four successive ones. They do not depend
// on the seed, so that runs of one seed can go on side by side.
func freePorts(n int) ([]int, error) {
	var ports []int
	for port := firstPort + rand.IntN(lastPort-firstPort-spareRange); len(ports) < n; port++ {
		if port > lastPort {
			return nil, errors.Errorf("no %d free ports up to %d", n, lastPort)
		}
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			ports = ports[:len(ports)/4*4]
			continue
		}
		_ = l.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// Fixed ports are below the range from which the operating system takes the ports
// of outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 32_000
	// spareRange leaves room to go on from the highest port to start at.
	spareRange = 2000
)
