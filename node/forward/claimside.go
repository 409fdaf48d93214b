package forward

import (
	"sync"
	"time"

	"wigeonwinch/dispatch/claims"
)

// claimState guards the claim table and the execution tracker with a lock.
type claimState struct {
	lock       sync.Mutex
	table      *claims.Table
	executions *claims.ExecutionTracker
	// disabled grants every claim without consulting the table. Only tests
	// set it, to show that the invariant checks detect missing claims.
	disabled bool
	// epochCheckedAt is when the zone's members were last asked for their
	// entry epoch.
	epochCheckedAt time.Time
	// fetchingFrom holds the members from which a handover is being fetched.
	fetchingFrom map[claims.Member]bool
}

func (c *claimState) init(cfg Config, self claims.Member) {
	c.fetchingFrom = make(map[claims.Member]bool)
	c.table = claims.NewTable(claims.TableConfig{
		Self:         self,
		Zone:         cfg.Zone,
		Horizon:      cfg.Limits.ClaimHorizon,
		MaxClockSkew: cfg.Limits.ClaimSkew,
		Fence:        cfg.Limits.ClaimFence,
		MaxEntries:   cfg.Limits.Claims,
	})
	c.executions = claims.NewExecutionTracker(claims.ExecutionTrackerConfig{
		Self:           self,
		MaxExecutions:  cfg.Limits.Executions,
		MaxAnswerBytes: cfg.Limits.RetainedAnswerBytesTotal,
		Retention:      cfg.Limits.AnswerRetention,
	})
}

// applyView passes the zones and the entry epoch of a view to the claim
// table.
func (c *claimState) applyView(now time.Time, zone string, rt *routes) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.table.SetZones(now, rt.zones)
	epoch, ok := rt.view.EntryEpochs[zone]
	if !ok {
		return
	}
	m := claims.Membership{Epoch: uint64(epoch.Epoch), Members: rt.members[zone]}
	c.table.SetMembership(now, m, isFirstEpoch(rt, m))
}

// isFirstEpoch reports whether no member can have granted a claim before this
// epoch: it is the first epoch of the zone, and the zone has existed since
// the first publish.
func isFirstEpoch(rt *routes, m claims.Membership) bool {
	return m.Epoch == 1 && rt.view.Generation <= 1
}

func (c *claimState) sizes() (entries, executions, answerBytes int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.table.Len(), c.executions.Len(), c.executions.AnswerBytes()
}

// markSent records that a claimed request is about to be sent. It must
// succeed before the first byte is sent.
func (c *claimState) markSent(r *request) error {
	if !r.needsClaim() || c.disabled {
		return nil
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.executions.MarkSent(r.claim.key, r.claim.token)
}

// unmarkSent reverts markSent after an attempt in which the request cannot
// have run.
func (c *claimState) unmarkSent(r *request) {
	if !r.needsClaim() || c.disabled {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.executions.UnmarkSent(r.claim.key, r.claim.token)
}

func (c *claimState) begin(now time.Time, key claims.Key, fingerprint uint64) (claims.BeginResult, uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.executions.Begin(now, key, fingerprint)
}

func (c *claimState) discard(key claims.Key, token uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.executions.Discard(key, token)
}

// lookUp returns the status of an execution on this node.
func (c *claimState) lookUp(key claims.Key, token uint64) (claims.ExecutionStatus, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.executions.Lookup(key, token)
}

func (c *claimState) claimLocal(now time.Time, claim claims.Claim) claims.ClaimReply {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.table.Claim(now, claim)
}

func (c *claimState) releaseLocal(r claims.Release) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.table.Release(r)
}
