package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// FaultFreezeOwner freezes the owner of a service for longer than its takeover
	// takes, FaultFreeze any node for any time.
	FaultFreezeOwner FaultKind = "freeze-owner"
	FaultFreeze      FaultKind = "freeze"
	FaultKillOwner   FaultKind = "kill-owner"
	FaultKill        FaultKind = "kill"
	FaultTerminate   FaultKind = "terminate"
	// FaultCutOwner cuts the owner of a service off from the store.
	FaultCutOwner     FaultKind = "cut-owner"
	FaultCutStore     FaultKind = "cut-store"
	FaultSilenceStore FaultKind = "silence-store"
	FaultResetStore   FaultKind = "reset-store"
	FaultDelayStore   FaultKind = "delay-store"
	FaultLoseAnswers  FaultKind = "lose-answers"
	FaultStoreDown    FaultKind = "store-down"
	// FaultRefuseNode makes the store turn one node away.
	FaultRefuseNode FaultKind = "refuse-node"
	// FaultCutPeers cuts a node off from the other nodes, FaultCutOwnerOff the owner of
	// a service from these and the store, so that only clients and workers reach it.
	FaultCutPeers     FaultKind = "cut-peers"
	FaultCutOwnerOff  FaultKind = "cut-owner-off"
	FaultSilencePeers FaultKind = "silence-peers"
	// FaultCutZone cuts the nodes and workers of an availability zone off from all
	// others and from the store. Clients still reach all nodes.
	FaultCutZone FaultKind = "cut-zone"
	// FaultKillSuccessor disturbs the owner of a service until another node gives the
	// orders, and then kills that one and starts it again at once.
	FaultKillSuccessor FaultKind = "kill-successor"
	// FaultRoll stops and starts all nodes in turn.
	FaultRoll FaultKind = "roll"
	// FaultConfigure writes a new version of the configuration.
	FaultConfigure FaultKind = "configure"
	// FaultCutWorker cuts a worker off from all nodes, FaultCutLink from one.
	FaultCutWorker     FaultKind = "cut-worker"
	FaultCutLink       FaultKind = "cut-link"
	FaultSilenceWorker FaultKind = "silence-worker"
	FaultCrashWorker   FaultKind = "crash-worker"
	// FaultRestartWorker lets a worker start again under its ID.
	FaultRestartWorker FaultKind = "restart-worker"
	// FaultRestartDark is the same, with connections that stay open and silent.
	FaultRestartDark FaultKind = "restart-dark"
	// FaultLateCalls lets calls to workers get no answer; many are carried out later.
	FaultLateCalls FaultKind = "late-calls"
)

// Fault is one fault of a plan. What a kind does not need is not used.
type Fault struct {
	Kind FaultKind
	// At is the time since the start of the traffic.
	At, Duration time.Duration
	Node, VM     int
	Service      string
	// Directions are the directions that are cut.
	Directions []Direction
	// Unlisted means that the workers of a zone that is cut off do not reach the store
	// either, so that their entries expire.
	Unlisted bool
	// First is what disturbs the owner whose successor is killed.
	First FaultKind
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1f for %.1f s (node %d, VM %d, service %s, directions %v, unlisted %v, first %s)",
		f.Kind, f.At.Seconds(), f.Duration.Seconds(), f.Node+1, f.VM, f.Service, f.Directions, f.Unlisted, f.First)
}

type faultWeight struct {
	kind      FaultKind
	weight    int
	low, high time.Duration
}

// faultWeights tells how often each kind is drawn.
var faultWeights = []faultWeight{
	{FaultFreezeOwner, 6, 2 * time.Second, 8 * time.Second},
	{FaultFreeze, 2, 200 * time.Millisecond, 5 * time.Second},
	{FaultKillOwner, 2, 100 * time.Millisecond, 3 * time.Second},
	{FaultKill, 1, 100 * time.Millisecond, 3 * time.Second},
	{FaultTerminate, 2, 100 * time.Millisecond, time.Second},
	{FaultCutOwner, 3, 2 * time.Second, 7 * time.Second},
	{FaultCutStore, 2, 500 * time.Millisecond, 5 * time.Second},
	{FaultSilenceStore, 1, 0, 0},
	{FaultResetStore, 1, 0, 0},
	{FaultDelayStore, 1, time.Second, 4 * time.Second},
	{FaultLoseAnswers, 2, time.Second, 4 * time.Second},
	{FaultStoreDown, 1, 500 * time.Millisecond, 4 * time.Second},
	{FaultCutWorker, 2, 500 * time.Millisecond, 5 * time.Second},
	{FaultCutLink, 1, 500 * time.Millisecond, 5 * time.Second},
	{FaultSilenceWorker, 1, 0, 0},
	{FaultCrashWorker, 1, 500 * time.Millisecond, 3 * time.Second},
	{FaultRestartWorker, 1, 300 * time.Millisecond, 3 * time.Second},
	{FaultRestartDark, 1, 100 * time.Millisecond, 900 * time.Millisecond},
	{FaultLateCalls, 2, 2 * time.Second, 8 * time.Second},
	{FaultRefuseNode, 1, 500 * time.Millisecond, 5 * time.Second},
	{FaultCutPeers, 1, 500 * time.Millisecond, 5 * time.Second},
	{FaultCutOwnerOff, 2, 2 * time.Second, 7 * time.Second},
	{FaultSilencePeers, 1, 0, 0},
	{FaultCutZone, 2, 4 * time.Second, 14 * time.Second},
	{FaultKillSuccessor, 3, 8 * time.Second, 16 * time.Second},
	{FaultRoll, 1, 100 * time.Millisecond, time.Second},
	{FaultConfigure, 2, 0, 0},
}

