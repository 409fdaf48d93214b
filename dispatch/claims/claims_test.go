package claims

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig(self Member) TableConfig {
	return TableConfig{Self: self, Zone: "a", Horizon: 10 * time.Minute, Skew: 100 * time.Millisecond, Fence: 3 * time.Second, MaxEntries: 1000}
}

func node(name string) Member { return Member{Node: name, Incarnation: 1} }

// soleTable returns a table that is complete from the beginning.
func soleTable() *Table {
	t := NewTable(testConfig(node("n1")))
	t.SetZones(start, []string{"a"})
	t.SetMembership(start, Membership{Epoch: 1, Members: []Member{node("n1")}}, true)
	return t
}

func claimOf(id string, at time.Time, token uint64) Claim {
	c := Claim{Key: KeyOf("team", id), Fingerprint: 1, Holder: node("d"), Token: token, Epoch: 1}
	if !at.IsZero() {
		c.IssuedMS = at.UnixMilli()
	}
	return c
}

func TestVerdicts(t *testing.T) {
	minute := start.Add(time.Minute)
	tests := []struct {
		name  string
		now   time.Time
		claim func(c *Claim)
		want  Verdict
	}{
		{"the same claim again", minute, func(*Claim) {}, Granted},
		{"a second copy", minute, func(c *Claim) { c.Token = 2 }, Duplicate},
		{"other work", minute, func(c *Claim) { c.Token = 2; c.Fingerprint = 2 }, Mismatch},
		{"another id", minute, func(c *Claim) { c.Key = KeyOf("team", "y") }, Granted},
		{"the same id of another team", minute, func(c *Claim) { c.Key = KeyOf("other", "x"); c.Token = 2 }, Granted},
		{"issued before the horizon", start.Add(time.Hour), func(c *Claim) { c.Token = 2 }, Expired},
		{"issued in the future", start, func(c *Claim) { c.Key = KeyOf("team", "y"); c.IssuedMS += 2000 }, FromFuture},
		{"the home's epoch is old", minute, func(c *Claim) { c.Key = KeyOf("team", "y"); c.Epoch = 2 }, Fenced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := soleTable()
			c := claimOf("x", start, 1)
			require.Equal(t, Granted, table.Claim(start, c).Verdict)
			tt.claim(&c)
			require.Equal(t, tt.want, table.Claim(tt.now, c).Verdict)
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	table := soleTable()
	for i := range 1000 {
		require.Equal(t, Granted, table.Claim(start, claimOf(fmt.Sprint(i), start, 1)).Verdict)
	}
	require.Equal(t, Full, table.Claim(start, claimOf("more", start, 1)).Verdict)
	require.True(t, table.Release(Release{Key: KeyOf("team", "7"), Holder: node("d"), Token: 1}))
	require.False(t, table.Release(Release{Key: KeyOf("team", "8"), Holder: node("d"), Token: 2}), "another claim's release")
	require.Equal(t, Granted, table.Claim(start, claimOf("more", start, 1)).Verdict)
	later := start.Add(20 * time.Minute)
	table.Tick(later)
	require.Zero(t, table.Len())
}

func TestBook(t *testing.T) {
	b := NewBook(BookConfig{MaxWorks: 3, MaxAnswerBytes: 10, Keep: time.Minute})
	key := KeyOf("team", "x")
	began, token := b.Begin(start, key, 1)
	require.Equal(t, BeginStarted, began)
	began, again := b.Begin(start, key, 1)
	require.Equal(t, BeginDuplicate, began)
	require.Equal(t, token, again)
	began, _ = b.Begin(start, key, 2)
	require.Equal(t, BeginMismatch, began)
	require.NoError(t, b.MarkSent(key, token))
	require.ErrorIs(t, b.MarkSent(key, token), ErrSecondRun)
	require.False(t, b.Drop(start, key, token), "sent work is not dropped as not run")
	b.End(start, key, token, &Answer{Status: 200, Body: []byte("12345678")})
	look, ok := b.Look(key, token)
	require.True(t, ok)
	require.Equal(t, Answered, look.State)

	second := KeyOf("team", "y")
	_, token2 := b.Begin(start, second, 1)
	require.True(t, b.Drop(start, second, token2))
	look, _ = b.Look(second, token2)
	require.Equal(t, NotRun, look.State)
	began, token3 := b.Begin(start, second, 1)
	require.Equal(t, BeginStarted, began, "a dropped id is free")
	require.NoError(t, b.MarkSent(second, token3))
	b.End(start, second, token3, &Answer{Body: []byte("12345678")})
	require.LessOrEqual(t, b.AnswerBytes(), 10)
	b.Tick(start.Add(time.Minute))
	require.Zero(t, b.Len())
	require.Zero(t, b.AnswerBytes())
}

// zoneModel is a zone of entry nodes whose tables exchange messages over a
// network that is cut at random, with a log that some nodes cannot read.
type zoneModel struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	epoch   Membership
	tables  map[Member]*Table
	alive   map[Member]bool
	logCut  map[Member]bool
	linkCut map[[2]Member]bool
	runs    map[Key]int
	granted int
	refused map[Verdict]int
}

func newZoneModel(t *testing.T, seed int64) *zoneModel {
	z := &zoneModel{
		t: t, rng: rand.New(rand.NewSource(seed)), now: start,
		tables: map[Member]*Table{}, alive: map[Member]bool{}, logCut: map[Member]bool{},
		linkCut: map[[2]Member]bool{}, runs: map[Key]int{}, refused: map[Verdict]int{},
	}
	z.epoch = Membership{Epoch: 1, Members: []Member{node("n1"), node("n2"), node("n3")}}
	for _, m := range z.epoch.Members {
		z.boot(m)
	}
	return z
}

func (z *zoneModel) boot(m Member) {
	table := NewTable(testConfig(m))
	table.SetZones(z.now, []string{"a"})
	z.tables[m] = table
	z.alive[m] = true
}

func (z *zoneModel) linked(a, b Member) bool {
	return z.alive[a] && z.alive[b] && !z.linkCut[[2]Member{a, b}] && !z.linkCut[[2]Member{b, a}]
}

// members returns all booted nodes in a fixed order.
func (z *zoneModel) members() []Member {
	var list []Member
	for inc := uint64(1); inc < 100; inc++ {
		for _, name := range []string{"n1", "n2", "n3"} {
			m := Member{Node: name, Incarnation: inc}
			if z.alive[m] {
				list = append(list, m)
			}
		}
	}
	return list
}

// sync lets a node read the log and talk to its peers, where it can.
func (z *zoneModel) sync(m Member) {
	table := z.tables[m]
	if !z.logCut[m] {
		table.SetMembership(z.now, z.epoch, z.epoch.Epoch == 1)
		table.TailRead(z.now)
	}
	for _, other := range z.members() {
		if other == m || !z.linked(m, other) {
			continue
		}
		table.Heard(other, z.now, z.tables[other].Epoch())
	}
	table.Tick(z.now)
	for _, from := range table.Awaiting() {
		if z.linked(m, from) {
			z.handover(m, from)
		}
	}
}

func (z *zoneModel) handover(to, from Member) {
	request := HandoverRequest{From: to, To: from, Epoch: z.tables[to].Epoch()}
	for {
		reply := z.tables[from].Handover(z.now, request)
		z.tables[to].TakeHandover(z.now, from, reply)
		if reply.Next == 0 {
			return
		}
		request.Page = reply.Next
	}
}

// replace kills one node, boots a new run of it and appends the next epoch.
// The last member that is left is replaced only together with its death.
func (z *zoneModel) replace() {
	old := z.epoch.Members[z.rng.Intn(len(z.epoch.Members))]
	if z.rng.Intn(2) == 0 {
		z.alive[old] = false
	} else {
		z.isolate(old)
	}
	fresh := Member{Node: old.Node, Incarnation: old.Incarnation + 1}
	var members []Member
	for _, m := range z.epoch.Members {
		if m != old {
			members = append(members, m)
		}
	}
	z.epoch = Membership{Epoch: z.epoch.Epoch + 1, Members: append(members, fresh)}
	z.boot(fresh)
}

// isolate cuts a node that still runs from the log and some or all peers.
func (z *zoneModel) isolate(m Member) {
	z.logCut[m] = true
	all := z.rng.Intn(2) == 0
	for _, other := range z.members() {
		if all || z.rng.Intn(2) == 0 {
			z.linkCut[[2]Member{m, other}] = true
		}
	}
}

// claim sends one copy of an id to whichever node some node takes for its
// home.
func (z *zoneModel) claim(id int, issued time.Time, token uint64) {
	all := z.members()
	c := claimOf(fmt.Sprint(id), issued, token)
	asked := z.tables[all[z.rng.Intn(len(all))]]
	home, ok := HomeMember(c.Key, asked.now.Members)
	if !ok || !z.alive[home] {
		return
	}
	c.Epoch = asked.Epoch()
	reply := z.tables[home].Claim(z.now, c)
	if reply.Verdict != Granted {
		z.refused[reply.Verdict]++
		return
	}
	z.granted++
	z.runs[c.Key]++
	require.Equal(z.t, 1, z.runs[c.Key], "id %d granted twice", id)
	second, ok := CopyMember(c.Key, z.tables[home].now.Members)
	if ok && z.linked(home, second) {
		z.tables[second].Copy(z.now, Entry{Key: c.Key, Fingerprint: 1, Holder: c.Holder, Token: token, ClaimedMS: z.now.UnixMilli()})
	}
}

// TestNeverGrantedTwice replaces nodes, cuts links and the log, and sends
// every id several times: no id is ever granted twice.
func TestNeverGrantedTwice(t *testing.T) {
	granted := 0
	for seed := range int64(30) {
		z := newZoneModel(t, seed)
		issued := map[int]time.Time{}
		for step := range 800 {
			z.now = z.now.Add(time.Duration(z.rng.Intn(200)) * time.Millisecond)
			z.fault()
			for _, m := range z.members() {
				if z.rng.Intn(2) == 0 {
					z.sync(m)
				}
			}
			newest := step / 4
			for try := range 4 {
				id := max(0, newest-z.rng.Intn(12))
				if z.rng.Intn(4) == 0 {
					id = z.rng.Intn(newest + 1)
				}
				if _, ok := issued[id]; !ok {
					issued[id] = z.now
				}
				z.claim(id, issued[id], uint64(4*step+try+1))
			}
		}
		granted += z.granted
	}
	require.Greater(t, granted, 30*100, "the model grants too little to show anything")
}

func (z *zoneModel) fault() {
	all := z.members()
	a, b := all[z.rng.Intn(len(all))], all[z.rng.Intn(len(all))]
	switch z.rng.Intn(60) {
	case 0:
		z.replace()
	case 1:
		z.logCut[a] = !z.logCut[a]
	case 2, 3:
		z.linkCut[[2]Member{a, b}] = !z.linkCut[[2]Member{a, b}]
	case 4:
		clear(z.linkCut)
		clear(z.logCut)
	}
}

// TestHandoverKeepsIDs checks that a new home knows the claims of the former
// one, and that lost records make their ids expire and only theirs.
func TestHandoverKeepsIDs(t *testing.T) {
	for _, died := range []bool{false, true} {
		z := newZoneModel(t, 1)
		for _, m := range z.epoch.Members {
			z.sync(m)
		}
		for id := range 200 {
			z.claim(id, z.now, uint64(id+1))
		}
		require.Equal(t, 200, z.granted)
		z.now = z.now.Add(time.Second)
		old := node("n3")
		z.alive[old] = !died
		z.epoch = Membership{Epoch: 2, Members: []Member{node("n1"), node("n2")}}
		for range 8 {
			z.now = z.now.Add(time.Second)
			for _, m := range z.members() {
				z.sync(m)
			}
		}
		z.alive[old] = false
		z.refused = map[Verdict]int{}
		for id := range 200 {
			z.claim(id, start, uint64(1000+id))
		}
		require.Equal(t, 200, z.refused[Duplicate], "copies cover what the dead home granted")
		z.refused = map[Verdict]int{}
		for id := 200; id < 400; id++ {
			z.claim(id, start, uint64(1000+id))
		}
		if died {
			require.NotZero(t, z.refused[Expired])
			require.Greater(t, z.granted, 200, "ids of surviving homes stay claimable")
			continue
		}
		require.Equal(t, 400, z.granted, "nothing is lost in a handover")
	}
}

// TestTakeoverWaits checks the two waits of a takeover: for the fence time of
// a removed home that may still grant, and for the present members, however
// long they take to learn the epoch.
func TestTakeoverWaits(t *testing.T) {
	z := newZoneModel(t, 1)
	for _, m := range z.epoch.Members {
		z.sync(m)
	}
	old := node("n3")
	at := func(d time.Duration) time.Time { return start.Add(d) }
	claimAt := func(m Member, id string, now, issued time.Time) Verdict {
		c := claimOf(id, issued, uint64(now.UnixNano()))
		c.Epoch = z.tables[m].Epoch()
		return z.tables[m].Claim(now, c).Verdict
	}
	z.logCut[old] = true
	for _, m := range z.epoch.Members {
		z.linkCut[[2]Member{old, m}] = true
	}
	former := z.epoch.Members
	z.epoch = Membership{Epoch: 2, Members: []Member{node("n1"), node("n2")}}
	home := node("n1")
	ids := idsThatMove(3, old, former, home, z.epoch.Members)
	id := ids[0]

	z.now = at(time.Second)
	z.logCut[node("n2")] = true
	z.linkCut[[2]Member{node("n1"), node("n2")}] = true
	z.sync(node("n1"))
	z.now = at(time.Minute)
	z.sync(node("n1"))
	require.Equal(t, HandingOver, claimAt(node("n1"), ids[1], z.now, z.now), "n2 may still grant under the former epoch")

	clear(z.linkCut)
	z.linkCut[[2]Member{old, node("n1")}] = true
	z.linkCut[[2]Member{old, node("n2")}] = true
	z.logCut[node("n2")] = false
	z.tables[old].TailRead(z.now)
	for range 3 {
		z.sync(node("n1"))
		z.sync(node("n2"))
	}
	issued := z.now.Add(2 * time.Second)
	require.Equal(t, HandingOver, claimAt(home, id, issued, issued))
	require.Equal(t, Granted, claimAt(old, id, issued, issued), "the former home grants within its fence time")
	z.now = z.now.Add(4 * time.Second)
	z.sync(node("n1"))
	z.sync(node("n2"))
	require.Equal(t, Fenced, claimAt(old, ids[1], z.now, z.now))
	require.Equal(t, Expired, claimAt(home, id, z.now, issued))
	fresh := z.now.Add(time.Second)
	require.Equal(t, Granted, claimAt(home, ids[2], fresh, fresh))
}

// TestHandoverNamesTheRun checks that a later run of a node doesn't pass for
// the former one, whose records are lost.
func TestHandoverNamesTheRun(t *testing.T) {
	table := soleTable()
	former := Member{Node: "n1", Incarnation: 0}
	require.True(t, table.Handover(start, HandoverRequest{To: node("n1"), Epoch: 1}).Ready)
	require.False(t, table.Handover(start, HandoverRequest{To: former, Epoch: 1}).Ready)
}

// idsThatMove returns n ids whose home changes from one member to another.
func idsThatMove(n int, from Member, former []Member, to Member, members []Member) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		id := fmt.Sprint("id-", i)
		before, _ := HomeMember(KeyOf("team", id), former)
		after, _ := HomeMember(KeyOf("team", id), members)
		if before == from && after == to {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestZoneChange checks that ids which come from another zone are granted
// only when they were issued after every node knows the change.
func TestZoneChange(t *testing.T) {
	zones := []string{"a", "b"}
	idOf := func(zone string, after int) string {
		for i := after; ; i++ {
			if id := fmt.Sprint(i); HomeZone(KeyOf("team", id), zones) == zone {
				return id
			}
		}
	}
	tests := []struct {
		name   string
		id     string
		issued time.Duration
		now    time.Duration
		want   Verdict
	}{
		{"an id of this zone", idOf("a", 0), time.Second, time.Second, Granted},
		{"an id of the former zone", idOf("b", 0), time.Second, time.Second, Expired},
		{"sent again later", idOf("b", 0), time.Second, time.Minute, Expired},
		{"issued after the change is in force", idOf("b", 0), 31 * time.Second, 31 * time.Second, Granted},
		{"without issue time", idOf("b", 0), 0, time.Minute, Expired},
		{"without issue time, after the horizon", idOf("b", 0), 0, 11 * time.Minute, Granted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(testConfig(node("n1")))
			table.SetZones(start, zones)
			table.SetMembership(start, Membership{Epoch: 1, Members: []Member{node("n1")}}, true)
			require.Equal(t, NotHome, table.Claim(start, claimOf(idOf("b", 0), start, 9)).Verdict)
			table.SetZones(start, []string{"a"})
			c := claimOf(tt.id, time.Time{}, 1)
			if tt.issued > 0 {
				c.IssuedMS = start.Add(tt.issued).UnixMilli()
			}
			require.Equal(t, tt.want, table.Claim(start.Add(tt.now), c).Verdict)
		})
	}
}

// TestLossesAreBounded checks that old losses are merged, never forgotten.
func TestLossesAreBounded(t *testing.T) {
	table := soleTable()
	for i := range 20 {
		former := Membership{Epoch: uint64(i + 1), Members: []Member{node("n2")}}
		table.addLoss(Loss{Former: former, Removed: former.Members, AtMS: start.Add(time.Duration(i) * time.Minute).UnixMilli()})
	}
	require.Len(t, table.losses, maxLosses)
	require.Equal(t, start.Add(11*time.Minute).UnixMilli(), table.since.UnixMilli())
	now := start.Add(19 * time.Minute)
	require.Equal(t, Expired, table.Claim(now, claimOf("x", now, 1)).Verdict)
	later := now.Add(time.Minute)
	require.Equal(t, Granted, table.Claim(later, claimOf("x", later, 1)).Verdict)
}
