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

// inBubble runs f in virtual time from within a benchmark.
func inBubble(b *testing.B, f func(t *testing.T)) {
	run := []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}}
	match := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(match, run) {
		b.Fatal("the run in virtual time failed")
	}
}

// The size of BenchmarkConfigInForce.
const (
	inForceZones   = 10
	inForcePerZone = 2
	inForceChanges = 1100
	inForceGap     = 3 * time.Second
	sampleInterval = 250 * time.Millisecond
)

// inForceRun measures when each change is in force on each node.
type inForceRun struct {
	c      *cluster
	random *rand.Rand
	down   bool
	// cutZones are the zone pairs that can't reach each other, cutLog the
	// zones that can't reach the platform.
	cutZones map[[2]int]bool
	cutLog   map[int]bool
	// acceptedAt is when each generation was first seen anywhere.
	acceptedAt []time.Time
	nodes      []*nodeTrack
	delays     []time.Duration
	baseline   []time.Duration
	reverts    int
	stop       chan struct{}
}

// nodeTrack is what the sampler knows of one node.
type nodeTrack struct {
	zone  int
	name  string
	shown structs.Generation
	// eligible is since when the node can reach the log, itself or through
	// peers; zero when it can't.
	eligible time.Time
	// polled is the generation a node without peers would show.
	polled structs.Generation
}

func BenchmarkConfigInForce(b *testing.B) {
	for range b.N {
		var run *inForceRun
		inBubble(b, func(t *testing.T) {
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
	var places []place
	for zone := range inForceZones {
		for range inForcePerZone {
			places = append(places, at(len(places)+1, zoneName(zone)))
		}
	}
	r := &inForceRun{
		c:        newCluster(t, standin.LogOptions{Retain: 2000, Seed: seed}, places...),
		random:   rand.New(rand.NewPCG(seed, 1)),
		cutZones: make(map[[2]int]bool),
		cutLog:   make(map[int]bool),
		stop:     make(chan struct{}),
	}
	for i, p := range places {
		r.nodes = append(r.nodes, &nodeTrack{zone: i / inForcePerZone, name: p.node})
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
		require.Equal(r.c.t, structs.Generation(len(r.acceptedAt)-1), n.shown, n.name)
	}
	r.c.finish()
}

// publish publishes the changes through random nodes until all are accepted.
func (r *inForceRun) publish() {
	random := rand.New(rand.NewPCG(uint64(len(r.nodes)), 2))
	for i := 0; i < inForceChanges; {
		n := r.c.nodes[r.nodes[random.IntN(len(r.nodes))].name]
		verdict, err := n.appendFor(10*time.Second, teamWeight(n.View(), "team-000", 1+i%90))
		if err == nil && verdict.Void == structs.VoidNone {
			i++
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * inForceGap))))
	}
}

// faults makes new faults in place of the earlier ones, some of them
// together.
func (r *inForceRun) faults() {
	r.heal()
	for range 1 + r.random.IntN(3) {
		r.fault()
	}
}

func (r *inForceRun) fault() {
	zone := r.random.IntN(inForceZones)
	switch r.random.IntN(6) {
	case 0:
		r.down = true
		r.c.log.SetFaults(standin.LogFaults{Down: true})
	case 1:
		r.c.log.SetFaults(standin.LogFaults{Delay: 2 * time.Second, LostAnswers: 0.3})
	case 2:
		r.cutLog[zone] = true
		r.eachIn(zone, func(n *testNode) { n.platform.cut.Store(true) })
	case 3:
		r.cutLog[zone] = true
		r.eachIn(zone, func(n *testNode) { n.platform.hang.Store(true) })
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
	r.cutZones[[2]int{min(a, b), max(a, b)}] = true
	r.eachIn(a, func(n *testNode) {
		r.eachIn(b, func(m *testNode) { r.c.network.Cut(n.place.host, m.place.host) })
	})
}

func (r *inForceRun) eachIn(zone int, f func(n *testNode)) {
	for _, track := range r.nodes {
		if track.zone == zone {
			f(r.c.nodes[track.name])
		}
	}
}

func (r *inForceRun) heal() {
	r.down = false
	r.c.log.SetFaults(standin.LogFaults{})
	clear(r.cutLog)
	for pair := range r.cutZones {
		r.eachIn(pair[0], func(n *testNode) {
			r.eachIn(pair[1], func(m *testNode) { r.c.network.Heal(n.place.host, m.place.host) })
		})
	}
	clear(r.cutZones)
	for _, track := range r.nodes {
		r.c.nodes[track.name].platform.cut.Store(false)
		r.c.nodes[track.name].platform.hang.Store(false)
	}
}

// reachable returns the zones that reach the log, themselves or through
// others.
func (r *inForceRun) reachable() [inForceZones]bool {
	var reached [inForceZones]bool
	if r.down {
		return reached
	}
	for zone := range inForceZones {
		reached[zone] = !r.cutLog[zone]
	}
	for range inForceZones {
		for a := range inForceZones {
			for b := range inForceZones {
				if reached[a] && !r.cutZones[[2]int{min(a, b), max(a, b)}] {
					reached[b] = true
				}
			}
		}
	}
	return reached
}

// sample looks at all nodes again and again, and changes the faults.
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
			r.faults()
			nextFaults = now.Add(time.Duration(20+r.random.IntN(40)) * time.Second)
		}
	}
}

func (r *inForceRun) sampleOnce(now time.Time, pollDue bool) {
	reached := r.reachable()
	newest := structs.Generation(len(r.acceptedAt) - 1)
	shown := make([]structs.Generation, len(r.nodes))
	for i, track := range r.nodes {
		shown[i] = r.c.nodes[track.name].View().Generation
		newest = max(newest, shown[i])
	}
	for structs.Generation(len(r.acceptedAt)-1) < newest {
		r.acceptedAt = append(r.acceptedAt, now)
	}
	for i, track := range r.nodes {
		r.track(track, shown[i], reached[track.zone], now)
		r.trackBaseline(track, newest, pollDue && !r.down && !r.cutLog[track.zone], now)
	}
}

// track notes the delay of each change that a node newly shows.
func (r *inForceRun) track(n *nodeTrack, shown structs.Generation, reached bool, now time.Time) {
	if shown < n.shown {
		r.reverts++
	}
	for g := n.shown + 1; g <= shown; g++ {
		r.delays = append(r.delays, r.delay(n, g, now))
	}
	n.shown = max(n.shown, shown)
	switch {
	case !reached:
		n.eligible = time.Time{}
	case n.eligible.IsZero():
		n.eligible = now
	}
}

// delay is how long a change took to be in force on a node, counted from when
// the node could have had it.
func (r *inForceRun) delay(n *nodeTrack, g structs.Generation, now time.Time) time.Duration {
	since := r.acceptedAt[g]
	if n.eligible.After(since) {
		since = n.eligible
	}
	if n.eligible.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// trackBaseline plays a node that polls the log and has no peers.
func (r *inForceRun) trackBaseline(n *nodeTrack, newest structs.Generation, polls bool, now time.Time) {
	if !polls {
		return
	}
	for g := n.polled + 1; g <= newest; g++ {
		if !r.acceptedAt[g].IsZero() {
			r.baseline = append(r.baseline, r.delay(n, g, now))
		}
	}
	n.polled = newest
}

func quantile(delays []time.Duration, q float64) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	return delays[int(q*float64(len(delays)-1))]
}

// fleetSize is the size of a made-up fleet.
type fleetSize struct{ zones, workers, pools, teams int }

// publishFleet publishes a fleet in several parts through a node.
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
		verdict, err := n.appendFor(10*time.Second, rec)
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
