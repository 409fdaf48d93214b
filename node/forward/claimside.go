package forward

import (
	"sync"
	"time"

	"wigeonwinch/dispatch/claims"
)

// claimSide gives the claim table and the book of works a lock.
type claimSide struct {
	lock  sync.Mutex
	table *claims.Table
	book  *claims.Book
	// off grants every claim without a table. Only tests set it, to show that
	// the invariants notice.
	off bool
	// checkedAt is when the zone's members were last asked for their epoch.
	checkedAt time.Time
	// asking are the members that a handover is being fetched from.
	asking map[claims.Member]bool
}

func (c *claimSide) init(cfg Config, self claims.Member) {
	c.asking = make(map[claims.Member]bool)
	c.table = claims.NewTable(claims.TableConfig{
		Self:       self,
		Zone:       cfg.Zone,
		Horizon:    cfg.Limits.ClaimHorizon,
		Skew:       cfg.Limits.ClaimSkew,
		Fence:      cfg.Limits.ClaimFence,
		MaxEntries: cfg.Limits.Claims,
	})
	c.book = claims.NewBook(claims.BookConfig{
		Self:           self,
		MaxWorks:       cfg.Limits.Works,
		MaxAnswerBytes: cfg.Limits.AnswersHeldBytes,
		Keep:           cfg.Limits.AnswerHeld,
	})
}

// follow tells the table the zones and the entry epoch of a view.
func (c *claimSide) follow(now time.Time, zone string, rt *routes) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.table.SetZones(now, rt.zones)
	epoch, ok := rt.view.Entry[zone]
	if !ok {
		return
	}
	m := claims.Membership{Epoch: uint64(epoch.Epoch), Members: rt.members[zone]}
	c.table.SetMembership(now, m, firstEpoch(rt, m))
}

// firstEpoch says whether nobody can have granted a claim before an epoch:
// it is the zone's first, and the zone was there from the first publish on.
func firstEpoch(rt *routes, m claims.Membership) bool {
	return m.Epoch == 1 && rt.view.Generation <= 1
}

func (c *claimSide) sizes() (entries, works, answerBytes int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.table.Len(), c.book.Len(), c.book.AnswerBytes()
}

// markSent must succeed before the first byte of claimed work is sent.
func (c *claimSide) markSent(r *request) error {
	if !r.claimed() || c.off {
		return nil
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.book.MarkSent(r.claim.key, r.claim.token)
}

// unsent takes markSent back: nothing can have run.
func (c *claimSide) unsent(r *request) {
	if !r.claimed() || c.off {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.book.Unsent(r.claim.key, r.claim.token)
}

func (c *claimSide) begin(now time.Time, key claims.Key, fingerprint uint64) (claims.Begin, uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.book.Begin(now, key, fingerprint)
}

func (c *claimSide) forget(key claims.Key, token uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.book.Forget(key, token)
}

// look returns what is known of a work of this node.
func (c *claimSide) look(key claims.Key, token uint64) (claims.Look, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.book.Look(key, token)
}

func (c *claimSide) claimHere(now time.Time, claim claims.Claim) claims.ClaimReply {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.table.Claim(now, claim)
}

func (c *claimSide) releaseHere(r claims.Release) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.table.Release(r)
}
