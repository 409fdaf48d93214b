package planner

import (
	"container/heap"
	"math"
	"time"
)

// The bound on moves is a Lagrangian one. For a price on each slot-hour of
// shortage, the least of moves + price * shortage over all plans, even those
// that know the demand beforehand, is a flow of least cost through the pools
// over time. That least, minus price * the shortage of the measured plan, is
// never more than the moves of any plan with no more shortage.

const (
	boundStep   = time.Minute
	keepBonus   = 1000.0
	boundTravel = 5 // steps for which a moved VM is out at least
)

// arc is one unit-capacity or unbounded arc of the flow network.
type arc struct {
	to, back int
	left     int
	cost     float64
}

// network is a flow network in residual form.
type network struct {
	arcs [][]arc
	dist []float64
	from [][2]int
	pot  []float64
}

func newNetwork(nodes int) *network {
	return &network{arcs: make([][]arc, nodes), dist: make([]float64, nodes), from: make([][2]int, nodes), pot: make([]float64, nodes)}
}

func (n *network) add(from, to, capacity int, cost float64) {
	n.arcs[from] = append(n.arcs[from], arc{to: to, back: len(n.arcs[to]), left: capacity, cost: cost})
	n.arcs[to] = append(n.arcs[to], arc{to: from, back: len(n.arcs[from]) - 1, cost: -cost})
}

// leastCost sends the flow from node 0 to the last node. Arcs go from lower to
// higher nodes, so that one pass in node order finds the first distances.
func (n *network) leastCost(flow int) float64 {
	n.firstPotentials()
	total := 0.0
	last := len(n.arcs) - 1
	for ; flow > 0; flow-- {
		n.shortest()
		for v := range n.pot {
			if n.dist[v] < math.Inf(1) {
				n.pot[v] += n.dist[v]
			}
		}
		for v := last; v != 0; {
			a := &n.arcs[n.from[v][0]][n.from[v][1]]
			a.left--
			n.arcs[v][a.back].left++
			total += a.cost
			v = n.from[v][0]
		}
	}
	return total
}

func (n *network) firstPotentials() {
	for v := range n.pot {
		n.pot[v] = math.Inf(1)
	}
	n.pot[0] = 0
	for v := range n.arcs {
		for _, a := range n.arcs[v] {
			if a.left > 0 && n.pot[v]+a.cost < n.pot[a.to] {
				n.pot[a.to] = n.pot[v] + a.cost
			}
		}
	}
}

// shortest is Dijkstra's algorithm on reduced costs.
func (n *network) shortest() {
	for v := range n.dist {
		n.dist[v] = math.Inf(1)
	}
	n.dist[0] = 0
	queue := &nodeQueue{{node: 0}}
	for queue.Len() > 0 {
		at := heap.Pop(queue).(queued)
		if at.dist > n.dist[at.node] {
			continue
		}
		for i, a := range n.arcs[at.node] {
			if a.left == 0 {
				continue
			}
			dist := at.dist + max(a.cost+n.pot[at.node]-n.pot[a.to], 0)
			if dist < n.dist[a.to]-1e-12 {
				n.dist[a.to] = dist
				n.from[a.to] = [2]int{at.node, i}
				heap.Push(queue, queued{node: a.to, dist: dist})
			}
		}
	}
}

type queued struct {
	node int
	dist float64
}

type nodeQueue []queued

func (q nodeQueue) Len() int           { return len(q) }
func (q nodeQueue) Less(i, j int) bool { return q[i].dist < q[j].dist }
func (q nodeQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *nodeQueue) Push(x any)        { *q = append(*q, x.(queued)) }
func (q *nodeQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// movesBound is a number of moves that no plan with at most this shortage can
// go below.
func movesBound(line demandLine, start, keep []int, shortage float64) float64 {
	best := 0.0
	for _, price := range []float64{0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1} {
		best = max(best, cheapest(line, start, keep, price)-price*shortage)
	}
	return math.Ceil(best - 1e-6)
}

// cheapest is the least moves + price * shortage of any plan.
func cheapest(line demandLine, start, keep []int, price float64) float64 {
	pools := len(line)
	rounds := int(boundStep / simRound)
	steps := len(line[0]) / rounds
	n := newNetwork(pools*(steps+1) + 2)
	node := func(p, t int) int { return 1 + t*pools + p }
	empty := 0.0
	all := 0
	for _, vms := range start {
		all += vms
	}
	for p := 0; p < pools; p++ {
		n.add(0, node(p, 0), start[p], 0)
		n.add(node(p, steps), pools*(steps+1)+1, all, 0)
		for t := 0; t < steps; t++ {
			empty += price * addHold(n, node(p, t), node(p, t+1), line[p][t*rounds:(t+1)*rounds], price, keep[p], all)
		}
	}
	addMoves(n, node, pools, steps)
	kept := 0
	for _, vms := range keep {
		kept += vms
	}
	return empty + n.leastCost(all) + float64(kept*steps)*keepBonus
}

// addHold adds the arcs of VMs that serve a pool for one step, each of which
// saves less shortage than the one before, and returns the shortage without
// any. The VMs that the budget keeps in the pool earn a bonus that no plan
// forgoes.
func addHold(n *network, from, to int, wants []float64, price float64, keep, most int) float64 {
	before := stepShortage(wants, 0)
	empty := before
	for k := 1; k <= most && (before > 0 || k <= keep); k++ {
		after := stepShortage(wants, k)
		cost := price * (after - before)
		if k <= keep {
			cost -= keepBonus
		}
		n.add(from, to, 1, cost)
		before = after
	}
	n.add(from, to, most, 0)
	return empty
}

func stepShortage(wants []float64, vms int) float64 {
	sum := 0.0
	for _, want := range wants {
		sum += max(want-float64(vms*slotsPerVM), 0)
	}
	return sum * simRound.Seconds() / secondsHour
}

// addMoves adds an arc from each pool to each other one. The VM serves the
// old pool for the whole step in which it leaves and the new one from the
// step in which it arrives, which only helps the bound's plan.
func addMoves(n *network, node func(p, t int) int, pools, steps int) {
	for t := 1; t+boundTravel-1 <= steps; t++ {
		for p := 0; p < pools; p++ {
			for q := 0; q < pools; q++ {
				if p != q {
					n.add(node(p, t), node(q, t+boundTravel-1), 1, 1)
				}
			}
		}
	}
}
