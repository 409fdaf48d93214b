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

// relayedImmediate is the value of HeaderRelayed when the request may run
// only if it can start without waiting.
const relayedImmediate = "spare"

// ReasonBusy means that a relayed request could not start immediately.
const ReasonBusy Reason = "busy"

// The limits on the summaries of free slots that zones send each other.
const (
	// freeSlotsInterval is the minimum time between two summaries.
	freeSlotsInterval = 2 * time.Second
	// freeSlotsFullInterval is how often a complete summary is sent.
	freeSlotsFullInterval = 30 * time.Second
	// freeSlotsTTL is how long a summary stays valid.
	freeSlotsTTL = 2 * freeSlotsFullInterval
	// freeSlotsMaxPools is the maximum number of pools in one summary.
	freeSlotsMaxPools = 64
)

// freeSlotsMessage informs entry nodes of other zones which pools have free
// slots.
type freeSlotsMessage struct {
	Pools []poolFreeSlots `cbor:"1,keyasint"`
}

// poolFreeSlots is the number of free slots that a node has in a pool,
// rounded down to a power of two.
type poolFreeSlots struct {
	Pool string `cbor:"1,keyasint"`
	Free int    `cbor:"2,keyasint"`
}

// nodePool identifies a pool on an entry node.
type nodePool struct{ node, pool string }

// remoteSlots holds the free slots that entry nodes of other zones have
// announced, and those that this node announced last. It holds at most
// freeSlotsMaxPools pools for each member of the view.
type remoteSlots struct {
	lock       sync.Mutex
	free       map[nodePool]int
	receivedAt map[string]time.Time
	sent       map[string]int
	sentAt     time.Time
	fullSentAt time.Time
}

func (sp *remoteSlots) init() {
	sp.free = make(map[nodePool]int)
	sp.receivedAt = make(map[string]time.Time)
	sp.sent = make(map[string]int)
}

// handleFreeSlots stores a summary if its sender is an entry node in the view.
func (s *Server) handleFreeSlots(from string, m freeSlotsMessage) empty {
	rt := s.refresh()
	if rt == nil || !rt.hasMember(from) || len(m.Pools) > freeSlotsMaxPools {
		return empty{}
	}
	s.remoteSlots.lock.Lock()
	defer s.remoteSlots.lock.Unlock()
	s.remoteSlots.receivedAt[from] = s.cfg.Clock()
	for _, p := range m.Pools {
		if _, ok := rt.view.Pools[p.Pool]; ok {
			s.remoteSlots.free[nodePool{from, p.Pool}] = p.Free
		}
	}
	return empty{}
}

// hasMember reports whether a node is a member of any zone.
func (rt *routes) hasMember(node string) bool {
	for _, members := range rt.members {
		if slices.ContainsFunc(members, func(m claims.Member) bool { return m.Node == node }) {
			return true
		}
	}
	return false
}

// prune removes the nodes and pools that are not in the view.
func (sp *remoteSlots) prune(rt *routes) {
	sp.lock.Lock()
	defer sp.lock.Unlock()
	for key := range sp.free {
		if _, ok := rt.view.Pools[key.pool]; !ok || !rt.hasMember(key.node) {
			delete(sp.free, key)
		}
	}
	for node := range sp.receivedAt {
		if !rt.hasMember(node) {
			delete(sp.receivedAt, node)
		}
	}
}

// takeRemoteSlot returns the entry node of another zone in the region that
// has the most free slots of a pool, and takes one of them.
func (s *Server) takeRemoteSlot(r *request) (structs.EntryMember, bool) {
	if r.relayed {
		return structs.EntryMember{}, false
	}
	rt := s.routes.Load()
	now := s.cfg.Clock()
	s.remoteSlots.lock.Lock()
	defer s.remoteSlots.lock.Unlock()
	var best structs.EntryMember
	most := 0
	for _, zone := range rt.zones {
		if zone == s.cfg.Zone || s.regionDistance(rt, zone) > 0 {
			continue
		}
		for _, m := range rt.view.EntryEpochs[zone].Members {
			free := s.remoteSlots.free[nodePool{m.Node, r.Pool}]
			if free > most && now.Sub(s.remoteSlots.receivedAt[m.Node]) < freeSlotsTTL {
				best, most = m, free
			}
		}
	}
	if most == 0 {
		return best, false
	}
	s.remoteSlots.free[nodePool{best.Node, r.Pool}]--
	return best, true
}

