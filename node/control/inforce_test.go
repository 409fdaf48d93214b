package control

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra/standin"
)

// runInVirtualTime runs f in a synctest bubble from within a benchmark.
func runInVirtualTime(b *testing.B, f func(t *testing.T)) {
	run := []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}}
	match := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(match, run) {
		b.Fatal("the run in virtual time failed")
	}
}

// Parameters of BenchmarkConfigInForce.
const (
	inForceZones   = 10
	inForcePerZone = 2
	inForceChanges = 1100
	inForceMeanGap = 3 * time.Second
	sampleInterval = 250 * time.Millisecond
)

// inForceRun measures when each change takes effect on each node.
type inForceRun struct {
	c       *cluster
	random  *rand.Rand
	logDown bool
	// cutZonePairs are the pairs of zones that can't reach each other;
	// zonesWithoutLog are the zones that can't reach the platform.
	cutZonePairs    map[[2]int]bool
	zonesWithoutLog map[int]bool
	// acceptedAt is when each generation was first seen on any node.
	acceptedAt []time.Time
	nodes      []*trackedNode
	delays     []time.Duration
	baseline   []time.Duration
	reverts    int
	stop       chan struct{}
}

// trackedNode is what the sampler knows about one node.
type trackedNode struct {
	zone            int
	name            string
	shownGeneration structs.Generation
	// reachableSince is since when the node can reach the log, directly or
	// through peers; zero while it can't.
	reachableSince time.Time
	// polledGeneration is the generation that a node without peers would have.
	polledGeneration structs.Generation
}

func BenchmarkConfigInForce(b *testing.B) {
	for range b.N {
		var run *inForceRun
		runInVirtualTime(b, func(t *testing.T) {
			run = newInForceRun(t, 7)
			run.run()
		})
		b.ReportMetric(quantile(run.delays, 0.99).Seconds(), "p99_s")
		b.ReportMetric(quantile(run.delays, 1).Seconds(), "max_s")
		b.ReportMetric(quantile(run.baseline, 0.99).Seconds(), "log_only_p99_s")
		b.ReportMetric(quantile(run.baseline, 1).Seconds(), "log_only_max_s")
		b.ReportMetric(float64(run.reverts), "reverts")
		b.ReportMetric(float64(len(run.acceptedAt)-1), "changes")
		b.ReportMetric(float64(len(run.delays)), "samples")
	}
}

func newInForceRun(t *testing.T, seed uint64) *inForceRun {
	var specs []nodeSpec
	for zone := range inForceZones {
		for range inForcePerZone {
			specs = append(specs, newNodeSpec(len(specs)+1, zoneName(zone)))
		}
	}
	r := &inForceRun{
		c:               newCluster(t, standin.LogOptions{Retain: 2000, Seed: seed}, specs...),
		random:          rand.New(rand.NewPCG(seed, 1)),
		cutZonePairs:    make(map[[2]int]bool),
		zonesWithoutLog: make(map[int]bool),
		stop:            make(chan struct{}),
	}
	for i, p := range specs {
		r.nodes = append(r.nodes, &trackedNode{zone: i / inForcePerZone, name: p.node})
	}
	return r
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

func (r *inForceRun) run() {
	r.c.startAll()
	time.Sleep(5 * time.Second)
	publishFleet(r.c.t, r.c.node(1), fleetSize{zones: inForceZones, workers: 80, pools: 5, teams: 10})
	time.Sleep(time.Minute)
	r.acceptedAt = make([]time.Time, r.c.node(1).View().Generation+1)
	done := make(chan struct{})
	go func() { r.sample(); close(done) }()
	r.publish()
	close(r.stop)
	<-done
	r.heal()
	time.Sleep(30 * time.Second)
	r.sampleOnce(time.Now(), true)
	for _, n := range r.nodes {
		require.Equal(r.c.t, structs.Generation(len(r.acceptedAt)-1), n.shownGeneration, n.name)
	}
	r.c.stopAndCheck()
}

// publish publishes changes through random nodes until all of them are
// accepted.
func (r *inForceRun) publish() {
	random := rand.New(rand.NewPCG(uint64(len(r.nodes)), 2))
	for i := 0; i < inForceChanges; {
		n := r.c.nodes[r.nodes[random.IntN(len(r.nodes))].name]
		verdict, err := n.appendWithin(10*time.Second, teamWeight(n.View(), "team-000", 1+i%90))
		if err == nil && verdict.Void == structs.VoidNone {
			i++
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * inForceMeanGap))))
	}
}

