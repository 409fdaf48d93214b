package slots

import "time"

// group is a set of workers that can serve the same requests: a pool, or a
// worker without a pool.
type group struct {
	key      groupKey
	accounts []*account
	// nextRequestAt is the earliest time of the next requests for slots.
	// lastWorker is the index of the worker last requested, and nextPeer counts
	// the requests sent, to select the peer of the next one.
	nextRequestAt        time.Time
	lastWorker, nextPeer int
}

// groupKey identifies a group: by the pool, or by the worker if it has no pool.
type groupKey struct {
	pool, worker string
}

func (a *account) groupKey() groupKey {
	if a.Pool == "" {
		return groupKey{worker: a.Worker}
	}
	return groupKey{pool: a.Pool}
}

// regroup assigns the workers to groups. A group that already existed keeps its
// position in the rotation of requests.
func (l *Ledger) regroup() {
	byKey := make(map[groupKey]*group, len(l.groups))
	for _, g := range l.groups {
		g.accounts = g.accounts[:0]
		byKey[g.key] = g
	}
	l.groups = l.groups[:0]
	for _, a := range l.accounts {
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

// waiting returns the number of requests that additional slots of the group
// would start.
func (g *group) waiting() int {
	n := 0
	for _, a := range g.accounts {
		n = max(n, a.usage.Waiting)
	}
	return n
}

// idle returns the number of usable slots of the group without a request in
// progress.
func (g *group) idle() int {
	n := 0
	for _, a := range g.accounts {
		n += a.idle()
	}
	return n
}

// totals returns this node's share of the group's slots and how many of them
// are lent.
func (g *group) totals() (share, lent int) {
	for _, a := range g.accounts {
		share += a.share
		lent += a.lent()
	}
	return share, lent
}