func (s *Server) clearRemoteSlots(node, pool string) {
	s.remoteSlots.lock.Lock()
	defer s.remoteSlots.lock.Unlock()
	s.remoteSlots.free[nodePool{node, pool}] = 0
}

// sendImmediate relays a request that would have to wait here to an entry
// node that announced a free slot.
func (s *Server) sendImmediate(runCtx context.Context, r *request, peer structs.EntryMember) exchange {
	s.counts.relayed.Add(1)
	x := s.exchange(runCtx, r, target{peer: peer.Node, address: peer.PeerAddress, immediate: true})
	if x.kind == exchangeNotRun {
		s.clearRemoteSlots(peer.Node, r.Pool)
	}
	return x
}

func busyResult() result {
	return notRunResult(http.StatusServiceUnavailable, ReasonBusy, "no slot is free at once in this zone")
}

// sendFreeSlots sends the entry nodes of the region's other zones the number
// of free slots of each pool whose rounded number has changed.
func (s *Server) sendFreeSlots(now time.Time, rt *routes) {
	s.remoteSlots.lock.Lock()
	due := now.Sub(s.remoteSlots.sentAt) >= freeSlotsInterval
	s.remoteSlots.lock.Unlock()
	if !due {
		return
	}
	changed := s.changedFreeSlots(now)
	if len(changed) == 0 {
		return
	}
	for _, zone := range rt.zones {
		if zone == s.cfg.Zone || s.regionDistance(rt, zone) > 0 {
			continue
		}
		for _, m := range rt.members[zone] {
			s.cast(m.Node, methodFreeSlots, freeSlotsMessage{Pools: changed})
		}
	}
}

func (s *Server) changedFreeSlots(now time.Time) []poolFreeSlots {
	current := s.localFreeSlots()
	s.remoteSlots.lock.Lock()
	defer s.remoteSlots.lock.Unlock()
	s.remoteSlots.sentAt = now
	full := now.Sub(s.remoteSlots.fullSentAt) >= freeSlotsFullInterval
	if full {
		s.remoteSlots.fullSentAt = now
		clear(s.remoteSlots.sent)
	}
	return s.remoteSlots.takeChanged(current)
}

// takeChanged returns the pools whose number differs from the one sent last, as
// many as one summary holds, and records them as sent. The others follow in the
// next summary.
func (sp *remoteSlots) takeChanged(current []poolFreeSlots) []poolFreeSlots {
	var changed []poolFreeSlots
	for _, p := range current {
		if last, ok := sp.sent[p.Pool]; ok && last == p.Free {
			continue
		}
		if len(changed) == freeSlotsMaxPools {
			break
		}
		sp.sent[p.Pool] = p.Free
		changed = append(changed, p)
	}
	return changed
}

func (s *Server) localFreeSlots() []poolFreeSlots {
	var list []poolFreeSlots
	s.forEachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		st := p.sched.Stats()
		free := st.FreeSlots
		if st.QueuedUrgent+st.QueuedShort+st.QueuedLong > 0 {
			free = 0
		}
		list = append(list, poolFreeSlots{Pool: p.name, Free: floorPowerOfTwo(free)})
	})
	return list
}

// floorPowerOfTwo rounds down to a power of two. It returns zero for zero or
// a negative number.
func floorPowerOfTwo(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// isAssigned reports whether an assignment is ready.
func (wt *waiter) isAssigned() bool { return len(wt.assigned) > 0 }
