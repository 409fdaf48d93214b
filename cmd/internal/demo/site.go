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

// Credentials of the demo. They are public and protect nothing.
const (
	demoPeerKey      = "demo-peer-key-0123456789"
	demoReadToken    = "demo-read-token"
	demoPublishToken = "demo-publish-token"
)

// Timing of the stand-ins, and the limit for a graceful stop of a node.
const (
	listLag         = 2 * time.Second
	usageLag        = time.Second
	rebootTime      = 1500 * time.Millisecond
	nodeStopTimeout = 60 * time.Second
)

// site holds the stand-ins and the entry nodes of one demo run.
type site struct {
	manifest        *structs.Manifest
	ledger          *standin.Ledger
	fleet           *standin.Fleet
	backends        map[string]*standin.Backend
	platform        *http.Server
	platformAddress string
	nodeLog         io.Writer

	mu    sync.Mutex
	nodes []*runningNode
	// retiredViolations sums up the invariant violations of the retired nodes.
	retiredViolations int64
	nodesStarted      int
	errs              []error
	// inForceTimes holds, for each publish, the time until the generation was
	// in force on every node.
	inForceTimes []time.Duration
	waveName     string
	generation   uint64
}

// runningNode is a running entry node. Calling stop begins its graceful stop;
// done is closed when its Run has returned.
type runningNode struct {
	node *entry.Node
	stop context.CancelFunc
	done chan struct{}
}

func newSite(opts Options) (*site, error) {
	m, problems := manifest.Parse(opts.Manifest)
	if len(problems) > 0 {
		return nil, errors.Wrapf(problems[0], "invalid manifest: %d errors, the first", len(problems))
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
			ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Image: s.poolImage(vm.Pool),
		}, backend)
	}
	return nil
}

func (s *site) poolImage(pool string) string {
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
		return errors.Wrap(err, "start the platform stand-in")
	}
	log := standin.NewLog(standin.LogOptions{})
	s.platform = &http.Server{Handler: standin.Handler(log, s.fleet), ReadHeaderTimeout: 5 * time.Second}
	s.platformAddress = listener.Addr().String()
	go func() { _ = s.platform.Serve(listener) }()
	return nil
}

// startNode starts an entry node in a zone and adds it to the platform's VM list.
func (s *site) startNode(zone structs.Zone) error {
	s.mu.Lock()
	s.nodesStarted++
	name := fmt.Sprintf("entry-%s-%d", zone.Name, s.nodesStarted)
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
			s.recordError(errors.Wrapf(err, "node %s", name))
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
	conf.PlatformAddress = s.platformAddress
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

// liveNodes returns a copy of the list of nodes that have not been retired.
func (s *site) liveNodes() []*runningNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*runningNode(nil), s.nodes...)
}

// recordError records an error for the recording; any error makes the demo fail.
func (s *site) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// publishAndAwaitReady publishes the manifest and waits until every node is
// ready, for at most readyTimeout.
func (s *site) publishAndAwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.publish(ctx); err != nil {
		return err
	}
	for _, n := range s.liveNodes() {
		for {
			if ready, _ := n.node.Ready(); ready {
				break
			}
			if !pause.For(ctx, 50*time.Millisecond) {
				_, reason := n.node.Ready()
				return errors.Errorf("node %s is not ready after %s: %s", n.node.Name(), readyTimeout, reason)
			}
		}
	}
	return nil
}

// publish publishes the site's manifest through the first node of the list,
// retries until it is accepted, and measures the time until the manifest is in
// force on every node.
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
			last = errors.Errorf("publish outcome %s: %s %s", answer.Outcome, answer.Reason, answer.Detail)
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	return errors.Wrap(last, "publishing the manifest timed out")
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

// awaitInForce waits until every live node's view has reached the generation and
// records the time since the publish was sent.
func (s *site) awaitInForce(ctx context.Context, generation uint64, sent time.Time) error {
	for _, n := range s.liveNodes() {
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
	s.inForceTimes = append(s.inForceTimes, time.Since(sent))
	return nil
}

// startWave publishes a wave for the last spare pool, or for the first pool if
// none is spare.
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

// publishChange increments the weight of the first team and publishes the
// manifest.
func (s *site) publishChange(ctx context.Context) error {
	s.mu.Lock()
	s.manifest.Teams[0].Weight++
	s.mu.Unlock()
	return s.publish(ctx)
}

// replaceNode starts a new entry node in the last zone, waits until it is ready
// and then stops the old one gracefully, as in the rollout of a new version.
func (s *site) replaceNode(ctx context.Context) error {
	zone := s.manifest.Zones[len(s.manifest.Zones)-1]
	old := s.liveNodes()[len(s.manifest.Zones)-1]
	if err := s.startNode(zone); err != nil {
		return err
	}
	replacement := s.liveNodes()[len(s.manifest.Zones)]
	for {
		if ready, _ := replacement.node.Ready(); ready {
			break
		}
		if !pause.For(ctx, 50*time.Millisecond) {
			return errors.New("the replacement node did not become ready")
		}
	}
	s.retireNode(old)
	return nil
}

// retireNode marks a node as leaving on the platform, stops it gracefully and
// removes it from the site.
func (s *site) retireNode(old *runningNode) {
	s.fleet.SetPresence(old.node.Name(), infra.PresenceLeaving)
	old.stop()
	select {
	case <-old.done:
	case <-time.After(nodeStopTimeout):
		s.recordError(errors.Errorf("node %s did not stop within %s", old.node.Name(), nodeStopTimeout))
	}
	s.fleet.SetPresence(old.node.Name(), infra.PresenceTerminated)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiredViolations += old.node.Violations()
	for i, n := range s.nodes {
		if n == old {
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
			return
		}
	}
}

func (s *site) close() {
	for _, n := range s.liveNodes() {
		n.stop()
	}
	for _, n := range s.liveNodes() {
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
