package jobhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
)

// chaosSite runs three hosts with two shards, each host with faults of its own.
type chaosSite struct {
	*testSite
	t      *testing.T
	random *rand.Rand
	hosts  []*chaosHost
	// callers are the callers' goroutines, requests those of their requests, which
	// may last longer.
	callers, requests sync.WaitGroup

	mu     sync.Mutex
	jobs   map[string]*chaosJob
	owners map[deps.Partition]ownership
	// answers holds the hosts' answers to cancels by job.
	answers   map[string][]cancelAck
	takeovers int
}

// chaosHost is a node whose process may be replaced.
type chaosHost struct {
	name, ip string
	faults   *hostFaults

	mu      sync.Mutex
	current *Host
	// stop hands the shards over and ends the process.
	stop func()
}

func (c *chaosHost) host() *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func newChaosSite(t *testing.T, seed uint64) *chaosSite {
	s := &chaosSite{
		testSite: newTestSite(t, chainRunTime), t: t, random: rand.New(rand.NewPCG(seed, 1)),
		jobs: map[string]*chaosJob{}, owners: map[deps.Partition]ownership{}, answers: map[string][]cancelAck{},
	}
	queue := func(name, service string) shard.Queue {
		return shard.Queue{Name: name, Service: service, MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}
	}
	require.NoError(t, s.store.Put(deps.TopicOperator, "config", deps.Configuration{Version: 2,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: queue("q", "s")}, {Host: "h", PathPrefix: "/r/", Queue: queue("r", "t")}},
		Pools:  []deps.Pool{{Service: "s"}, {Service: "t"}}}))
	require.NoError(t, s.store.Put(deps.TopicWorkers, "w-t", shard.Worker{ID: "w-t", Address: "w-t", Service: "t", Capacity: spec.Resources{MilliCPU: 32_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()}))
	for i, name := range []string{"a", "b", "c"} {
		slot := &chaosHost{name: name, ip: []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}[i], faults: &hostFaults{random: rand.New(rand.NewPCG(seed, uint64(2+i)))}}
		s.hosts = append(s.hosts, slot)
		s.start(slot)
	}
	require.NotEqual(t, s.hosts[0].host().partitionOf("s"), s.hosts[0].host().partitionOf("t"))
	return s
}

// start runs a new process of a node.
func (s *chaosSite) start(slot *chaosHost) {
	cfg := s.config(slot.name, slot.ip)
	cfg.Store = faultyStore{s.store, slot.faults, s.noteAppend}
	cfg.Workers = faultyWorkers{s.workers, slot.faults, func(st shard.Start) { s.noteStart(slot.name, st.Key) }}
	h := New(cfg)
	for method, handle := range map[uint16]func(context.Context, string, []byte) ([]byte, error){methodRequest: h.serveRequest, methodOwner: h.serveOwner, methodCordon: h.serveCordon} {
		h.mesh.Handle(method, func(ctx context.Context, from string, body []byte) ([]byte, error) {
			return s.receive(ctx, slot, from, method, body, handle)
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); assert.NoError(s.t, h.Run(ctx)) }()
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.current = h
	slot.stop = func() { cancel(); <-h.HandedOver(); h.Close(); <-ended }
}

// receive handles a message that one host sends to another, unless one of them is
// cut from its peers.
func (s *chaosSite) receive(ctx context.Context, to *chaosHost, from string, method uint16, body []byte, handle func(context.Context, string, []byte) ([]byte, error)) ([]byte, error) {
	sender := s.hostNamed(from)
	to.faults.waitThawed()
	if to.faults.peersAreCut() || sender.faults.peersAreCut() {
		<-ctx.Done()
		return nil, errFault
	}
	answer, err := handle(ctx, from, body)
	if method == methodRequest && err == nil {
		var r forwardedRequest
		var res Result
		if decMode.Unmarshal(body, &r) == nil && decMode.Unmarshal(answer, &res) == nil && r.Request.Op == OpCancel && r.Partition == to.host().partitionOf(r.Request.Service).Index {
			s.noteAnswer(to, sender, r.Request.ID, res.Outcome)
		}
	}
	to.faults.waitThawed()
	if to.faults.peersAreCut() || sender.faults.peersAreCut() {
		<-ctx.Done()
		return nil, errFault
	}
	return answer, err
}

func (s *chaosSite) hostNamed(name string) *chaosHost {
	for _, slot := range s.hosts {
		if slot.name == name {
			return slot
		}
	}
	return nil
}

func (s *chaosSite) anyHost(random *rand.Rand) *chaosHost { return s.hosts[random.IntN(len(s.hosts))] }

// ownerOf returns the owner of a service's shard in the store.
func (s *chaosSite) ownerOf(service string) *chaosHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostNamed(s.owners[s.hosts[0].host().partitionOf(service)].Node)
}

func (s *chaosSite) noteStart(host string, k shard.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[k.Job]; j != nil {
		j.lastRun = chaosStart{time.Now(), host, k}
	}
}

// run applies load and faults, and then waits until the jobs have ended.
func (s *chaosSite) run() {
	defer func() {
		for _, slot := range s.hosts {
			slot.stop()
		}
	}()
	for _, service := range []string{"s", "t"} {
		probe := newChaosJob(1, service)
		require.Eventually(s.t, func() bool {
			return s.hosts[0].host().Do(s.t.Context(), Request{Op: OpShow, Service: service, ID: probe.spec.ID}).Outcome == Missing
		}, 20*time.Second, 50*time.Millisecond)
	}
	s.setNoise(true)
	faults := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	faultsEnd := make(chan struct{})
	go func() { defer close(faultsEnd); s.injectFaults(faults) }()
	s.submitJobs(faultsEnd)
	s.setNoise(false)
	s.callers.Wait()
	s.requests.Wait()
	s.awaitEnds()
}

func (s *chaosSite) setNoise(on bool) {
	for _, slot := range s.hosts {
		slot.faults.setNoise(on)
	}
}

// submitJobs submits jobs until the faults end.
func (s *chaosSite) submitJobs(faultsEnd <-chan struct{}) {
	for n := 2; ; n++ {
		j := newChaosJob(n, []string{"s", "t"}[s.random.IntN(2)])
		s.mu.Lock()
		s.jobs[j.spec.ID] = j
		s.mu.Unlock()
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		s.callers.Go(func() { s.runCaller(j, random) })
		select {
		case <-faultsEnd:
			return
		case <-time.After(time.Duration(s.random.Int64N(int64(2 * submitInterval)))):
		}
	}
}

// awaitEnds asks for the states of the accepted jobs until all are final.
func (s *chaosSite) awaitEnds() {
	until := time.Now().Add(settleFor)
	for id, j := range s.jobs {
		for j.accepted {
			j.state = s.ask(s.hosts[len(id)%len(s.hosts)], OpShow, j)
			if j.state.Outcome == Done && j.state.State.Final() || time.Now().After(until) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