// replaceFaults heals the present faults and injects one to three new ones.
func (r *inForceRun) replaceFaults() {
	r.heal()
	for range 1 + r.random.IntN(3) {
		r.injectFault()
	}
}

func (r *inForceRun) injectFault() {
	zone := r.random.IntN(inForceZones)
	switch r.random.IntN(6) {
	case 0:
		r.logDown = true
		r.c.log.SetFaults(standin.LogFaults{Down: true})
	case 1:
		r.c.log.SetFaults(standin.LogFaults{Delay: 2 * time.Second, LostAnswers: 0.3})
	case 2:
		r.zonesWithoutLog[zone] = true
		r.forEachNodeInZone(zone, func(n *testNode) { n.platformLog.cut.Store(true) })
	case 3:
		r.zonesWithoutLog[zone] = true
		r.forEachNodeInZone(zone, func(n *testNode) { n.platformLog.hang.Store(true) })
	case 4:
		r.cutPair(zone, (zone+1+r.random.IntN(inForceZones-1))%inForceZones)
	case 5:
		for other := range inForceZones / 2 {
			r.cutPair(zone, other)
		}
	}
}

func (r *inForceRun) cutPair(a, b int) {
	if a == b {
		return
	}
	r.cutZonePairs[[2]int{min(a, b), max(a, b)}] = true
	r.forEachNodeInZone(a, func(n *testNode) {
		r.forEachNodeInZone(b, func(m *testNode) { r.c.network.Partition(n.spec.host, m.spec.host) })
	})
}

func (r *inForceRun) forEachNodeInZone(zone int, f func(n *testNode)) {
	for _, tracked := range r.nodes {
		if tracked.zone == zone {
			f(r.c.nodes[tracked.name])
		}
	}
}

func (r *inForceRun) heal() {
	r.logDown = false
	r.c.log.SetFaults(standin.LogFaults{})
	clear(r.zonesWithoutLog)
	for pair := range r.cutZonePairs {
		r.forEachNodeInZone(pair[0], func(n *testNode) {
			r.forEachNodeInZone(pair[1], func(m *testNode) { r.c.network.Heal(n.spec.host, m.spec.host) })
		})
	}
	clear(r.cutZonePairs)
	for _, tracked := range r.nodes {
		r.c.nodes[tracked.name].platformLog.cut.Store(false)
		r.c.nodes[tracked.name].platformLog.hang.Store(false)
	}
}

// reachableZones returns the zones that can reach the log, directly or through
// other zones.
func (r *inForceRun) reachableZones() [inForceZones]bool {
	var reached [inForceZones]bool
	if r.logDown {
		return reached
	}
	for zone := range inForceZones {
		reached[zone] = !r.zonesWithoutLog[zone]
	}
	for range inForceZones {
		for a := range inForceZones {
			for b := range inForceZones {
				if reached[a] && !r.cutZonePairs[[2]int{min(a, b), max(a, b)}] {
					reached[b] = true
				}
			}
		}
	}
	return reached
}

// sample samples all nodes at a fixed interval and replaces the faults at
// random intervals.
func (r *inForceRun) sample() {
	var nextFaults time.Time
	for polls := 1; ; polls++ {
		select {
		case <-r.stop:
			return
		case <-time.After(sampleInterval):
		}
		now := time.Now()
		r.sampleOnce(now, polls%int(DefaultReadWait/sampleInterval) == 0)
		if now.After(nextFaults) {
			r.replaceFaults()
			nextFaults = now.Add(time.Duration(20+r.random.IntN(40)) * time.Second)
		}
	}
}

func (r *inForceRun) sampleOnce(now time.Time, pollDue bool) {
	reached := r.reachableZones()
	newest := structs.Generation(len(r.acceptedAt) - 1)
	shown := make([]structs.Generation, len(r.nodes))
	for i, tracked := range r.nodes {
		shown[i] = r.c.nodes[tracked.name].View().Generation
		newest = max(newest, shown[i])
	}
	for structs.Generation(len(r.acceptedAt)-1) < newest {
		r.acceptedAt = append(r.acceptedAt, now)
	}
	for i, tracked := range r.nodes {
		r.recordDelays(tracked, shown[i], reached[tracked.zone], now)
		r.recordBaselineDelays(tracked, newest, pollDue && !r.logDown && !r.zonesWithoutLog[tracked.zone], now)
	}
}

