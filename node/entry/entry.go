// Package entry assembles one entry node: its control loop, its peers, its
// request path and its administration API.
//
//	node, err := entry.New(entry.Config{Settings: s})
//	err = node.Run(ctx) // returns after a graceful stop once ctx ends
package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
	"wigeonwinch/infra/client"
	"wigeonwinch/node/admin"
	"wigeonwinch/node/control"
	"wigeonwinch/node/events"
	"wigeonwinch/node/forward"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/peer"
	"wigeonwinch/node/probe"
	"wigeonwinch/node/settings"
	"wigeonwinch/node/telemetry"
	"wigeonwinch/node/timeline"
)

// Numbers of events that the two rings of the timeline keep.
const (
	fleetTimelineCapacity   = 5_000
	requestTimelineCapacity = 5_000
)

// Config holds the settings of a node and the destination of its log.
type Config struct {
	Settings *settings.Settings
	// LogOutput receives the JSON log. Default: standard error.
	LogOutput io.Writer
}

// Node is one entry node.
type Node struct {
	settings *settings.Settings
	rings    telemetry.Rings
	clock    *timeline.Clock
	recorder *telemetry.Recorder
	metrics  *telemetry.Metrics
	mesh     *peer.Mesh
	control  *control.Loop
	forward  *forward.Server
	gate     *intake.Gate
	ports    ports
	stopping atomic.Bool
}

