package jobhost

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/relay"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
)

// The intervals and limits of the orders that an owner sends through relays.
const (
	// relayPlanInterval is the pause between two assignments of relays.
	relayPlanInterval = 500 * time.Millisecond
	// relayMargin is how much longer an order may take through a relay: a round
	// trip between zones and the time in two queues.
	relayMargin = 400 * time.Millisecond
	// ownLag is the time between two checks of deadlines above which this node
	// was itself late.
	ownLag = 4 * loopInterval
	// relaySuspension is how long a node that failed is not used as a relay.
	relaySuspension = 3 * time.Second
	// maxBatchOrders bounds the orders of one message.
	maxBatchOrders = 64
	// relaySendTimeout limits the delivery of one batch of orders.
	relaySendTimeout = 700 * time.Millisecond
)

// The reasons for which a relay is suspended.
var (
	errRelaySilent  = errors.New("the relay did not return the result of an order in time")
	errRelayLost    = errors.New("the connection to the relay ended")
	errRelayLeaving = errors.New("the relay is about to stop")
)

// relayedCall is an order that a relay executes. It exists until its result
// arrives or its deadline passes.
type relayedCall struct {
	shard  *ownedShard
	node   string
	order  relayedOrder
	sentAt int64
	// deadline is when the relay must have returned the result.
	deadline int64
}

// relayLink holds the orders that wait to be sent to one relay.
type relayLink struct {
	node    string
	queue   []relayedOrder
	sending bool
	// suspendedUntil is the time until which the node is not used.
	suspendedUntil int64
}

// relayedOrders sends the orders of the shards that this node owns through
// relays. It belongs to the control loop.
type relayedOrders struct {
	host      *Host
	plannedAt int64
	// assigned is the relay of each worker, by shard and worker ID.
	assigned map[deps.Partition]map[string]string
	links    map[string]*relayLink
	calls    map[uint64]*relayedCall
	lastID   uint64
	// expiredAt is when deadlines were last checked.
	expiredAt int64
	// directUntil is the time until which the owner calls a worker itself, because its
	// relay had no answer from it.
	directUntil map[string]int64
}

func newRelayedOrders(h *Host) *relayedOrders {
	return &relayedOrders{host: h, assigned: map[deps.Partition]map[string]string{}, links: map[string]*relayLink{}, calls: map[uint64]*relayedCall{},
		directUntil: map[string]int64{}, lastID: uint64(h.incarnation)}
}

// plan assigns relays to the workers of the owned shards.
func (r *relayedOrders) plan(now int64) {
	if now-r.plannedAt < relayPlanInterval.Milliseconds() {
		return
	}
	r.plannedAt = now
	if !r.host.ownsJobShard() {
		return
	}
	nodes := r.candidates(now)
	assigned := map[deps.Partition]map[string]string{}
	for p, s := range r.host.owned {
		if s.core != nil {
			assigned[p] = relay.Assign(describe(p), s.relayWorkers, nodes)
		}
	}
	r.assigned = assigned
	maps.DeleteFunc(r.directUntil, func(_ string, until int64) bool { return now >= until })
}

// candidates returns the nodes that may be relays: all live nodes without a
// shard of their own.
func (r *relayedOrders) candidates(now int64) []relay.Node {
	var nodes []relay.Node
	for name, n := range r.host.nodes {
		if name == r.host.cfg.Node || !n.fresh(now) || len(n.record.Owned) > 0 {
			continue
		}
		if l := r.links[name]; l != nil && now < l.suspendedUntil {
			continue
		}
		if _, leaving := r.host.mesh.LinkState(name); leaving {
			continue
		}
		nodes = append(nodes, relay.Node{Name: name, Zone: n.record.Zone, Cores: n.record.Cores})
	}
	return nodes
}

func (r *relayedOrders) addPoll(s *ownedShard, p shard.Poll) bool {
	o := newRelayedOrder(orderPoll, p.Target)
	o.LeaseUntil, o.AckedUpto, o.WaitMS = p.LeaseUntil, p.AckedUpto, p.WaitMS
	return r.add(s, time.Duration(p.WaitMS)*time.Millisecond+pollMargin, o)
}

func (r *relayedOrders) addStart(s *ownedShard, st shard.Start) bool {
	o := newRelayedOrder(orderStart, st.Target)
	o.setRun(st.RunRef)
	o.Payload, o.LeaseUntil, o.Checkpoint, o.PermitToken = st.Payload, st.LeaseUntil, st.Checkpoint, st.PermitToken
	return r.add(s, orderTimeout, o)
}