// recordDelays records the delay of each change that newly took effect on a
// node.
func (r *inForceRun) recordDelays(n *trackedNode, shown structs.Generation, reached bool, now time.Time) {
	if shown < n.shownGeneration {
		r.reverts++
	}
	for g := n.shownGeneration + 1; g <= shown; g++ {
		r.delays = append(r.delays, r.delay(n, g, now))
	}
	n.shownGeneration = max(n.shownGeneration, shown)
	switch {
	case !reached:
		n.reachableSince = time.Time{}
	case n.reachableSince.IsZero():
		n.reachableSince = now
	}
}

// delay returns how long a change took to take effect on a node, counted from
// when it was accepted or, if later, from when the node could reach the log.
func (r *inForceRun) delay(n *trackedNode, g structs.Generation, now time.Time) time.Duration {
	since := r.acceptedAt[g]
	if n.reachableSince.After(since) {
		since = n.reachableSince
	}
	if n.reachableSince.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// recordBaselineDelays records the delays of a simulated node that polls the
// log and has no peers.
func (r *inForceRun) recordBaselineDelays(n *trackedNode, newest structs.Generation, polls bool, now time.Time) {
	if !polls {
		return
	}
	for g := n.polledGeneration + 1; g <= newest; g++ {
		if !r.acceptedAt[g].IsZero() {
			r.baseline = append(r.baseline, r.delay(n, g, now))
		}
	}
	n.polledGeneration = newest
}

func quantile(delays []time.Duration, q float64) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	return delays[int(q*float64(len(delays)-1))]
}

// fleetSize is the size of a generated fleet.
type fleetSize struct{ zones, workers, pools, teams int }

// publishFleet publishes a generated fleet through a node in several parts.
func publishFleet(t testing.TB, n *testNode, size fleetSize) {
	var changes []structs.Change
	for i := range size.zones {
		zone := structs.Zone{Name: zoneName(i), Region: fmt.Sprintf("region-%d", i*2/max(1, size.zones))}
		changes = append(changes, structs.Change{Kind: structs.ItemZone, Name: zone.Name, Zone: &zone})
	}
	for i := range size.teams {
		team := structs.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1, MaxInProgress: 100, RatePerSecond: 50, Burst: 100, UrgentPercent: 5}
		changes = append(changes, structs.Change{Kind: structs.ItemTeam, Name: team.Name, Team: &team})
	}
	for i := range size.pools {
		pool := structs.Pool{Name: fmt.Sprintf("pool-%02d", i), Image: "image-1", Spare: i == 0}
		changes = append(changes, structs.Change{Kind: structs.ItemPool, Name: pool.Name, Pool: &pool})
	}
	for i := range size.workers {
		vm := structs.VM{
			ID: fmt.Sprintf("worker-%04d", i), Pool: fmt.Sprintf("pool-%02d", i%size.pools), Zone: zoneName(i % size.zones),
			Rack: fmt.Sprintf("%s-rack-%02d", zoneName(i%size.zones), i/size.zones/4), Address: fmt.Sprintf("10.1.%d.%d:8080", i/200, i%200+1),
			Cores: 16, MemoryMB: 65536, Slots: 8, Connections: 64,
		}
		changes = append(changes, structs.Change{Kind: structs.ItemVM, Name: vm.ID, VM: &vm})
	}
	for i := range size.pools {
		service := structs.Service{
			Name: fmt.Sprintf("service-%02d", i), Pool: fmt.Sprintf("pool-%02d", i), Routes: []string{fmt.Sprintf("/service-%02d", i)},
			Budget: structs.Budget{MinAvailable: 2, Survive: structs.FailureDomainRack}, DeadlineMS: 20000, Cores: 1,
		}
		changes = append(changes, structs.Change{Kind: structs.ItemService, Name: service.Name, Service: &service})
	}
	publishChanges(t, n, changes)
}

func publishChanges(t testing.TB, n *testNode, changes []structs.Change) {
	const atOnce = 300
	for len(changes) > 0 {
		part := changes[:min(atOnce, len(changes))]
		changes = changes[len(part):]
		rec := structs.Record{Publish: &structs.Publish{Base: n.View().Generation, Changes: part}}
		verdict, err := n.appendWithin(10*time.Second, rec)
		require.NoError(t, err)
		require.Equal(t, structs.VoidNone, verdict.Void, verdict.Detail)
	}
}

func teamWeight(view *structs.View, name string, weight int) structs.Record {
	team := view.Teams[name]
	team.Weight = weight
	change := structs.Change{Kind: structs.ItemTeam, Name: name, Team: &team}
	return structs.Record{Publish: &structs.Publish{Base: view.Generation, Changes: []structs.Change{change}}}
}