// RestartKinds are the faults of workers that start again under their IDs while calls to
// them come late.
var RestartKinds = []FaultKind{FaultRestartWorker, FaultRestartDark, FaultLateCalls}

// UnknownKinds returns the kinds of the options that no fault has.
func (o Options) UnknownKinds() []FaultKind {
	return slices.DeleteFunc(slices.Clone(o.Kinds), func(k FaultKind) bool {
		return slices.ContainsFunc(faultWeights, func(w faultWeight) bool { return w.kind == k })
	})
}

// Rhythm of faults: series with overlaps, and calm between them.
const (
	firstFault     = time.Second
	maxSeries      = 4
	seriesGap      = 1500 * time.Millisecond
	minCalmBetween = time.Second
	maxCalmBetween = 7 * time.Second
	storeDelay     = 300 * time.Millisecond
	lostShare      = 0.3
	// restlessGap is the longest pause in a run of some kinds of faults only.
	restlessGap = 700 * time.Millisecond
)

// lateShares are the shares of the calls to workers that get no answer.
var lateShares = LateShares{Holds: 0.2, Orders: 0.05, Answers: 0.05}

// Plan returns the faults of a run. They begin in the traffic's time.
func Plan(random *rand.Rand, o Options) []Fault {
	var plan []Fault
	if len(o.Kinds) > 0 {
		for at := firstFault; at < o.Duration; at += between(random, 0, restlessGap) {
			f := randomFault(random, o)
			f.At = at
			plan = append(plan, f)
		}
		return plan
	}
	for at := firstFault; at < o.Duration; at += between(random, minCalmBetween, maxCalmBetween) {
		for range 1 + random.IntN(maxSeries) {
			f := randomFault(random, o)
			f.At = at
			plan = append(plan, f)
			at += between(random, 0, seriesGap)
		}
	}
	return plan
}

func randomFault(random *rand.Rand, o Options) Fault {
	weights := faultWeights
	if len(o.Kinds) > 0 {
		weights = slices.DeleteFunc(slices.Clone(weights), func(w faultWeight) bool { return !slices.Contains(o.Kinds, w.kind) })
	}
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := random.IntN(total)
	i := 0
	for n >= weights[i].weight {
		n -= weights[i].weight
		i++
	}
	w := weights[i]
	return Fault{
		Kind: w.kind, Duration: between(random, w.low, w.high), Node: random.IntN(o.Nodes), VM: random.IntN(o.Workers),
		Service: queues[random.IntN(len(queues))].service, Directions: [][]Direction{{Requests}, {Answers}, {Requests, Answers}}[random.IntN(3)],
		Unlisted: random.IntN(2) == 0, First: []FaultKind{FaultFreezeOwner, FaultCutOwnerOff, FaultCutZone, FaultCutZone}[random.IntN(4)],
	}
}

// Inject carries out a plan and returns when all its faults are over.
func (c *Cluster) Inject(ctx context.Context, plan []Fault) {
	began := time.Now()
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, f := range plan {
		sleep(ctx, time.Until(began.Add(f.At)))
		if ctx.Err() != nil {
			return
		}
		faults.Go(func() { c.inject(ctx, f) })
	}
}

