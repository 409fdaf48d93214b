package claims

import "time"

// shardCount is the number of shards of the records. A handover page consists
// of whole shards.
const shardCount = 256

// generationsPerHorizon is the number of generations that span one horizon. A
// record is dropped together with its generation, at most one generation span
// after its horizon.
const generationsPerHorizon = 4

// record is the compact form of an Entry. The holder is an index into the
// holders of the generation.
type record struct {
	token       uint64
	fingerprint uint64
	claimedMS   int64
	holder      int32
}

// generation holds the claims stored within one generation span.
type generation struct {
	start   time.Time
	holders []Member
	byKey   [shardCount]map[Key]record
	count   int
}

// store keeps up to max claims, each for at least the horizon.
type store struct {
	generationSpan time.Duration
	horizon        time.Duration
	max            int
	count          int
	// generations are ordered from newest to oldest.
	generations []*generation
}

func newStore(horizon time.Duration, max int) *store {
	return &store{generationSpan: horizon / generationsPerHorizon, horizon: horizon, max: max}
}

// expire drops every generation whose newest possible record is older than the
// horizon.
func (s *store) expire(now time.Time) {
	for len(s.generations) > 0 {
		last := len(s.generations) - 1
		oldest := s.generations[last]
		if now.Sub(oldest.start) < s.generationSpan+s.horizon {
			return
		}
		s.count -= oldest.count
		s.generations[last] = nil
		s.generations = s.generations[:last]
	}
}

func (s *store) get(key Key) (Entry, bool) {
	shard := key[0]
	for _, g := range s.generations {
		r, ok := g.byKey[shard][key]
		if !ok {
			continue
		}
		return g.entry(key, r), true
	}
	return Entry{}, false
}

func (g *generation) entry(key Key, r record) Entry {
	return Entry{
		Key:         key,
		Fingerprint: r.fingerprint,
		Holder:      g.holders[r.holder],
		Token:       r.token,
		ClaimedMS:   r.claimedMS,
	}
}

// put adds a claim. It reports whether the store had room for it.
func (s *store) put(now time.Time, e Entry) bool {
	if s.count >= s.max {
		return false
	}
	g := s.currentGeneration(now)
	shard := e.Key[0]
	if g.byKey[shard] == nil {
		g.byKey[shard] = make(map[Key]record)
	}
	g.byKey[shard][e.Key] = record{
		token:       e.Token,
		fingerprint: e.Fingerprint,
		claimedMS:   e.ClaimedMS,
		holder:      g.holderIndex(e.Holder),
	}
	g.count++
	s.count++
	return true
}

// currentGeneration returns the generation that new claims are added to.
func (s *store) currentGeneration(now time.Time) *generation {
	if len(s.generations) > 0 && now.Sub(s.generations[0].start) < s.generationSpan {
		return s.generations[0]
	}
	g := &generation{start: now}
	s.generations = append([]*generation{g}, s.generations...)
	return g
}

func (g *generation) holderIndex(m Member) int32 {
	for i := len(g.holders) - 1; i >= 0; i-- {
		if g.holders[i] == m {
			return int32(i)
		}
	}
	g.holders = append(g.holders, m)
	return int32(len(g.holders) - 1)
}

func (s *store) remove(key Key) {
	shard := key[0]
	for _, g := range s.generations {
		if _, ok := g.byKey[shard][key]; !ok {
			continue
		}
		delete(g.byKey[shard], key)
		g.count--
		s.count--
	}
}

// forEachInShard calls visit for every claim in one shard, in no particular
// order.
func (s *store) forEachInShard(n int, visit func(Entry)) {
	for _, g := range s.generations {
		for key, r := range g.byKey[n] {
			visit(g.entry(key, r))
		}
	}
}
