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
	return TableConfig{Self: self, Zone: "a", Horizon: 10 * time.Minute, MaxClockSkew: 100 * time.Millisecond, Fence: 3 * time.Second, MaxEntries: 1000}
}

func node(name string) Member { return Member{Node: name, Incarnation: 1} }

// newSingleMemberTable returns the table of the only member of a zone, whose
// records are complete from the start.
func newSingleMemberTable() *Table {
	t := NewTable(testConfig(node("n1")))
	t.SetZones(start, []string{"a"})
	t.SetMembership(start, Membership{Epoch: 1, Members: []Member{node("n1")}}, true)
	return t
}

func newClaim(id string, at time.Time, token uint64) Claim {
	c := Claim{Key: NewKey("team", id), Fingerprint: 1, Holder: node("d"), Token: token, Epoch: 1}
	if !at.IsZero() {
		c.IssuedMS = at.UnixMilli()
	}
	return c
}

func TestClaimVerdicts(t *testing.T) {
	minute := start.Add(time.Minute)
	tests := []struct {
		name  string
		now   time.Time
		claim func(c *Claim)
		want  Verdict
	}{
		{"the same claim repeated", minute, func(*Claim) {}, Granted},
		{"a second copy of the request", minute, func(c *Claim) { c.Token = 2 }, Duplicate},
		{"a different request under the same id", minute, func(c *Claim) { c.Token = 2; c.Fingerprint = 2 }, Mismatch},
		{"another id", minute, func(c *Claim) { c.Key = NewKey("team", "y") }, Granted},
		{"the same id of another team", minute, func(c *Claim) { c.Key = NewKey("other", "x"); c.Token = 2 }, Granted},
		{"issued before the horizon", start.Add(time.Hour), func(c *Claim) { c.Token = 2 }, Expired},
		{"issued in the future", start, func(c *Claim) { c.Key = NewKey("team", "y"); c.IssuedMS += 2000 }, FromFuture},
		{"the claimant knows a newer epoch", minute, func(c *Claim) { c.Key = NewKey("team", "y"); c.Epoch = 2 }, Fenced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newSingleMemberTable()
			c := newClaim("x", start, 1)
			require.Equal(t, Granted, table.Claim(start, c).Verdict)
			tt.claim(&c)
			require.Equal(t, tt.want, table.Claim(tt.now, c).Verdict)
		})
	}
}

func TestTableRejectsClaimsAboveMaxEntries(t *testing.T) {
	table := newSingleMemberTable()
	for i := range 1000 {
		require.Equal(t, Granted, table.Claim(start, newClaim(fmt.Sprint(i), start, 1)).Verdict)
	}
	require.Equal(t, Full, table.Claim(start, newClaim("more", start, 1)).Verdict)
	require.True(t, table.Release(Release{Key: NewKey("team", "7"), Holder: node("d"), Token: 1}))
	require.False(t, table.Release(Release{Key: NewKey("team", "8"), Holder: node("d"), Token: 2}), "a release with the token of another claim must be ignored")
	require.Equal(t, Granted, table.Claim(start, newClaim("more", start, 1)).Verdict)
	later := start.Add(20 * time.Minute)
	table.Tick(later)
	require.Zero(t, table.Len())
}

func TestExecutionLifecycle(t *testing.T) {
	b := NewExecutionTracker(ExecutionTrackerConfig{MaxExecutions: 3, MaxAnswerBytes: 10, Retention: time.Minute})
	key := NewKey("team", "x")
	result, token := b.Begin(start, key, 1)
	require.Equal(t, BeginStarted, result)
	result, duplicateToken := b.Begin(start, key, 1)
	require.Equal(t, BeginDuplicate, result)
	require.Equal(t, token, duplicateToken)
	result, _ = b.Begin(start, key, 2)
	require.Equal(t, BeginMismatch, result)
	require.NoError(t, b.MarkSent(key, token))
	require.ErrorIs(t, b.MarkSent(key, token), ErrAlreadySent)
	require.False(t, b.EndNotRun(start, key, token), "a request that was sent must not end as not run")
	b.End(start, key, token, &Answer{Status: 200, Body: []byte("12345678")})
	status, ok := b.Lookup(key, token)
	require.True(t, ok)
	require.Equal(t, Answered, status.State)

	second := NewKey("team", "y")
	_, token2 := b.Begin(start, second, 1)
	require.True(t, b.EndNotRun(start, second, token2))
	status, _ = b.Lookup(second, token2)
	require.Equal(t, NotRun, status.State)
	result, newToken := b.Begin(start, second, 1)
	require.Equal(t, BeginStarted, result, "the id of a dropped execution must be usable again")
	require.NoError(t, b.MarkSent(second, newToken))
	b.End(start, second, newToken, &Answer{Body: []byte("12345678")})
	require.LessOrEqual(t, b.AnswerBytes(), 10)
	b.Expire(start.Add(time.Minute))
	require.Zero(t, b.Len())
	require.Zero(t, b.AnswerBytes())
}

