package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/cmd/internal/apiclient"
	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/standin"
	"wigeonwinch/node/admin"
	"wigeonwinch/node/entry"
	"wigeonwinch/node/pause"
	"wigeonwinch/node/settings"
)

// Secrets of the demo; they protect nothing.
const (
	demoPeerKey      = "demo-peer-key-0123456789"
	demoReadToken    = "demo-read-token"
	demoPublishToken = "demo-publish-token"
)

// Behaviour of the stand-ins in the demo.
const (
	listLag    = 2 * time.Second
	usageLag   = time.Second
	rebootTime = 1500 * time.Millisecond
	stopTime   = 60 * time.Second
)

// site is everything that a demo runs.
type site struct {
	manifest *structs.Manifest
	ledger   *standin.Ledger
	fleet    *standin.Fleet
	backends map[string]*standin.Backend
	platform *http.Server
	address  string
	nodeLog  io.Writer

	mu         sync.Mutex
	nodes      []*runningNode
	retired    int64
	started    int
	failures   []error
	inForce    []time.Duration
	waveName   string
	generation uint64
}

// runningNode is one entry node with what stops it.
type runningNode struct {
	node *entry.Node
	stop context.CancelFunc
	done chan struct{}
}

func newSite(opts Options) (*site, error) {
	m, problems := manifest.Parse(opts.Manifest)
	if len(problems) > 0 {
		return nil, errors.Wrapf(problems[0], "the manifest has %d faults, the first", len(problems))
	}
	m.Waves = nil
	m.BaseGeneration = 0
	s := &site{
		manifest: m,
		ledger:   standin.NewLedger(),
		fleet:    standin.NewFleet(standin.FleetOptions{ListLag: listLag, UsageLag: usageLag, RebootTime: rebootTime}),
		backends: map[string]*standin.Backend{},
		nodeLog:  opts.NodeLog,
	}
	if s.nodeLog == nil {
		s.nodeLog = io.Discard
	}
	if err := s.startBackends(); err != nil {
		return nil, err
	}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	for _, zone := range m.Zones {
		if err := s.startNode(zone); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) startBackends() error {
	for i := range s.manifest.VMs {
		vm := &s.manifest.VMs[i]
		backend, err := standin.StartBackend("127.0.0.1:0", standin.BackendOptions{
			ID: vm.ID, Slots: vm.Slots, Connections: vm.Connections, Ledger: s.ledger,
		})
		if err != nil {
			return err
		}
		vm.Address = backend.Address()
		s.backends[vm.ID] = backend
		s.fleet.Add(infra.ListedVM{
			ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Image: s.imageOf(vm.Pool),
		}, backend)
	}
	return nil
}

func (s *site) imageOf(pool string) string {
	for _, p := range s.manifest.Pools {
		if p.Name == pool {
			return p.Image
		}
	}
	return ""
}

func (s *site) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	log := standin.NewLog(standin.LogOptions{})
	s.platform = &http.Server{Handler: standin.Handler(log, s.fleet), ReadHeaderTimeout: 5 * time.Second}
	s.address = listener.Addr().String()
	go func() { _ = s.platform.Serve(listener) }()
	return nil
}

// startNode starts an entry node in a zone and lists it.
func (s *site) startNode(zone structs.Zone) error {
	s.mu.Lock()
	s.started++
	name := fmt.Sprintf("entry-%s-%d", zone.Name, s.started)
	conf := s.nodeSettings(name, zone)
	s.mu.Unlock()
	node, err := entry.New(entry.Config{Settings: conf, LogOutput: s.nodeLog})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &runningNode{node: node, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		if err := node.Run(ctx); err != nil {
			s.fail(errors.Wrapf(err, "node %s", name))
		}
	}()
	s.fleet.Add(infra.ListedVM{ID: name, Kind: infra.VMKindEntry, Zone: zone.Name, Address: node.PeerAddress()}, nil)
	s.mu.Lock()
	s.nodes = append(s.nodes, running)
	s.mu.Unlock()
	return nil
}

func (s *site) nodeSettings(name string, zone structs.Zone) *settings.Settings {
	conf := settings.Defaults()
	conf.Node, conf.Zone, conf.Region = name, zone.Name, zone.Region
	conf.CallerAddress, conf.PeerAddress, conf.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.PlatformAddress = s.address
	conf.PeerKeys = []settings.Secret{settings.PlainSecret(demoPeerKey)}
	conf.ReadTokens = []settings.Secret{settings.PlainSecret(demoReadToken)}
	conf.PublishTokens = []settings.Secret{settings.PlainSecret(demoPublishToken)}
	conf.Limits.NoticeSeconds = 1
	conf.Timing.ListMS = 500
	conf.Timing.PlanMS = 250
	conf.Timing.UsageMS = 500
	conf.Timing.ListBytesPerSecond = 100_000
	conf.Timing.UsageBytesPerSecond = 100_000
	conf.Timing.ProbeMS = 500
	conf.Timing.ProbationMS = 1000
	conf.Timing.LeaseTTLMS = 5000
	for _, other := range s.nodes {
		conf.Peers = append(conf.Peers, settings.Peer{Node: other.node.Name(), Zone: other.node.Zone(), Address: other.node.PeerAddress()})
	}
	return &conf
}

