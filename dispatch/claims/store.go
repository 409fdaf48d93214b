package claims

import "time"

// shardCount splits the records so that a handover walks them in pages.
const shardCount = 256

// generationsPerHorizon is how many generations cover one horizon. A record
// is dropped with its generation, up to one generation late.
const generationsPerHorizon = 4

// record is a kept claim in its compact form.
type record struct {
	token       uint64
	fingerprint uint64
	claimedMS   int64
	holder      int32
}

// generation holds the claims granted in one span of time.
type generation struct {
	start   time.Time
	holders []Member
	byKey   [shardCount]map[Key]record
	count   int
}

// store keeps claims for at least the horizon, in bounded memory.
type store struct {
	span    time.Duration
	horizon time.Duration
	max     int
	count   int
	// generations is ordered from the newest to the oldest.
	generations []*generation
}

func newStore(horizon time.Duration, max int) *store {
	return &store{span: horizon / generationsPerHorizon, horizon: horizon, max: max}
}

// expire drops every generation whose youngest possible record is older than
// the horizon.
func (s *store) expire(now time.Time) {
	for len(s.generations) > 0 {
		last := len(s.generations) - 1
		oldest := s.generations[last]
		if now.Sub(oldest.start) < s.span+s.horizon {
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

// put adds a claim. It reports false when the store is full.
func (s *store) put(now time.Time, e Entry) bool {
	if s.count >= s.max {
		return false
	}
	g := s.current(now)
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

// current returns the generation that takes new claims.
func (s *store) current(now time.Time) *generation {
	if len(s.generations) > 0 && now.Sub(s.generations[0].start) < s.span {
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

// shard calls visit for every claim of one shard, in no particular order.
func (s *store) shard(n int, visit func(Entry)) {
	for _, g := range s.generations {
		for key, r := range g.byKey[n] {
			visit(g.entry(key, r))
		}
	}
}
