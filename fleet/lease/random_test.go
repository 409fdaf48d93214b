package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
)

const (
	tick      = 100 * time.Millisecond
	nodeCount = 5
	// clockErrorPerMille is the largest deviation of a clock's rate, in parts
	// per thousand.
	clockErrorPerMille = 10
)

// simNode is a node with its own clocks that reads the log with a delay and
// may be paused or suspended.
type simNode struct {
	name         string
	holder       *Holder
	clock        Instant
	ratePerMille int64
	view         *structs.View
	tailReadAt   Instant
	pausedTicks  int
	// suspended reports whether the monotonic clock stops during the pause.
	suspended bool
}

// inFlightRecord is a record that has been sent but has not reached the log
// yet.
type inFlightRecord struct {
	due time.Duration
	rec structs.Record
}

// leaseSim simulates a log and the nodes that compete for the lease of one
// scope.
type leaseSim struct {
	random        *rand.Rand
	log           *state.State
	nodes         []*simNode
	inFlight      []inFlightRecord
	now           time.Duration
	logDownTicks  int
	sent          int
	activeTicks   int
	holderByEpoch map[structs.Epoch]string
}

func newLeaseSim(seed uint64) *leaseSim {
	s := &leaseSim{
		random:        rand.New(rand.NewPCG(seed, seed)),
		log:           state.New(),
		holderByEpoch: map[structs.Epoch]string{},
	}
	for i := range nodeCount {
		s.nodes = append(s.nodes, &simNode{
			name:         fmt.Sprintf("n%d", i),
			holder:       NewHolder("fleet", fmt.Sprintf("n%d", i), DefaultTiming()),
			ratePerMille: 1000 - clockErrorPerMille + s.random.Int64N(2*clockErrorPerMille+1),
			view:         s.log.View(),
		})
	}
	return s
}

func (s *leaseSim) chance(perMille int) bool {
	return s.random.IntN(1000) < perMille
}

// step advances the simulation by one tick.
func (s *leaseSim) step() {
	s.now += tick
	if s.logDownTicks > 0 {
		s.logDownTicks--
	} else if s.chance(2) {
		s.logDownTicks = s.random.IntN(600)
	}
	s.deliver()
	for _, n := range s.nodes {
		s.stepNode(n)
	}
}

// deliver appends the in-flight records that are due. Random delays reorder
// them.
func (s *leaseSim) deliver() {
	if s.logDownTicks > 0 {
		return
	}
	var notDue []inFlightRecord
	for _, d := range s.inFlight {
		if d.due > s.now {
			notDue = append(notDue, d)
			continue
		}
		s.log.Apply(s.log.Next(), d.rec)
	}
	s.inFlight = notDue
}

func (s *leaseSim) stepNode(n *simNode) {
	elapsed := tick * time.Duration(n.ratePerMille) / 1000
	n.clock.Wall += elapsed
	if !n.suspended {
		n.clock.Monotonic += elapsed
	}
	if s.chance(1) {
		n.clock.Wall += time.Duration(s.random.IntN(60)) * time.Second
	}
	if n.pausedTicks > 0 {
		n.pausedTicks--
		return
	}
	n.suspended = false
	if s.chance(3) {
		n.pausedTicks = s.random.IntN(400)
		n.suspended = s.chance(500)
		return
	}
	if s.logDownTicks == 0 && s.chance(300) {
		n.view = s.log.View()
		n.tailReadAt = n.clock
	}
	if rec, ok := n.holder.NextRecord(n.clock, n.view, n.tailReadAt); ok {
		s.send(n.name, rec)
	}
}

// send sends a record to the log; some copies are lost and some records arrive
// twice.
func (s *leaseSim) send(node string, l structs.Lease) {
	for range 1 + s.random.IntN(2) {
		if s.chance(200) {
			continue
		}
		s.sent++
		delay := time.Duration(s.random.IntN(3000)) * time.Millisecond
		s.inFlight = append(s.inFlight, inFlightRecord{
			due: s.now + delay,
			rec: structs.Record{Key: fmt.Sprint(s.sent), Writer: node, Lease: &l},
		})
	}
}

// activeHolders returns the names of the nodes that would act now. If two
// nodes have acted under the same epoch, both are listed.
func (s *leaseSim) activeHolders() []string {
	var holders []string
	for _, n := range s.nodes {
		epoch, err := n.holder.Check(n.clock, n.view)
		if err != nil || n.pausedTicks > 0 {
			continue
		}
		holders = append(holders, n.name)
		if previous, ok := s.holderByEpoch[epoch]; ok && previous != n.name {
			holders = append(holders, previous)
		}
		s.holderByEpoch[epoch] = n.name
	}
	return holders
}

// TestAtMostOneActiveHolder guards against two nodes acting as lease holder
// at the same time. It simulates inaccurate clocks, paused nodes, a slow and
// unavailable log, and lost records.
func TestAtMostOneActiveHolder(t *testing.T) {
	const ticks = 20000
	for seed := uint64(1); seed <= 5; seed++ {
		s := newLeaseSim(seed)
		for range ticks {
			s.step()
			holders := s.activeHolders()
			require.LessOrEqual(t, len(holders), 1, "seed %d at %v: %v", seed, s.now, holders)
			s.activeTicks += len(holders)
		}
		require.Greater(t, s.activeTicks, ticks/4, "seed %d: a lease was held for too few ticks", seed)
		require.Greater(t, len(s.holderByEpoch), 3, "seed %d: too few takeovers", seed)
	}
}

// TestSimulationDetectsNegativeMargin verifies that the simulation can detect a
// violation: with a negative margin, nodes take over while the previous holder
// still considers its lease valid.
func TestSimulationDetectsNegativeMargin(t *testing.T) {
	found := false
	for seed := uint64(1); seed <= 20 && !found; seed++ {
		s := newLeaseSim(seed)
		for _, n := range s.nodes {
			n.holder.watcher.margin = -8 * time.Second
		}
		for range 20000 {
			s.step()
			found = found || len(s.activeHolders()) > 1
		}
	}
	require.True(t, found)
}