// addRunOrder queues a stop or a pace order.
func (r *relayedOrders) addRunOrder(s *ownedShard, kind orderKind, t shard.Target, run shard.RunRef, percent int) bool {
	o := newRelayedOrder(kind, t)
	o.setRun(run)
	o.Percent = percent
	return r.add(s, orderTimeout, o)
}

// add queues an order for the worker's relay. It returns false if the owner has
// to make the call itself.
func (r *relayedOrders) add(s *ownedShard, timeout time.Duration, o relayedOrder) bool {
	node := r.assigned[s.partition][o.Worker]
	if node == "" {
		return false
	}
	now := monotonicMS()
	if now < r.directUntil[o.Worker] {
		return false
	}
	l := r.links[node]
	if l == nil {
		l = &relayLink{node: node}
		r.links[node] = l
	}
	if now < l.suspendedUntil {
		return false
	}
	r.lastID++
	o.ID = r.lastID
	l.queue = append(l.queue, o)
	r.calls[o.ID] = &relayedCall{shard: s, node: node, order: o, sentAt: now, deadline: now + (timeout + relayMargin).Milliseconds()}
	return true
}

// flush sends the queued orders. Each relay has at most one batch under way, so
// that orders that arrive meanwhile share the next one.
func (r *relayedOrders) flush() {
	for _, l := range r.links {
		if len(l.queue) > 0 && !l.sending {
			r.send(l)
		}
	}
}

func (r *relayedOrders) send(l *relayLink) {
	if _, leaving := r.host.mesh.LinkState(l.node); leaving {
		r.retire(l)
		return
	}
	n := min(len(l.queue), maxBatchOrders)
	orders := l.queue[:n:n]
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	body, err := encMode.Marshal(orderBatch{orders})
	if err != nil {
		r.host.record(events.RecordUnwritable, events.Fields{Peer: l.node, Detail: "relayed orders", Err: err})
		r.failLink(l, err)
		return
	}
	l.sending = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relaySendTimeout)
		defer cancel()
		_, err := r.host.mesh.Call(ctx, l.node, methodOrders, body)
		r.host.post(func() { r.handleSent(l, orders, err) })
	}()
}

// handleSent continues after a batch was delivered, or makes its calls directly
// if it certainly was not.
func (r *relayedOrders) handleSent(l *relayLink, orders []relayedOrder, err error) {
	l.sending = false
	if err == nil {
		return
	}
	if kind := peer.KindOf(err); kind == peer.KindUnreachable || kind == peer.KindRefused {
		r.executeDirectly(orders)
	}
	r.failLink(l, err)
}

// retire stops sending orders to a relay. Orders that were not sent are executed
// directly. The relay still returns the results of the others.
func (r *relayedOrders) retire(l *relayLink) {
	unsent := r.suspend(l)
	r.host.record(events.RelaySuspended, events.Fields{Peer: l.node, Detail: fmt.Sprintf("unsent=%d", unsent), Err: errRelayLeaving})
}

// suspend stops the use of a relay for a while, and makes the calls that wait for
// it directly. It returns their number.
func (r *relayedOrders) suspend(l *relayLink) int {
	l.suspendedUntil = monotonicMS() + relaySuspension.Milliseconds()
	r.plannedAt = 0
	unsent := l.queue
	l.queue = nil
	r.executeDirectly(unsent)
	return len(unsent)
}

// executeDirectly makes the calls of orders that certainly no relay executes.
func (r *relayedOrders) executeDirectly(orders []relayedOrder) {
	for _, o := range orders {
		if c := r.calls[o.ID]; c != nil {
			delete(r.calls, o.ID)
			r.host.callDirectly(c.shard, o)
		}
	}
}

// failLink suspends a relay. Orders that were not sent are executed directly.
// Those that the relay may have executed count as unanswered.
func (r *relayedOrders) failLink(l *relayLink, cause error) {
	unsent := r.suspend(l)
	unanswered := 0
	for id, c := range r.calls {
		if c.node == l.node {
			delete(r.calls, id)
			r.host.stats.relayedGivenUp.Add(1)
			r.host.giveUp(c)
			unanswered++
		}
	}
	r.host.record(events.RelaySuspended, events.Fields{Peer: l.node, Detail: fmt.Sprintf("unsent=%d unanswered=%d", unsent, unanswered), Err: cause})
}

