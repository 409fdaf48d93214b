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
	tick       = 100 * time.Millisecond
	contenders = 5
	// clockError is the largest error of a clock's rate, in parts per
	// thousand.
	clockError = 10
)

// contender is a node with clocks of its own, which reads the log late and may
// be paused or suspended.
type contender struct {
	name   string
	h      *Holder
	clock  Instant
	rate   int64
	view   *structs.View
	tail   Instant
	paused int
	// suspended says that the monotonic clock stands still during the pause.
	suspended bool
}

// delivery is a record on its way to the log.
type delivery struct {
	due time.Duration
	rec structs.Record
}

// contest is a log and the nodes that contend for one scope.
type contest struct {
	random *rand.Rand
	log    *state.State
	nodes  []*contender
	wire   []delivery
	now    time.Duration
	down   int
	sent   int
	acts   int
	epochs map[structs.Epoch]string
}

func newContest(seed uint64) *contest {
	c := &contest{
		random: rand.New(rand.NewPCG(seed, seed)),
		log:    state.New(),
		epochs: map[structs.Epoch]string{},
	}
	for i := range contenders {
		c.nodes = append(c.nodes, &contender{
			name: fmt.Sprintf("n%d", i),
			h:    NewHolder("fleet", fmt.Sprintf("n%d", i), DefaultTiming()),
			rate: 1000 - clockError + c.random.Int64N(2*clockError+1),
			view: c.log.View(),
		})
	}
	return c
}

func (c *contest) chance(perMille int) bool {
	return c.random.IntN(1000) < perMille
}

// step lets one tick pass.
func (c *contest) step() {
	c.now += tick
	if c.down > 0 {
		c.down--
	} else if c.chance(2) {
		c.down = c.random.IntN(600)
	}
	c.deliver()
	for _, n := range c.nodes {
		c.stepNode(n)
	}
}

// deliver appends the records that are due, in random order of sending.
func (c *contest) deliver() {
	if c.down > 0 {
		return
	}
	var later []delivery
	for _, d := range c.wire {
		if d.due > c.now {
			later = append(later, d)
			continue
		}
		c.log.Apply(c.log.Next(), d.rec)
	}
	c.wire = later
}

func (c *contest) stepNode(n *contender) {
	elapsed := tick * time.Duration(n.rate) / 1000
	n.clock.Wall += elapsed
	if !n.suspended {
		n.clock.Monotonic += elapsed
	}
	if c.chance(1) {
		n.clock.Wall += time.Duration(c.random.IntN(60)) * time.Second
	}
	if n.paused > 0 {
		n.paused--
		return
	}
	n.suspended = false
	if c.chance(3) {
		n.paused = c.random.IntN(400)
		n.suspended = c.chance(500)
		return
	}
	if c.down == 0 && c.chance(300) {
		n.view = c.log.View()
		n.tail = n.clock
	}
	if rec, ok := n.h.Next(n.clock, n.view, n.tail); ok {
		c.send(n.name, rec)
	}
}

// send puts a record on the wire; some are lost and some arrive twice.
func (c *contest) send(node string, l structs.Lease) {
	for range 1 + c.random.IntN(2) {
		if c.chance(200) {
			continue
		}
		c.sent++
		delay := time.Duration(c.random.IntN(3000)) * time.Millisecond
		c.wire = append(c.wire, delivery{
			due: c.now + delay,
			rec: structs.Record{Key: fmt.Sprint(c.sent), Writer: node, Lease: &l},
		})
	}
}

// believers lists the nodes that would act now.
func (c *contest) believers() []string {
	var list []string
	for _, n := range c.nodes {
		epoch, err := n.h.Check(n.clock, n.view)
		if err != nil || n.paused > 0 {
			continue
		}
		list = append(list, n.name)
		if before, ok := c.epochs[epoch]; ok && before != n.name {
			list = append(list, before)
		}
		c.epochs[epoch] = n.name
	}
	return list
}

// TestNoTwoNodesBelieveAtOnce runs nodes with wrong clocks, pauses, a slow and
// failing log and lost records, and looks for two that would act at one time.
func TestNoTwoNodesBelieveAtOnce(t *testing.T) {
	const ticks = 20000
	for seed := uint64(1); seed <= 5; seed++ {
		c := newContest(seed)
		for range ticks {
			c.step()
			list := c.believers()
			require.LessOrEqual(t, len(list), 1, "seed %d at %v: %v", seed, c.now, list)
			c.acts += len(list)
		}
		require.Greater(t, c.acts, ticks/4, "seed %d: hardly anybody held the lease", seed)
		require.Greater(t, len(c.epochs), 3, "seed %d: the lease hardly changed hands", seed)
	}
}

// TestContestNoticesAWrongMargin shows that the test above can fail: nodes
// that take over too early meet a holder that still believes.
func TestContestNoticesAWrongMargin(t *testing.T) {
	found := false
	for seed := uint64(1); seed <= 20 && !found; seed++ {
		c := newContest(seed)
		for _, n := range c.nodes {
			n.h.watcher.margin = -8 * time.Second
		}
		for range 20000 {
			c.step()
			found = found || len(c.believers()) > 1
		}
	}
	require.True(t, found)
}