// zoneModel simulates a zone of entry nodes whose tables exchange messages.
// Links between nodes fail at random, and some nodes cannot read the log.
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
		z.startNode(m)
	}
	return z
}

func (z *zoneModel) startNode(m Member) {
	table := NewTable(testConfig(m))
	table.SetZones(z.now, []string{"a"})
	z.tables[m] = table
	z.alive[m] = true
}

func (z *zoneModel) connected(a, b Member) bool {
	return z.alive[a] && z.alive[b] && !z.linkCut[[2]Member{a, b}] && !z.linkCut[[2]Member{b, a}]
}

// members returns all live nodes in a fixed order.
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

// syncNode lets a node read the log, check the epoch with its peers and fetch
// handovers, as far as the cut links permit.
func (z *zoneModel) syncNode(m Member) {
	table := z.tables[m]
	if !z.logCut[m] {
		table.SetMembership(z.now, z.epoch, z.epoch.Epoch == 1)
		table.RecordTailRead(z.now)
	}
	for _, other := range z.members() {
		if other == m || !z.connected(m, other) {
			continue
		}
		table.RecordEpochCheck(other, z.now, z.tables[other].Epoch())
	}
	table.Tick(z.now)
	for _, from := range table.PendingHandovers() {
		if z.connected(m, from) {
			z.handover(m, from)
		}
	}
}

func (z *zoneModel) handover(to, from Member) {
	request := HandoverRequest{From: to, To: from, Epoch: z.tables[to].Epoch()}
	for {
		reply := z.tables[from].Handover(z.now, request)
		z.tables[to].ApplyHandover(z.now, from, reply)
		if reply.Next == 0 {
			return
		}
		request.Page = reply.Next
	}
}

// replaceMember stops or isolates one member, starts a new incarnation of it
// and appends the next epoch.
func (z *zoneModel) replaceMember() {
	replaced := z.epoch.Members[z.rng.Intn(len(z.epoch.Members))]
	if z.rng.Intn(2) == 0 {
		z.alive[replaced] = false
	} else {
		z.isolate(replaced)
	}
	replacement := Member{Node: replaced.Node, Incarnation: replaced.Incarnation + 1}
	var members []Member
	for _, m := range z.epoch.Members {
		if m != replaced {
			members = append(members, m)
		}
	}
	z.epoch = Membership{Epoch: z.epoch.Epoch + 1, Members: append(members, replacement)}
	z.startNode(replacement)
}

// isolate cuts a running node off from the log and from some or all peers.
func (z *zoneModel) isolate(m Member) {
	z.logCut[m] = true
	all := z.rng.Intn(2) == 0
	for _, other := range z.members() {
		if all || z.rng.Intn(2) == 0 {
			z.linkCut[[2]Member{m, other}] = true
		}
	}
}

// claim sends a claim of an id to the home node according to the membership of
// a random node. If it is granted, the replica is stored where a link exists.
func (z *zoneModel) claim(id int, issued time.Time, token uint64) {
	all := z.members()
	c := newClaim(fmt.Sprint(id), issued, token)
	view := z.tables[all[z.rng.Intn(len(all))]]
	home, ok := HomeMember(c.Key, view.current.Members)
	if !ok || !z.alive[home] {
		return
	}
	c.Epoch = view.Epoch()
	reply := z.tables[home].Claim(z.now, c)
	if reply.Verdict != Granted {
		z.refused[reply.Verdict]++
		return
	}
	z.granted++
	z.runs[c.Key]++
	require.Equal(z.t, 1, z.runs[c.Key], "id %d was granted more than once", id)
	replica, ok := ReplicaMember(c.Key, z.tables[home].current.Members)
	if ok && z.connected(home, replica) {
		z.tables[replica].StoreReplica(z.now, Entry{Key: c.Key, Fingerprint: 1, Holder: c.Holder, Token: token, ClaimedMS: z.now.UnixMilli()})
	}
}

