package slots

import "time"

const (
	// idleReserveDivisor sets how many idle slots a lender reserves for itself:
	// its share of the group divided by this value, and at least one slot.
	idleReserveDivisor = 8
	// maxLentDivisor bounds the slots that a node lends: its share of the group
	// divided by this value.
	maxLentDivisor = 2
	// maxRequestsPerRound bounds the workers of one group for which a node
	// requests slots at a time.
	maxRequestsPerRound = 2
)

// Tick records the current usage and returns the messages to send. Call it when
// the usage changes and at least every Options.RetryInterval. A worker that is
// missing from usage keeps its previous usage.
func (l *Ledger) Tick(now time.Time, usage []Usage) []OutgoingMessage {
	for _, u := range usage {
		if a := l.byWorker[u.Worker]; a != nil {
			a.usage = u
		}
	}
	var out []OutgoingMessage
	for _, a := range l.accounts {
		out = l.returnIdleSlots(now, a, out)
	}
	for _, g := range l.groups {
		if g.waiting() == 0 {
			continue
		}
		for _, a := range g.accounts {
			out = l.recallLentSlots(now, a, out)
		}
		out = l.requestSlots(now, g, out)
	}
	return out
}

// returnIdleSlots returns borrowed slots that have been idle for
// Options.IdleTimeout, or are idle after a recall. It also resends returns that
// the lender has not acknowledged.
func (l *Ledger) returnIdleSlots(now time.Time, a *account, out []OutgoingMessage) []OutgoingMessage {
	idle := min(a.idle(), a.borrowed())
	switch {
	case idle == 0:
		a.idleSince = time.Time{}
	case a.idleSince.IsZero():
		a.idleSince = now
	}
	if idle > 0 && (a.recalled || now.Sub(a.idleSince) >= l.opts.IdleTimeout) {
		a.release(idle)
		a.idleSince = time.Time{}
	}
	if a.borrowed() == 0 {
		a.recalled = false
	}
	for i := range a.peers {
		p := &a.peers[i]
		if p.returnPending && (p.returnSentAt.IsZero() || now.Sub(p.returnSentAt) >= l.opts.RetryInterval) {
			p.returnSentAt = now
			out = append(out, l.newReturn(a, p))
		}
	}
	return out
}

// release returns n borrowed slots. The node stops using them at once, before
// any lender learns of the return.
func (a *account) release(n int) {
	for i := range a.peers {
		p := &a.peers[i]
		k := min(n, int(p.received-p.receivedReturned))
		if k == 0 {
			continue
		}
		p.receivedReturned += uint64(k)
		p.returnPending = true
		p.returnSentAt = time.Time{}
		n -= k
	}
}

// recallLentSlots asks the borrowers of a worker to return their slots. Tick
// calls it while requests wait on this node.
func (l *Ledger) recallLentSlots(now time.Time, a *account, out []OutgoingMessage) []OutgoingMessage {
	for i := range a.peers {
		p := &a.peers[i]
		if p.granted == p.grantedReturned || now.Sub(p.recallSentAt) < l.opts.RetryInterval {
			continue
		}
		p.recallSentAt = now
		recall := &Recall{Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots}
		out = append(out, OutgoingMessage{To: p.id, Message: Message{Recall: recall}})
	}
	return out
}

// requestSlots asks peers for slots of a group in which requests wait.
// Successive requests rotate over the workers and the peers.
func (l *Ledger) requestSlots(now time.Time, g *group, out []OutgoingMessage) []OutgoingMessage {
	if now.Before(g.nextRequestAt) {
		return out
	}
	g.nextRequestAt = now.Add(l.opts.RetryInterval)
	for range min(maxRequestsPerRound, len(g.accounts)) {
		g.lastWorker = (g.lastWorker + 1) % len(g.accounts)
		a := g.accounts[g.lastWorker]
		if len(a.peers) == 0 {
			continue
		}
		out = append(out, l.newRequest(a, &a.peers[g.nextPeer%len(a.peers)]))
		g.nextPeer++
	}
	return out
}