// New binds the node's ports and creates its components. Nothing is served
// until Run is called.
func New(cfg Config) (*Node, error) {
	n := &Node{settings: cfg.Settings}
	n.rings.Fleet = timeline.NewRing(fleetTimelineCapacity)
	n.rings.Requests = timeline.NewRing(requestTimelineCapacity)
	if err := n.assembleTelemetry(cfg); err != nil {
		return nil, err
	}
	n.gate = intake.NewGate(intakeLimits(cfg.Settings.Limits), n.recorder)
	if err := n.ports.bind(cfg.Settings, n.gate); err != nil {
		return nil, err
	}
	if err := n.assemble(); err != nil {
		n.ports.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) assembleTelemetry(cfg Config) error {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	n.metrics = metrics
	identity := telemetry.Identity{Node: n.settings.Node, Zone: n.settings.Zone}
	n.clock = timeline.NewClock(time.Now)
	n.recorder = telemetry.NewRecorder(identity, newLogger(cfg), n.rings, n.clock, metrics)
	return nil
}

func (n *Node) assemble() error {
	platformClient, err := n.newPlatformClient()
	if err != nil {
		return err
	}
	incarnation := uint64(time.Now().UnixNano())
	n.mesh = peer.New(n.peerConfig(incarnation))
	n.forward = forward.New(n.forwardConfig(incarnation))
	n.control = control.New(n.controlConfig(incarnation, platformClient))
	return n.registerMetrics()
}

func (n *Node) newPlatformClient() (*client.Client, error) {
	opts := client.Options{}
	if n.settings.PlatformToken != nil {
		opts.Token = n.settings.PlatformToken.Value()
	}
	return client.New(n.settings.PlatformAddress, opts)
}

func newLogger(cfg Config) *logrus.Logger {
	logger := telemetry.NewLogger(os.Stderr)
	if cfg.LogOutput != nil {
		logger.SetOutput(cfg.LogOutput)
	}
	level, err := logrus.ParseLevel(cfg.Settings.LogLevel)
	if err == nil {
		logger.SetLevel(level)
	}
	return logger
}

func (n *Node) peerConfig(incarnation uint64) peer.Config {
	s := n.settings
	conf := peer.Config{
		Node: s.Node, Zone: s.Zone, Incarnation: incarnation,
		Address:      n.PeerAddress(),
		Key:          []byte(s.PeerKeys[0].Value()),
		SecondaryKey: n.secondaryPeerKey(),
		Events:       n.recorder,
		Clock:        n.clock,
		Limits: peer.Limits{
			PingInterval:   time.Duration(s.Timing.PeerPingMS) * time.Millisecond,
			SilenceTimeout: time.Duration(s.Timing.PeerSilentMS) * time.Millisecond,
		},
	}
	for _, p := range s.Peers {
		conf.Seeds = append(conf.Seeds, peer.Address{Node: p.Node, Zone: p.Zone, Address: p.Address})
	}
	return conf
}

// secondaryPeerKey returns the key that is accepted in addition to the key in
// use, or nil if only one is configured.
func (n *Node) secondaryPeerKey() []byte {
	if len(n.settings.PeerKeys) < 2 {
		return nil
	}
	return []byte(n.settings.PeerKeys[1].Value())
}

// retainedAnswerShare is the part of the memory, one in so many, for answers that are retained
// for duplicates.
const retainedAnswerShare = 16

func (n *Node) forwardConfig(incarnation uint64) forward.Config {
	s := n.settings
	limits := forward.Defaults()
	limits.HeaderBytes = s.Limits.HeaderBytes
	limits.BodyBytes = int64(s.Limits.BodyBytes)
	limits.AnswerBytes = s.Limits.AnswerBytes
	limits.RetainedAnswerBytesTotal = min(limits.RetainedAnswerBytesTotal, s.Limits.MemoryMB<<20/retainedAnswerShare)
	limits.HeaderTimeout = time.Duration(s.Limits.HeaderSeconds) * time.Second
	limits.IdleTimeout = time.Duration(s.Limits.IdleSeconds) * time.Second
	limits.QueuePerPool = s.Limits.QueuedRequests
	limits.ClaimFence = settings.ClaimFence
	return forward.Config{
		Node: s.Node, Zone: s.Zone, Region: s.Region, Incarnation: incarnation,
		PeerKey:          []byte(s.PeerKeys[0].Value()),
		SecondaryPeerKey: n.secondaryPeerKey(),
		Limits:           limits,
		Gate:             n.gate,
		Fleet:            n,
		Peers:            n.mesh,
		Events:           n.recorder,
	}
}

func (n *Node) controlConfig(incarnation uint64, platformClient *client.Client) control.Config {
	s := n.settings
	return control.Config{
		Node: s.Node, Zone: s.Zone, Region: s.Region,
		PeerAddress: n.PeerAddress(),
		Incarnation: incarnation,
		Log:         platformClient,
		VMList:      platformClient,
		Workers:     platformClient,
		Peers:       n.mesh,
		Drainer:     n.forward,
		Prober:      probe.New(),
		Events:      n.recorder,
		Intervals: control.Intervals{
			ReadWait: time.Duration(s.Timing.ReadWaitMS) * time.Millisecond,
			List:     time.Duration(s.Timing.ListMS) * time.Millisecond,
			Usage:    time.Duration(s.Timing.UsageMS) * time.Millisecond,
			Probe:    time.Duration(s.Timing.ProbeMS) * time.Millisecond,
			Plan:     time.Duration(s.Timing.PlanMS) * time.Millisecond,
			LeaseTTL: time.Duration(s.Timing.LeaseTTLMS) * time.Millisecond,

			ListBytesPerSecond:  s.Timing.ListBytesPerSecond,
			UsageBytesPerSecond: s.Timing.UsageBytesPerSecond,
		},
		Planner: planner.Options{
			Wave: wave.Options{Probation: time.Duration(s.Timing.ProbationMS) * time.Millisecond},
		},
	}
}

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Node }

// Zone returns the node's availability zone.
func (n *Node) Zone() string { return n.settings.Zone }

// CallerAddress returns the IP address and port for callers.
func (n *Node) CallerAddress() string { return n.ports.caller.Addr().String() }

// PeerAddress returns the IP address and port for peers.
func (n *Node) PeerAddress() string { return n.ports.peer.Addr().String() }

