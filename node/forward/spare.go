package forward

import (
	"context"
	"math/bits"
	"net/http"
	"slices"
	"sync"
	"time"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/fleet/structs"
)

// relayedSpare is the value of HeaderRelayed when the work is to run only if
// it can start at once.
const relayedSpare = "spare"

// ReasonBusy ends a relay that could not start at once.
const ReasonBusy Reason = "busy"

// The bounds of the summaries that zones send each other.
const (
	// spareInterval is the least time between two summaries.
	spareInterval = 2 * time.Second
	// spareRepeat is how often a summary is sent whole.
	spareRepeat = 30 * time.Second
	// spareStale is how long a summary counts.
	spareStale = 2 * spareRepeat
	// spareMaxPools bounds the pools of one summary.
	spareMaxPools = 64
)

// spareMessage tells entry nodes of other zones which pools have free slots.
type spareMessage struct {
	Pools []poolSpare `cbor:"1,keyasint"`
}

// poolSpare is the number of free slots that a node has in a pool, rounded
// down to a power of two.
type poolSpare struct {
	Pool string `cbor:"1,keyasint"`
	Free int    `cbor:"2,keyasint"`
}

// spareKey names a pool on an entry node.
type spareKey struct{ node, pool string }

// spareSlots is what this node knows of free slots elsewhere. It holds at
// most spareMaxPools pools for each member of the view.
type spareSlots struct {
	lock   sync.Mutex
	free   map[spareKey]int
	at     map[string]time.Time
	sent   map[string]int
	sentAt time.Time
	fullAt time.Time
}

func (sp *spareSlots) init() {
	sp.free = make(map[spareKey]int)
	sp.at = make(map[string]time.Time)
	sp.sent = make(map[string]int)
}

// onSpare takes a summary of a node that the view knows.
func (s *Server) onSpare(from string, m spareMessage) empty {
	rt := s.refresh()
	if rt == nil || !rt.knows(from) || len(m.Pools) > spareMaxPools {
		return empty{}
	}
	s.spare.lock.Lock()
	defer s.spare.lock.Unlock()
	s.spare.at[from] = s.cfg.Clock()
	for _, p := range m.Pools {
		if _, ok := rt.view.Pools[p.Pool]; ok {
			s.spare.free[spareKey{from, p.Pool}] = p.Free
		}
	}
	return empty{}
}

// knows says whether a node is a member of some zone.
func (rt *routes) knows(node string) bool {
	for _, members := range rt.members {
		if slices.ContainsFunc(members, func(m claims.Member) bool { return m.Node == node }) {
			return true
		}
	}
	return false
}

// forget drops what is known of nodes and pools that the view lacks.
func (sp *spareSlots) forget(rt *routes) {
	sp.lock.Lock()
	defer sp.lock.Unlock()
	for key := range sp.free {
		if _, ok := rt.view.Pools[key.pool]; !ok || !rt.knows(key.node) {
			delete(sp.free, key)
		}
	}
	for node := range sp.at {
		if !rt.knows(node) {
			delete(sp.at, node)
		}
	}
}

// takeSpare returns the node of another zone that has the most free slots of
// a pool, and counts one of them off.
func (s *Server) takeSpare(r *request) (structs.EntryMember, bool) {
	if r.relayed {
		return structs.EntryMember{}, false
	}
	rt := s.routes.Load()
	now := s.cfg.Clock()
	s.spare.lock.Lock()
	defer s.spare.lock.Unlock()
	var best structs.EntryMember
	most := 0
	for _, zone := range rt.zones {
		if zone == s.cfg.Zone || s.distance(rt, zone) > 0 {
			continue
		}
		for _, m := range rt.view.Entry[zone].Members {
			free := s.spare.free[spareKey{m.Node, r.Pool}]
			if free > most && now.Sub(s.spare.at[m.Node]) < spareStale {
				best, most = m, free
			}
		}
	}
	if most == 0 {
		return best, false
	}
	s.spare.free[spareKey{best.Node, r.Pool}]--
	return best, true
}

func (s *Server) noSpare(node, pool string) {
	s.spare.lock.Lock()
	defer s.spare.lock.Unlock()
	s.spare.free[spareKey{node, pool}] = 0
}

// sendSpare sends a request that would have to wait here to a node that has
// told of a free slot.
func (s *Server) sendSpare(run context.Context, r *request, peer structs.EntryMember) exchange {
	s.counts.relayed.Add(1)
	x := s.exchange(run, r, target{peer: peer.Node, address: peer.PeerAddress, spare: true})
	if x.kind == exchangeNotRun {
		s.noSpare(peer.Node, r.Pool)
	}
	return x
}

func busy() ending {
	return notRun(http.StatusServiceUnavailable, ReasonBusy, "no slot is free at once in this zone")
}

// tellSpare tells other zones of the region which pools have free slots, when
// that has changed by a power of two.
func (s *Server) tellSpare(now time.Time, rt *routes) {
	s.spare.lock.Lock()
	due := now.Sub(s.spare.sentAt) >= spareInterval
	s.spare.lock.Unlock()
	if !due {
		return
	}
	changed := s.spareChanges(now)
	if len(changed) == 0 {
		return
	}
	for _, zone := range rt.zones {
		if zone == s.cfg.Zone || s.distance(rt, zone) > 0 {
			continue
		}
		for _, m := range rt.members[zone] {
			s.cast(m.Node, methodSpare, spareMessage{Pools: changed})
		}
	}
}

func (s *Server) spareChanges(now time.Time) []poolSpare {
	present := s.presentSpare()
	s.spare.lock.Lock()
	defer s.spare.lock.Unlock()
	s.spare.sentAt = now
	full := now.Sub(s.spare.fullAt) >= spareRepeat
	if full {
		s.spare.fullAt = now
		clear(s.spare.sent)
	}
	var changed []poolSpare
	for _, p := range present {
		if last, ok := s.spare.sent[p.Pool]; ok && last == p.Free {
			continue
		}
		s.spare.sent[p.Pool] = p.Free
		changed = append(changed, p)
	}
	return changed[:min(len(changed), spareMaxPools)]
}

func (s *Server) presentSpare() []poolSpare {
	var list []poolSpare
	s.eachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		st := p.sched.Stats()
		free := st.FreeSlots
		if st.QueuedUrgent+st.QueuedShort+st.QueuedLong > 0 {
			free = 0
		}
		list = append(list, poolSpare{Pool: p.name, Free: powerBelow(free)})
	})
	return list
}

// powerBelow rounds down to a power of two; zero stays zero.
func powerBelow(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// startsAtOnce says whether a place has its worker already.
func (pl *place) startsAtOnce() bool { return len(pl.next) > 0 }