// expire fails the relays that did not return a result in time, and those that
// ended with orders in their hands.
func (r *relayedOrders) expire(now int64) {
	r.allowOwnLag(now)
	failed := map[string]error{}
	for _, c := range r.calls {
		if now > c.deadline {
			failed[c.node] = errRelaySilent
		} else if _, checked := failed[c.node]; !checked {
			failed[c.node] = r.lostLink(c.node)
		}
	}
	for node, cause := range failed {
		if cause != nil {
			r.failLink(r.links[node], cause)
		}
	}
}

// allowOwnLag extends the deadlines by the time for which this node was
// suspended or too slow to look: results that wait to be handled are not the
// relays' fault. Without their relays a slow owner would fall behind for good.
func (r *relayedOrders) allowOwnLag(now int64) {
	lag := now - r.expiredAt
	if r.expiredAt != 0 && lag > ownLag.Milliseconds() {
		for _, c := range r.calls {
			c.deadline += lag
		}
	}
	r.expiredAt = now
}

// lostLink returns errRelayLost if there is no connection to a relay to which no
// batch is under way.
func (r *relayedOrders) lostLink(node string) error {
	if connected, _ := r.host.mesh.LinkState(node); connected || r.links[node].sending {
		return nil
	}
	return errRelayLost
}

// serveResults applies the results that a relay returns. Results of orders that
// were given up are ignored.
func (h *Host) serveResults(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var batch resultBatch
	if err := decMode.Unmarshal(body, &batch); err != nil {
		return nil, errors.Wrap(err, "results of relayed orders can't be decoded")
	}
	return nil, h.runOnLoop(ctx, func() {
		for i := range batch.Results {
			h.relays.handleResult(&batch.Results[i])
		}
	})
}

func (r *relayedOrders) handleResult(res *orderResult) {
	c := r.calls[res.ID]
	if c == nil {
		return
	}
	delete(r.calls, res.ID)
	r.host.stats.relayedAnswered.Add(1)
	if r.host.owned[c.shard.partition] != c.shard {
		return
	}
	now, core := monotonicMS(), c.shard.core
	if res.workerSilent(c.order.Kind) {
		r.directUntil[c.order.Worker] = now + relaySuspension.Milliseconds()
	}
	switch c.order.Kind {
	case orderPoll:
		if res.Outcome != "" {
			core.HandlePollError(now, c.sentAt, c.order.target(), shard.PollError(res.Outcome))
			return
		}
		core.HandlePollResponse(now, c.sentAt, c.order.target(), res.response())
	case orderStart:
		core.HandleStartResult(now, c.order.start(), shard.StartResult{Outcome: shard.StartOutcome(res.Outcome), ClockMS: res.ClockMS})
	case orderStop:
		core.HandleStopResult(now, shard.Stop{Target: c.order.target(), RunRef: c.order.runRef()}, res.Answered, res.Fenced)
	case orderPace:
		core.HandlePaceResult(now, shard.Pace{Target: c.order.target(), RunRef: c.order.runRef(), Percent: c.order.Percent}, res.Answered)
	}
}

// callDirectly makes the call of a relayed order from this node.
func (h *Host) callDirectly(s *ownedShard, o relayedOrder) {
	if h.owned[s.partition] != s {
		return
	}
	switch o.Kind {
	case orderPoll:
		go h.pollWorker(s, o.poll())
	case orderStart:
		h.sendStart(s, o.start())
	case orderStop:
		h.sendStop(s, shard.Stop{Target: o.target(), RunRef: o.runRef()})
	case orderPace:
		h.sendPace(s, shard.Pace{Target: o.target(), RunRef: o.runRef(), Percent: o.Percent})
	}
}

// giveUp ends an order of which nobody knows whether the worker got it. A poll
// and a stop are repeated directly, which is harmless. A start counts as
// unanswered.
func (h *Host) giveUp(c *relayedCall) {
	if h.owned[c.shard.partition] != c.shard {
		return
	}
	if c.order.Kind == orderStart {
		c.shard.core.HandleStartResult(monotonicMS(), c.order.start(), shard.StartResult{Outcome: shard.StartUnanswered})
		return
	}
	h.callDirectly(c.shard, c.order)
}

// dropShard forgets the orders of a shard that this node no longer owns.
func (r *relayedOrders) dropShard(s *ownedShard) {
	for id, c := range r.calls {
		if c.shard == s {
			delete(r.calls, id)
		}
	}
	for _, l := range r.links {
		l.queue = slices.DeleteFunc(l.queue, func(o relayedOrder) bool { return r.calls[o.ID] == nil })
	}
	delete(r.assigned, s.partition)
}