// AdminAddress returns the IP address and port of the administration API.
func (n *Node) AdminAddress() string { return n.ports.admin.Addr().String() }

// View returns the latest control state, or nil if there is none yet.
func (n *Node) View() *structs.View { return n.control.View() }

// TailReadSentAt returns the time at which the node sent the last log read that
// reached the tail of the log.
func (n *Node) TailReadSentAt() time.Time { return n.control.TailReadSentAt() }

// Ready reports whether the node accepts requests, and the reason if it does
// not.
func (n *Node) Ready() (bool, string) {
	if n.stopping.Load() {
		return false, "the node stops"
	}
	return n.control.Ready()
}

// Append appends a record to the log and returns the verdict of applying it to
// the control state.
func (n *Node) Append(ctx context.Context, rec structs.Record) (structs.Verdict, error) {
	return n.control.Append(ctx, rec)
}

// CheckPublish returns every reason for which the current control state would
// refuse the publish.
func (n *Node) CheckPublish(ctx context.Context, p *structs.Publish) []*state.Refusal {
	return n.control.CheckPublish(ctx, p)
}

// Lookup returns the verdict on the record with the given key and reports
// whether the node knows it.
func (n *Node) Lookup(key string) (structs.Verdict, bool) { return n.control.Lookup(key) }

// Violations returns the number of invariant violations the node has detected.
func (n *Node) Violations() int64 { return n.recorder.Violations() }

// Timeline returns the events of the node's timeline that match the filter.
func (n *Node) Timeline(f timeline.Filter) []timeline.Entry { return n.rings.Select(f) }

// Run serves until ctx is done and then stops gracefully. It returns an error
// early if a server or loop ends unexpectedly.
func (n *Node) Run(ctx context.Context) error {
	n.recorder.Record(events.NodeStarted, events.Fields{Detail: "callers " + n.CallerAddress() + ", peers " + n.PeerAddress() + ", administration " + n.AdminAddress()})
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	failed := make(chan error, 6)
	n.startServers(failed)
	n.startLoops(loopCtx, failed)
	select {
	case <-ctx.Done():
		return n.stop(stopLoops)
	case err := <-failed:
		stopLoops()
		n.ports.close()
		return err
	}
}

// startLoops starts the node's loops. A loop that ends before ctx is done sends
// an error to failed.
func (n *Node) startLoops(ctx context.Context, failed chan<- error) {
	loops := []struct {
		name string
		run  func(context.Context) error
	}{
		{"peers", n.mesh.Run},
		{"control loop", n.control.Run},
		{"request path", n.forward.Run},
	}
	for _, loop := range loops {
		go func() {
			err := loop.run(ctx)
			if ctx.Err() == nil {
				failed <- errors.Wrapf(err, "%s ended unexpectedly", loop.name)
			}
		}()
	}
}

// startServers starts the servers of all three ports. A server that ends
// unexpectedly sends an error to failed.
func (n *Node) startServers(failed chan<- error) {
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, n.mesh.Handler())
	peerMux.Handle("/v1/relay/", n.forward.RelayHandler())
	n.ports.serve(failed, n.forward.Handler(), peerMux, n.newAdmin().Handler())
}

func (n *Node) newAdmin() *admin.API {
	return admin.New(admin.Config{
		Node: n.settings.Node, Zone: n.settings.Zone,
		Control:       n,
		Status:        func() any { return n.control.Status() },
		Requests:      func() any { return n.forward.Stats() },
		Forecast:      func() []planner.WaveForecast { return n.control.Status().Forecasts },
		Timeline:      n.rings,
		Metrics:       n.metrics.Handler(),
		Events:        n.recorder,
		ReadTokens:    secretValues(n.settings.ReadTokens),
		PublishTokens: secretValues(n.settings.PublishTokens),
	})
}

func secretValues(secrets []settings.Secret) []string {
	var list []string
	for _, s := range secrets {
		list = append(list, s.Value())
	}
	return list
}