// live returns the nodes that have not been retired.
func (s *site) live() []*runningNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*runningNode(nil), s.nodes...)
}

func (s *site) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err)
}

// settle publishes the manifest and waits until every node is ready.
func (s *site) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if err := s.publish(ctx); err != nil {
		return err
	}
	for _, n := range s.live() {
		for {
			if ready, _ := n.node.Ready(); ready {
				break
			}
			if !pause.For(ctx, 50*time.Millisecond) {
				_, reason := n.node.Ready()
				return errors.Errorf("node %s is not ready after %s: %s", n.node.Name(), settleTime, reason)
			}
		}
	}
	return nil
}

// publish publishes the site's manifest through the first node that takes it
// and measures how long it takes to be in force on every node.
func (s *site) publish(ctx context.Context) error {
	var last error
	for ctx.Err() == nil {
		sent := time.Now()
		answer, err := s.tryPublish(ctx)
		if err == nil && answer.Outcome == admin.OutcomeAccepted {
			return s.awaitInForce(ctx, uint64(answer.Generation), sent)
		}
		last = err
		if err == nil {
			last = errors.Errorf("publish %s: %s %s", answer.Outcome, answer.Reason, answer.Detail)
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	return errors.Wrap(last, "the manifest was not accepted in time")
}

func (s *site) tryPublish(ctx context.Context) (admin.PublishResult, error) {
	s.mu.Lock()
	node := s.nodes[0]
	s.manifest.BaseGeneration = s.generation
	data, err := json.Marshal(s.manifest)
	s.mu.Unlock()
	if err != nil {
		return admin.PublishResult{}, err
	}
	client := apiclient.New(node.node.AdminAddress(), demoPublishToken, 5*time.Second)
	return client.Publish(ctx, data)
}

// awaitInForce waits until every live node shows the generation and notes the
// time since the publish was sent.
func (s *site) awaitInForce(ctx context.Context, generation uint64, sent time.Time) error {
	for _, n := range s.live() {
		for {
			view := n.node.View()
			if view != nil && uint64(view.Generation) >= generation {
				break
			}
			if !pause.For(ctx, time.Millisecond) {
				return errors.Errorf("generation %d is not in force on node %s", generation, n.node.Name())
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = generation
	s.inForce = append(s.inForce, time.Since(sent))
	return nil
}

// startWave adds a wave over the first pool that is not spare.
func (s *site) startWave(ctx context.Context) error {
	s.mu.Lock()
	pool := s.manifest.Pools[0].Name
	for _, p := range s.manifest.Pools {
		if p.Spare {
			pool = p.Name
		}
	}
	s.waveName = "demo"
	s.manifest.Waves = append(s.manifest.Waves, structs.Wave{Name: s.waveName, Image: "demo-image", Pools: []string{pool}})
	s.mu.Unlock()
	return s.publish(ctx)
}

// publishChange changes one team's weight.
func (s *site) publishChange(ctx context.Context) error {
	s.mu.Lock()
	s.manifest.Teams[0].Weight++
	s.mu.Unlock()
	return s.publish(ctx)
}

// replaceNode starts a new entry node in the last zone, then stops the old
// one gracefully, as an operator rolling out a version does.
func (s *site) replaceNode(ctx context.Context) error {
	zone := s.manifest.Zones[len(s.manifest.Zones)-1]
	old := s.live()[len(s.manifest.Zones)-1]
	if err := s.startNode(zone); err != nil {
		return err
	}
	fresh := s.live()[len(s.manifest.Zones)]
	for {
		if ready, _ := fresh.node.Ready(); ready {
			break
		}
		if !pause.For(ctx, 50*time.Millisecond) {
			return errors.New("the new node did not become ready")
		}
	}
	s.retire(old)
	return nil
}

func (s *site) retire(old *runningNode) {
	s.fleet.SetPresence(old.node.Name(), infra.PresenceLeaving)
	old.stop()
	select {
	case <-old.done:
	case <-time.After(stopTime):
		s.fail(errors.Errorf("node %s did not stop within %s", old.node.Name(), stopTime))
	}
	s.fleet.SetPresence(old.node.Name(), infra.PresenceTerminated)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired += old.node.Violations()
	for i, n := range s.nodes {
		if n == old {
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
			return
		}
	}
}

func (s *site) close() {
	for _, n := range s.live() {
		n.stop()
	}
	for _, n := range s.live() {
		select {
		case <-n.done:
		case <-time.After(5 * time.Second):
		}
	}
	_ = s.platform.Close()
	for _, b := range s.backends {
		b.Close()
	}
}