// inject carries out one fault.
func (c *Cluster) inject(ctx context.Context, f Fault) {
	node := c.nodes[f.Node]
	if slices.Contains([]FaultKind{FaultFreezeOwner, FaultKillOwner, FaultCutOwner, FaultCutOwnerOff, FaultKillSuccessor}, f.Kind) {
		if owner := c.node(c.judge.Owner(f.Service)); owner != nil {
			node = owner
		}
	}
	worker := c.machines.Worker(f.VM)
	c.record.Printf("fault: %s; it hits %s or %s", f, node.name, worker)
	switch f.Kind {
	case FaultFreezeOwner, FaultFreeze:
		defer c.calm.Begin(node.name)()
		thaw := node.Freeze()
		sleep(ctx, f.Duration)
		thaw()
	case FaultKillOwner, FaultKill, FaultTerminate:
		c.restart(ctx, node, f)
	case FaultCutOwner, FaultCutStore, FaultDelayStore:
		defer c.calm.Begin(node.name)()
		c.disturbStoreLink(ctx, node, f)
	case FaultSilenceStore:
		defer c.calm.Begin(node.name)()
		node.proxy.Silence()
	case FaultResetStore:
		defer c.calm.Begin(node.name)()
		node.proxy.Reset()
	case FaultLoseAnswers:
		defer c.calm.Begin(node.name)()
		node.access.LoseAnswers(lostShare)
		sleep(ctx, f.Duration)
		node.access.LoseAnswers(0)
	case FaultStoreDown:
		defer c.calm.Begin(everything)()
		c.store.SetDown(true)
		sleep(ctx, f.Duration)
		c.store.SetDown(false)
	case FaultCutWorker, FaultSilenceWorker:
		c.disturbLinks(ctx, c.nodes, worker, f)
	case FaultCutLink:
		c.disturbLinks(ctx, []*Node{node}, worker, f)
	case FaultRefuseNode:
		defer c.calm.Begin(node.name)()
		node.access.Refuse(true)
		sleep(ctx, f.Duration)
		node.access.Refuse(false)
	case FaultCutPeers, FaultCutOwnerOff:
		defer c.calm.Begin(node.name)()
		links := c.peerLinks(node)
		if f.Kind == FaultCutOwnerOff {
			links = append(links, node.proxy)
		}
		cut(links, f.Directions)
		sleep(ctx, f.Duration)
		restore(links)
	case FaultCutZone:
		c.cutZone(ctx, f)
	case FaultKillSuccessor:
		c.killSuccessor(ctx, node, f)
	case FaultSilencePeers:
		defer c.calm.Begin(node.name)()
		for _, link := range c.peerLinks(node) {
			link.Silence()
		}
	case FaultRoll:
		for _, n := range c.nodes {
			c.restart(ctx, n, f)
		}
	case FaultConfigure:
		if err := c.configure(); err != nil {
			c.record.Printf("the configuration is not written: %v", err)
		}
	case FaultCrashWorker, FaultRestartWorker, FaultRestartDark:
		defer c.calm.Begin(worker)()
		if f.Kind == FaultRestartDark {
			c.silenceLinks(worker)
		}
		c.machines.Crash(worker, f.Duration, f.Kind != FaultCrashWorker)
		sleep(ctx, f.Duration)
	case FaultLateCalls:
		defer c.calm.Begin(everything)()
		end := c.late.Begin(lateShares)
		sleep(ctx, f.Duration)
		end()
		sleep(ctx, maxLateness)
	}
	c.record.Printf("fault: %s is over", f.Kind)
}

func (c *Cluster) restart(ctx context.Context, node *Node, f Fault) {
	defer c.calm.Begin(node.name)()
	if f.Kind == FaultTerminate || f.Kind == FaultRoll {
		node.Terminate()
	} else {
		node.Kill()
	}
	sleep(ctx, f.Duration)
	if err := node.Start(); err != nil {
		c.record.Printf("node %s does not start: %v", node.name, err)
		return
	}
	if err := node.awaitReady(); err != nil {
		c.record.Printf("node %s: %v", node.name, err)
	}
}

func (c *Cluster) disturbStoreLink(ctx context.Context, node *Node, f Fault) {
	if f.Kind == FaultDelayStore {
		node.proxy.SetDelay(storeDelay)
	} else {
		cut([]*Proxy{node.proxy}, f.Directions)
	}
	sleep(ctx, f.Duration)
	node.proxy.Restore()
}

// disturbLinks cuts or silences the links of some nodes to a worker.
func (c *Cluster) disturbLinks(ctx context.Context, nodes []*Node, worker string, f Fault) {
	var links []*Proxy
	for _, n := range nodes {
		if link := n.link(worker); link != nil {
			links = append(links, link)
		}
	}
	defer c.calm.Begin(worker)()
	if f.Kind == FaultSilenceWorker {
		c.silenceLinks(worker)
		return
	}
	cut(links, f.Directions)
	sleep(ctx, f.Duration)
	restore(links)
}

// silenceLinks makes the open connections of all nodes to a worker silent for good.
func (c *Cluster) silenceLinks(worker string) {
	for _, n := range c.nodes {
		if link := n.link(worker); link != nil {
			link.Silence()
		}
	}
}

// peerLinks returns the links between a node and all others, in both ways.
func (c *Cluster) peerLinks(node *Node) []*Proxy {
	var links []*Proxy
	for _, other := range c.nodes {
		if other != node {
			links = append(links, node.peers[other], other.peers[node])
		}
	}
	return links
}

func cut(links []*Proxy, directions []Direction) {
	for _, link := range links {
		for _, d := range directions {
			link.Cut(d)
		}
	}
}

func restore(links []*Proxy) {
	for _, link := range links {
		link.Restore()
	}
}
