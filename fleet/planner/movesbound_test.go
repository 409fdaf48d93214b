package planner

import (
	"container/heap"
	"math"
	"time"
)

// The lower bound on the number of moves is a Lagrangian one. For a given
// price on each slot-hour of shortage, the minimum of moves + price * shortage
// over all plans, including those that know the demand in advance, is a
// minimum-cost flow through the pools over time. This minimum, minus price *
// the shortage of the measured plan, never exceeds the moves of any plan with
// at most that shortage.

const (
	boundStep      = time.Minute
	keepBonus      = 1000.0
	minTravelSteps = 5 // minimum number of steps for which a moved VM is out of service
)

// arc is an arc of the flow network with unit or unbounded capacity.
type arc struct {
	to, reverse int
	residual    int
	cost        float64
}

// network is a flow network in residual form.
type network struct {
	arcs      [][]arc
	dist      []float64
	prev      [][2]int
	potential []float64
}

func newNetwork(nodes int) *network {
	return &network{arcs: make([][]arc, nodes), dist: make([]float64, nodes), prev: make([][2]int, nodes), potential: make([]float64, nodes)}
}

func (n *network) add(from, to, capacity int, cost float64) {
	n.arcs[from] = append(n.arcs[from], arc{to: to, reverse: len(n.arcs[to]), residual: capacity, cost: cost})
	n.arcs[to] = append(n.arcs[to], arc{to: from, reverse: len(n.arcs[from]) - 1, cost: -cost})
}

// minCost sends the flow from node 0 to the last node and returns its cost.
// Arcs lead from lower to higher nodes, so that one pass in node order yields
// the first potentials.
func (n *network) minCost(flow int) float64 {
	n.initPotentials()
	total := 0.0
	last := len(n.arcs) - 1
	for ; flow > 0; flow-- {
		n.shortestPaths()
		for v := range n.potential {
			if n.dist[v] < math.Inf(1) {
				n.potential[v] += n.dist[v]
			}
		}
		for v := last; v != 0; {
			a := &n.arcs[n.prev[v][0]][n.prev[v][1]]
			a.residual--
			n.arcs[v][a.reverse].residual++
			total += a.cost
			v = n.prev[v][0]
		}
	}
	return total
}

func (n *network) initPotentials() {
	for v := range n.potential {
		n.potential[v] = math.Inf(1)
	}
	n.potential[0] = 0
	for v := range n.arcs {
		for _, a := range n.arcs[v] {
			if a.residual > 0 && n.potential[v]+a.cost < n.potential[a.to] {
				n.potential[a.to] = n.potential[v] + a.cost
			}
		}
	}
}

// shortestPaths runs Dijkstra's algorithm on the reduced costs.
func (n *network) shortestPaths() {
	for v := range n.dist {
		n.dist[v] = math.Inf(1)
	}
	n.dist[0] = 0
	queue := &nodeQueue{{node: 0}}
	for queue.Len() > 0 {
		item := heap.Pop(queue).(queuedNode)
		if item.dist > n.dist[item.node] {
			continue
		}
		for i, a := range n.arcs[item.node] {
			if a.residual == 0 {
				continue
			}
			dist := item.dist + max(a.cost+n.potential[item.node]-n.potential[a.to], 0)
			if dist < n.dist[a.to]-1e-12 {
				n.dist[a.to] = dist
				n.prev[a.to] = [2]int{item.node, i}
				heap.Push(queue, queuedNode{node: a.to, dist: dist})
			}
		}
	}
}

type queuedNode struct {
	node int
	dist float64
}

type nodeQueue []queuedNode

func (q nodeQueue) Len() int           { return len(q) }
func (q nodeQueue) Less(i, j int) bool { return q[i].dist < q[j].dist }
func (q nodeQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *nodeQueue) Push(x any)        { *q = append(*q, x.(queuedNode)) }
func (q *nodeQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// movesBound returns a lower bound on the moves of any plan with at most the
// given shortage.
func movesBound(demand demandSeries, start, keep []int, shortage float64) float64 {
	best := 0.0
	for _, price := range []float64{0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1} {
		best = max(best, minPlanCost(demand, start, keep, price)-price*shortage)
	}
	return math.Ceil(best - 1e-6)
}

// minPlanCost returns the minimum of moves + price * shortage over all plans.
func minPlanCost(demand demandSeries, start, keep []int, price float64) float64 {
	pools := len(demand)
	rounds := int(boundStep / simRound)
	steps := len(demand[0]) / rounds
	n := newNetwork(pools*(steps+1) + 2)
	node := func(p, t int) int { return 1 + t*pools + p }
	baseCost := 0.0
	all := 0
	for _, vms := range start {
		all += vms
	}
	for p := 0; p < pools; p++ {
		n.add(0, node(p, 0), start[p], 0)
		n.add(node(p, steps), pools*(steps+1)+1, all, 0)
		for t := 0; t < steps; t++ {
			baseCost += price * addServingArcs(n, node(p, t), node(p, t+1), demand[p][t*rounds:(t+1)*rounds], price, keep[p], all)
		}
	}
	addMoveArcs(n, node, pools, steps)
	kept := 0
	for _, vms := range keep {
		kept += vms
	}
	return baseCost + n.minCost(all) + float64(kept*steps)*keepBonus
}

// addServingArcs adds the arcs of VMs that serve a pool for one step, and
// returns the shortage without any VM. Each further VM reduces the shortage by
// less than the one before. The VMs that the budget keeps in the pool earn a
// bonus that every optimal plan collects.
func addServingArcs(n *network, from, to int, wants []float64, price float64, keep, most int) float64 {
	before := stepShortage(wants, 0)
	baseShortage := before
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
	return baseShortage
}

func stepShortage(wants []float64, vms int) float64 {
	sum := 0.0
	for _, want := range wants {
		sum += max(want-float64(vms*slotsPerVM), 0)
	}
	return sum * simRound.Seconds() / secondsPerHour
}

// addMoveArcs adds an arc from each pool to each other pool. A VM serves the
// old pool for the whole step in which it leaves and the new pool from the
// step in which it arrives, which can only lower the bound.
func addMoveArcs(n *network, node func(p, t int) int, pools, steps int) {
	for t := 1; t+minTravelSteps-1 <= steps; t++ {
		for p := 0; p < pools; p++ {
			for q := 0; q < pools; q++ {
				if p != q {
					n.add(node(p, t), node(q, t+minTravelSteps-1), 1, 1)
				}
			}
		}
	}
}
