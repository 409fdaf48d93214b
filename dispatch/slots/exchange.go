package slots

import "time"

const (
	// keepIdleShare is one divided by the share of its slots that a lender
	// keeps idle for itself.
	keepIdleShare = 8
	// maxLentShare is one divided by the largest share of its slots that a
	// node lends.
	maxLentShare = 2
	// asksPerRound is for how many workers a node asks at a time.
	asksPerRound = 2
)

// Tick takes the present usage and returns what to send. Call it when usage
// changes and at least every Options.Retry. Workers left out keep their usage.
func (l *Ledger) Tick(now time.Time, usage []Usage) []Send {
	for _, u := range usage {
		if a := l.byID[u.Worker]; a != nil {
			a.usage = u
		}
	}
	var out []Send
	for _, a := range l.workers {
		out = l.giveBack(now, a, out)
	}
	for _, g := range l.groups {
		if g.waiting() == 0 {
			continue
		}
		for _, a := range g.accounts {
			out = l.recall(now, a, out)
		}
		out = l.ask(now, g, out)
	}
	return out
}

// giveBack returns borrowed slots that have been idle, or were recalled.
func (l *Ledger) giveBack(now time.Time, a *account, out []Send) []Send {
	idle := min(a.idle(), a.borrowed())
	switch {
	case idle == 0:
		a.idleSince = time.Time{}
	case a.idleSince.IsZero():
		a.idleSince = now
	}
	if idle > 0 && (a.recalled || now.Sub(a.idleSince) >= l.opts.IdleReturn) {
		a.release(idle)
		a.idleSince = time.Time{}
	}
	if a.borrowed() == 0 {
		a.recalled = false
	}
	for i := range a.peers {
		p := &a.peers[i]
		if p.tellReturn && (p.toldAt.IsZero() || now.Sub(p.toldAt) >= l.opts.Retry) {
			p.toldAt = now
			out = append(out, l.returnTo(a, p))
		}
	}
	return out
}

// release gives up n borrowed slots before any lender hears of it.
func (a *account) release(n int) {
	for i := range a.peers {
		p := &a.peers[i]
		k := min(n, int(p.borrowed-p.gaveBack))
		if k == 0 {
			continue
		}
		p.gaveBack += uint64(k)
		p.tellReturn = true
		p.toldAt = time.Time{}
		n -= k
	}
}

// recall asks borrowers for lent slots while requests wait here.
func (l *Ledger) recall(now time.Time, a *account, out []Send) []Send {
	for i := range a.peers {
		p := &a.peers[i]
		if p.lent == p.lentBack || now.Sub(p.recalledAt) < l.opts.Retry {
			continue
		}
		p.recalledAt = now
		recall := &Recall{Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots}
		out = append(out, Send{To: p.id, Message: Message{Recall: recall}})
	}
	return out
}

// ask requests slots, of one worker and from one peer after the other, while
// requests wait.
func (l *Ledger) ask(now time.Time, g *group, out []Send) []Send {
	if now.Before(g.askAt) {
		return out
	}
	g.askAt = now.Add(l.opts.Retry)
	for range min(asksPerRound, len(g.accounts)) {
		g.askWorker = (g.askWorker + 1) % len(g.accounts)
		a := g.accounts[g.askWorker]
		if len(a.peers) == 0 {
			continue
		}
		out = append(out, l.request(a, &a.peers[g.askPeer%len(a.peers)]))
		g.askPeer++
	}
	return out
}

func (l *Ledger) request(a *account, p *peer) Send {
	request := &Request{
		Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots,
		Known: p.borrowed, Want: min(a.group.waiting(), l.opts.MaxWant),
	}
	return Send{To: p.id, Message: Message{Request: request}}
}

// Receive takes a message from a peer and returns what to send.
func (l *Ledger) Receive(now time.Time, from string, m Message) []Send {
	switch {
	case m.Request != nil:
		return l.onRequest(from, m.Request)
	case m.Grant != nil:
		return l.onGrant(now, from, m.Grant)
	case m.Return != nil:
		return l.onReturn(from, m.Return)
	case m.Recall != nil:
		l.onRecall(from, m.Recall)
	}
	return nil
}

// find returns the account and the peer that a message is about, or nil when
// it belongs to another epoch or another size of the worker.
func (l *Ledger) find(from string, epoch uint64, worker string, slots int) (*account, *peer) {
	a := l.byID[worker]
	if a == nil || epoch != l.epoch || slots != a.Slots {
		return nil, nil
	}
	p := a.peer(from)
	if p == nil {
		return nil, nil
	}
	return a, p
}

// onRequest lends idle slots while nothing waits here.
func (l *Ledger) onRequest(from string, m *Request) []Send {
	a, p := l.find(from, m.Epoch, m.Worker, m.Slots)
	if a == nil {
		return nil
	}
	if m.Known == p.lent {
		p.lent += uint64(max(0, min(m.Want, a.spare())))
	}
	if p.lent == 0 {
		return nil
	}
	return []Send{l.grantTo(a, p)}
}

// spare is how many slots of a worker can be lent now.
func (a *account) spare() int {
	g := a.group
	if g.waiting() > 0 || a.borrowed() > 0 {
		return 0
	}
	share, lent := g.totals()
	keep := max(1, share/keepIdleShare)
	return min(a.idle(), g.idle()-keep, share/maxLentShare-lent)
}

func (l *Ledger) grantTo(a *account, p *peer) Send {
	grant := &Grant{
		Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots,
		Granted: p.lent, Returned: p.lentBack,
	}
	return Send{To: p.id, Message: Message{Grant: grant}}
}

// onGrant takes granted slots. A grant that would lend more than the worker
// has is ignored.
func (l *Ledger) onGrant(now time.Time, from string, m *Grant) []Send {
	a, p := l.find(from, m.Epoch, m.Worker, m.Slots)
	if a == nil || m.Granted > p.gaveBack+uint64(a.Slots) {
		return nil
	}
	p.borrowed = max(p.borrowed, m.Granted)
	if m.Returned >= p.gaveBack {
		p.tellReturn = false
		return nil
	}
	p.toldAt = now
	return []Send{l.returnTo(a, p)}
}

func (l *Ledger) returnTo(a *account, p *peer) Send {
	r := &Return{Epoch: l.epoch, Worker: a.Worker, Slots: a.Slots, Returned: p.gaveBack}
	return Send{To: p.id, Message: Message{Return: r}}
}

// onReturn takes slots back and acknowledges. A return of more than was lent
// is ignored.
func (l *Ledger) onReturn(from string, m *Return) []Send {
	a, p := l.find(from, m.Epoch, m.Worker, m.Slots)
	if a == nil || m.Returned > p.lent {
		return nil
	}
	p.lentBack = max(p.lentBack, m.Returned)
	return []Send{l.grantTo(a, p)}
}

func (l *Ledger) onRecall(from string, m *Recall) {
	a, p := l.find(from, m.Epoch, m.Worker, m.Slots)
	if a == nil {
		return
	}
	a.recalled = true
	if p.gaveBack > 0 {
		p.tellReturn = true
	}
}
