package slots

import "time"

// group is the workers among which a request may choose.
type group struct {
	key      groupKey
	accounts []*account
	// askAt is when to ask next; askWorker and askPeer are whom about what.
	askAt              time.Time
	askWorker, askPeer int
}

// groupKey names a pool, or a worker without a pool.
type groupKey struct {
	pool, worker string
}

func (a *account) groupKey() groupKey {
	if a.Pool == "" {
		return groupKey{worker: a.Worker}
	}
	return groupKey{pool: a.Pool}
}

// regroup puts the workers into their groups; a group that stays goes on
// asking where it was.
func (l *Ledger) regroup() {
	byKey := make(map[groupKey]*group, len(l.groups))
	for _, g := range l.groups {
		g.accounts = g.accounts[:0]
		byKey[g.key] = g
	}
	l.groups = l.groups[:0]
	for _, a := range l.workers {
		key := a.groupKey()
		g := byKey[key]
		if g == nil {
			g = &group{key: key}
			byKey[key] = g
		}
		if len(g.accounts) == 0 {
			l.groups = append(l.groups, g)
		}
		g.accounts = append(g.accounts, a)
		a.group = g
	}
}

// waiting is how many requests further slots of the group would start.
func (g *group) waiting() int {
	n := 0
	for _, a := range g.accounts {
		n = max(n, a.usage.Waiting)
	}
	return n
}

// idle is how many usable slots of the group have nothing in progress.
func (g *group) idle() int {
	n := 0
	for _, a := range g.accounts {
		n += a.idle()
	}
	return n
}

// totals returns this node's share of the group and what is lent of it.
func (g *group) totals() (share, lent int) {
	for _, a := range g.accounts {
		share += a.share
		lent += a.lent()
	}
	return share, lent
}