// TestIDIsGrantedAtMostOnce guards against a request that runs twice because
// two home nodes grant its id. It claims every id several times while members
// are replaced and links and log reads fail at random.
func TestIDIsGrantedAtMostOnce(t *testing.T) {
	granted := 0
	for seed := range int64(30) {
		z := newZoneModel(t, seed)
		issued := map[int]time.Time{}
		for step := range 800 {
			z.now = z.now.Add(time.Duration(z.rng.Intn(200)) * time.Millisecond)
			z.injectFault()
			for _, m := range z.members() {
				if z.rng.Intn(2) == 0 {
					z.syncNode(m)
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
	require.Greater(t, granted, 30*100, "too few claims were granted for a meaningful test")
}

// injectFault replaces a member, toggles a cut or repairs all cuts, with a low
// probability.
func (z *zoneModel) injectFault() {
	all := z.members()
	a, b := all[z.rng.Intn(len(all))], all[z.rng.Intn(len(all))]
	switch z.rng.Intn(60) {
	case 0:
		z.replaceMember()
	case 1:
		z.logCut[a] = !z.logCut[a]
	case 2, 3:
		z.linkCut[[2]Member{a, b}] = !z.linkCut[[2]Member{a, b}]
	case 4:
		clear(z.linkCut)
		clear(z.logCut)
	}
}

// TestHandoverKeepsClaims guards against a handover that loses claims. A member
// leaves the zone: if it is alive, its claims are handed over and no id is
// lost; if it has died, only the ids whose records are lost expire.
func TestHandoverKeepsClaims(t *testing.T) {
	for _, died := range []bool{false, true} {
		z := newZoneModel(t, 1)
		for _, m := range z.epoch.Members {
			z.syncNode(m)
		}
		for id := range 200 {
			z.claim(id, z.now, uint64(id+1))
		}
		require.Equal(t, 200, z.granted)
		z.now = z.now.Add(time.Second)
		removed := node("n3")
		z.alive[removed] = !died
		z.epoch = Membership{Epoch: 2, Members: []Member{node("n1"), node("n2")}}
		for range 8 {
			z.now = z.now.Add(time.Second)
			for _, m := range z.members() {
				z.syncNode(m)
			}
		}
		z.alive[removed] = false
		z.refused = map[Verdict]int{}
		for id := range 200 {
			z.claim(id, start, uint64(1000+id))
		}
		require.Equal(t, 200, z.refused[Duplicate], "replicas must cover the claims that the removed home node granted")
		z.refused = map[Verdict]int{}
		for id := 200; id < 400; id++ {
			z.claim(id, start, uint64(1000+id))
		}
		if died {
			require.NotZero(t, z.refused[Expired])
			require.Greater(t, z.granted, 200, "ids of the remaining home nodes must stay claimable")
			continue
		}
		require.Equal(t, 400, z.granted, "a handover must not lose any id")
	}
}

// TestTakeoverWaitsForMembersAndFenceTime guards against a takeover that
// completes while another member still grants claims of the same ids. The new
// home node must wait for every current member to acknowledge the epoch,
// however long that takes, and for the fence time of a removed home node that
// cannot be reached.
func TestTakeoverWaitsForMembersAndFenceTime(t *testing.T) {
	z := newZoneModel(t, 1)
	for _, m := range z.epoch.Members {
		z.syncNode(m)
	}
	removed := node("n3")
	at := func(d time.Duration) time.Time { return start.Add(d) }
	claimAt := func(m Member, id string, now, issued time.Time) Verdict {
		c := newClaim(id, issued, uint64(now.UnixNano()))
		c.Epoch = z.tables[m].Epoch()
		return z.tables[m].Claim(now, c).Verdict
	}
	z.logCut[removed] = true
	for _, m := range z.epoch.Members {
		z.linkCut[[2]Member{removed, m}] = true
	}
	previousMembers := z.epoch.Members
	z.epoch = Membership{Epoch: 2, Members: []Member{node("n1"), node("n2")}}
	home := node("n1")
	ids := idsWithMovedHome(3, removed, previousMembers, home, z.epoch.Members)
	id := ids[0]

	z.now = at(time.Second)
	z.logCut[node("n2")] = true
	z.linkCut[[2]Member{node("n1"), node("n2")}] = true
	z.syncNode(node("n1"))
	z.now = at(time.Minute)
	z.syncNode(node("n1"))
	require.Equal(t, HandingOver, claimAt(node("n1"), ids[1], z.now, z.now), "n2 may still grant under the previous epoch")

	clear(z.linkCut)
	z.linkCut[[2]Member{removed, node("n1")}] = true
	z.linkCut[[2]Member{removed, node("n2")}] = true
	z.logCut[node("n2")] = false
	z.tables[removed].RecordTailRead(z.now)
	for range 3 {
		z.syncNode(node("n1"))
		z.syncNode(node("n2"))
	}
	issued := z.now.Add(2 * time.Second)
	require.Equal(t, HandingOver, claimAt(home, id, issued, issued))
	require.Equal(t, Granted, claimAt(removed, id, issued, issued), "the previous home node may grant within its fence time")
	z.now = z.now.Add(4 * time.Second)
	z.syncNode(node("n1"))
	z.syncNode(node("n2"))
	require.Equal(t, Fenced, claimAt(removed, ids[1], z.now, z.now))
	require.Equal(t, Expired, claimAt(home, id, z.now, issued))
	issuedAfter := z.now.Add(time.Second)
	require.Equal(t, Granted, claimAt(home, ids[2], issuedAfter, issuedAfter))
}

// TestHandoverRejectsOtherIncarnation guards against a restarted node that
// answers a handover request meant for its previous incarnation, whose records
// are lost.
func TestHandoverRejectsOtherIncarnation(t *testing.T) {
	table := newSingleMemberTable()
	former := Member{Node: "n1", Incarnation: 0}
	require.True(t, table.Handover(start, HandoverRequest{To: node("n1"), Epoch: 1}).Ready)
	require.False(t, table.Handover(start, HandoverRequest{To: former, Epoch: 1}).Ready)
}

// idsWithMovedHome returns n ids whose home node is from in the former
// membership and to in the new one.
func idsWithMovedHome(n int, from Member, former []Member, to Member, members []Member) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		id := fmt.Sprint("id-", i)
		before, _ := HomeMember(NewKey("team", id), former)
		after, _ := HomeMember(NewKey("team", id), members)
		if before == from && after == to {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestIDsOfPreviousZoneExpireAfterZoneChange guards against granting an id that
// its previous home zone may have granted. Such an id is granted only if it was
// issued after every node knows the new set of zones.
func TestIDsOfPreviousZoneExpireAfterZoneChange(t *testing.T) {
	zones := []string{"a", "b"}
	idOf := func(zone string, after int) string {
		for i := after; ; i++ {
			if id := fmt.Sprint(i); HomeZone(NewKey("team", id), zones) == zone {
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
		{"an id of the former zone sent again later", idOf("b", 0), time.Second, time.Minute, Expired},
		{"issued after the change is in force", idOf("b", 0), 31 * time.Second, 31 * time.Second, Granted},
		{"without issue time", idOf("b", 0), 0, time.Minute, Expired},
		{"without issue time, after the horizon", idOf("b", 0), 0, 11 * time.Minute, Granted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(testConfig(node("n1")))
			table.SetZones(start, zones)
			table.SetMembership(start, Membership{Epoch: 1, Members: []Member{node("n1")}}, true)
			require.Equal(t, NotHome, table.Claim(start, newClaim(idOf("b", 0), start, 9)).Verdict)
			table.SetZones(start, []string{"a"})
			c := newClaim(tt.id, time.Time{}, 1)
			if tt.issued > 0 {
				c.IssuedMS = start.Add(tt.issued).UnixMilli()
			}
			require.Equal(t, tt.want, table.Claim(start.Add(tt.now), c).Verdict)
		})
	}
}

// TestOldRecordLossesAreMerged guards against unbounded growth of the losses,
// and against forgetting the oldest of them instead of merging them.
func TestOldRecordLossesAreMerged(t *testing.T) {
	table := newSingleMemberTable()
	for i := range 20 {
		former := Membership{Epoch: uint64(i + 1), Members: []Member{node("n2")}}
		table.addLoss(RecordLoss{Previous: former, Members: former.Members, LostAtMS: start.Add(time.Duration(i) * time.Minute).UnixMilli()})
	}
	require.Len(t, table.losses, maxLosses)
	require.Equal(t, start.Add(11*time.Minute).UnixMilli(), table.completeSince.UnixMilli())
	now := start.Add(19 * time.Minute)
	require.Equal(t, Expired, table.Claim(now, newClaim("x", now, 1)).Verdict)
	later := now.Add(time.Minute)
	require.Equal(t, Granted, table.Claim(later, newClaim("x", later, 1)).Verdict)
}