func (l *Ledger) newRequest(a *account, p *peer) OutgoingMessage {
	request := &Request{
		Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots,
		KnownGranted: p.received, Requested: min(a.group.waiting(), l.opts.MaxRequested),
	}
	return OutgoingMessage{To: p.id, Message: Message{Request: request}}
}

// Receive handles a message from a peer and returns the messages to send.
func (l *Ledger) Receive(now time.Time, from string, m Message) []OutgoingMessage {
	switch {
	case m.Request != nil:
		return l.handleRequest(from, m.Request)
	case m.Grant != nil:
		return l.handleGrant(now, from, m.Grant)
	case m.Return != nil:
		return l.handleReturn(from, m.Return)
	case m.Recall != nil:
		l.handleRecall(from, m.Recall)
	}
	return nil
}

// lookup returns the account and the peer that a message concerns. It returns
// nil if the epoch or the number of the worker's slots differs from this
// node's, or if the worker or the sender is unknown.
func (l *Ledger) lookup(from string, epoch uint64, worker string, slots int) (*account, *peer) {
	a := l.byWorker[worker]
	if a == nil || epoch != l.epoch || slots != a.Slots {
		return nil, nil
	}
	p := a.peer(from)
	if p == nil {
		return nil, nil
	}
	return a, p
}

// handleRequest lends idle slots while no requests wait on this node.
func (l *Ledger) handleRequest(from string, m *Request) []OutgoingMessage {
	a, p := l.lookup(from, m.Epoch, m.Worker, m.Slots)
	if a == nil {
		return nil
	}
	if m.KnownGranted == p.granted {
		p.granted += uint64(max(0, min(m.Requested, a.lendable())))
	}
	if p.granted == 0 {
		return nil
	}
	return []OutgoingMessage{l.newGrant(a, p)}
}

// lendable returns how many slots of the worker can be lent now.
func (a *account) lendable() int {
	g := a.group
	if g.waiting() > 0 || a.borrowed() > 0 {
		return 0
	}
	share, lent := g.totals()
	reserve := max(1, share/idleReserveDivisor)
	return min(a.idle(), g.idle()-reserve, share/maxLentDivisor-lent)
}

func (l *Ledger) newGrant(a *account, p *peer) OutgoingMessage {
	grant := &Grant{
		Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots,
		Granted: p.granted, Returned: p.grantedReturned,
	}
	return OutgoingMessage{To: p.id, Message: Message{Grant: grant}}
}

// handleGrant adds granted slots. It ignores a grant under which this node
// would borrow more slots than the worker has.
func (l *Ledger) handleGrant(now time.Time, from string, m *Grant) []OutgoingMessage {
	a, p := l.lookup(from, m.Epoch, m.Worker, m.Slots)
	if a == nil || m.Granted > p.receivedReturned+uint64(a.Slots) {
		return nil
	}
	p.received = max(p.received, m.Granted)
	if m.Returned >= p.receivedReturned {
		p.returnPending = false
		return nil
	}
	p.returnSentAt = now
	return []OutgoingMessage{l.newReturn(a, p)}
}

func (l *Ledger) newReturn(a *account, p *peer) OutgoingMessage {
	r := &Return{Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots, Returned: p.receivedReturned}
	return OutgoingMessage{To: p.id, Message: Message{Return: r}}
}

// handleReturn takes returned slots back and acknowledges them. It ignores a
// return of more slots than were granted.
func (l *Ledger) handleReturn(from string, m *Return) []OutgoingMessage {
	a, p := l.lookup(from, m.Epoch, m.Worker, m.Slots)
	if a == nil || m.Returned > p.granted {
		return nil
	}
	p.grantedReturned = max(p.grantedReturned, m.Returned)
	return []OutgoingMessage{l.newGrant(a, p)}
}

func (l *Ledger) handleRecall(from string, m *Recall) {
	a, p := l.lookup(from, m.Epoch, m.Worker, m.Slots)
	if a == nil {
		return
	}
	a.recalled = true
	if p.receivedReturned > 0 {
		p.returnPending = true
	}
}
