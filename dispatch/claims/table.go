package claims

import "time"

// TableConfig configures a [Table].
type TableConfig struct {
	// Self is the member that holds the table.
	Self Member
	// Zone is the member's availability zone.
	Zone string
	// Horizon is the minimum time for which a claim is kept.
	Horizon time.Duration
	// MaxClockSkew is the maximum difference between any two clocks.
	MaxClockSkew time.Duration
	// Fence is how long a member may grant claims after it last verified its
	// epoch.
	Fence time.Duration
	// MaxEntries is the maximum number of claims kept.
	MaxEntries int
}

// Table holds the claims of the keys whose home node is this member, and the
// replicas of claims that other members granted.
type Table struct {
	cfg   TableConfig
	store *store

	current  Membership
	previous Membership
	zones    []string
	// newestSeenEpoch is the newest entry epoch in any message or membership.
	newestSeenEpoch uint64
	// hasMembership is false until the first SetMembership.
	hasMembership bool

	// completeSince is the time since which the records are complete, except
	// for the losses.
	completeSince time.Time
	losses        []RecordLoss
	// lastZoneChange is the last change of the set of zones.
	lastZoneChange ZoneChange

	// takeover is set while the table waits for records of previous home nodes.
	takeover *takeover

	// tailReadAt is when the last read that reached the tail of the log was
	// sent.
	tailReadAt time.Time
	// epochCheckedAt is, for each member, when the last epoch check was sent
	// that it answered with no newer epoch.
	epochCheckedAt map[Member]time.Time
}

// NewTable returns an empty table without a membership.
func NewTable(cfg TableConfig) *Table {
	return &Table{
		cfg:            cfg,
		store:          newStore(cfg.Horizon, cfg.MaxEntries),
		epochCheckedAt: make(map[Member]time.Time),
	}
}

// Len returns the number of claims kept.
func (t *Table) Len() int { return t.store.count }

// Epoch returns the current entry epoch.
func (t *Table) Epoch() uint64 { return t.current.Epoch }

// CompleteSince returns the time since which the table has all claims of its
// keys, except for the recorded losses of single members. It reports false
// during a takeover and before the first membership.
func (t *Table) CompleteSince() (time.Time, bool) {
	return t.completeSince, t.hasMembership && t.takeover == nil
}

// RecordTailRead records that a read sent at the given time reached the tail of
// the log and found no newer epoch.
func (t *Table) RecordTailRead(sent time.Time) {
	if sent.After(t.tailReadAt) {
		t.tailReadAt = sent
	}
}

// RecordEpochCheck records the epoch with which a member answered an epoch
// check that was sent at the given time.
func (t *Table) RecordEpochCheck(m Member, sent time.Time, epoch uint64) {
	t.observeEpoch(epoch)
	if epoch > t.current.Epoch {
		return
	}
	if sent.After(t.epochCheckedAt[m]) {
		t.epochCheckedAt[m] = sent
	}
}

// observeEpoch records that some node knows the epoch.
func (t *Table) observeEpoch(epoch uint64) {
	if epoch > t.newestSeenEpoch {
		t.newestSeenEpoch = epoch
	}
}

// Claim decides on a claim. The time is the home node's clock.
func (t *Table) Claim(now time.Time, c Claim) ClaimReply {
	t.store.expire(now)
	t.observeEpoch(c.Epoch)
	if !t.isHome(c) {
		return t.reply(NotHome)
	}
	if e, ok := t.store.get(c.Key); ok {
		return t.replyToExisting(c, e)
	}
	if !t.epochIsCurrent(now) {
		return t.reply(Fenced)
	}
	if !t.hasPreviousRecords(c.Key) {
		return t.reply(HandingOver)
	}
	if v := t.checkIssueTime(now, c); v != Granted {
		return t.reply(v)
	}
	entry := Entry{
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Holder:      c.Holder,
		Token:       c.Token,
		ClaimedMS:   unixMillis(now),
	}
	if !t.store.put(now, entry) {
		return t.reply(Full)
	}
	return t.reply(Granted)
}

func (t *Table) reply(v Verdict) ClaimReply {
	return ClaimReply{Verdict: v, Epoch: t.current.Epoch}
}

// replyToExisting returns the reply to a claim whose id is already claimed. A
// repeated claim by the same holder with the same token is granted again.
func (t *Table) replyToExisting(c Claim, e Entry) ClaimReply {
	if e.Fingerprint != c.Fingerprint {
		return t.reply(Mismatch)
	}
	if e.Holder == c.Holder && e.Token == c.Token {
		return t.reply(Granted)
	}
	reply := t.reply(Duplicate)
	reply.Holder = e.Holder
	reply.Token = e.Token
	return reply
}

// isHome reports whether this member is the home node of the claim's key in the
// current epoch.
func (t *Table) isHome(c Claim) bool {
	if !t.hasMembership || HomeZone(c.Key, t.zones) != t.cfg.Zone {
		return false
	}
	home, ok := HomeMember(c.Key, t.current.Members)
	return ok && home == t.cfg.Self
}

// epochIsCurrent reports whether no other member can be granting claims under a
// newer epoch. It requires that, within the fence time, the log was read to its
// tail or every other member confirmed the epoch.
func (t *Table) epochIsCurrent(now time.Time) bool {
	if t.newestSeenEpoch > t.current.Epoch {
		return false
	}
	if len(t.current.Members) == 1 {
		return true
	}
	if now.Sub(t.tailReadAt) < t.cfg.Fence {
		return true
	}
	for _, m := range t.current.Members {
		if m == t.cfg.Self {
			continue
		}
		if now.Sub(t.epochCheckedAt[m]) >= t.cfg.Fence {
			return false
		}
	}
	return true
}

// checkIssueTime rejects ids that may have been claimed before the time since
// which the table's records of them are complete.
func (t *Table) checkIssueTime(now time.Time, c Claim) Verdict {
	completeSince := t.recordsCompleteSince(c.Key)
	if c.IssuedMS == 0 {
		if now.Sub(completeSince) < t.cfg.Horizon {
			return Expired
		}
		return Granted
	}
	issued := time.UnixMilli(c.IssuedMS)
	if issued.After(now.Add(t.cfg.MaxClockSkew)) {
		return FromFuture
	}
	if !issued.After(now.Add(t.cfg.MaxClockSkew - t.cfg.Horizon)) {
		return Expired
	}
	if !completeSince.IsZero() && !issued.After(completeSince.Add(t.cfg.MaxClockSkew)) {
		return Expired
	}
	return Granted
}

// recordsCompleteSince returns the time since which the table has every claim
// of the key.
func (t *Table) recordsCompleteSince(key Key) time.Time {
	since := t.completeSince
	for _, loss := range t.losses {
		at := time.UnixMilli(loss.LostAtMS)
		if !at.After(since) {
			continue
		}
		home, _ := HomeMember(key, loss.Previous.Members)
		if containsMember(loss.Members, home) {
			since = at
		}
	}
	return t.adjustForZoneChange(key, since)
}

// adjustForZoneChange returns the later of since and the time of the last zone
// change if the change moved the key to this zone, and since otherwise.
func (t *Table) adjustForZoneChange(key Key, since time.Time) time.Time {
	if t.lastZoneChange.EffectiveAtMS == 0 {
		return since
	}
	at := time.UnixMilli(t.lastZoneChange.EffectiveAtMS)
	if at.After(since) && HomeZone(key, t.lastZoneChange.PreviousZones) != t.cfg.Zone {
		return at
	}
	return since
}

// Release removes a claim whose request has not run, so that the id can be
// claimed again. It reports whether the claim was still in the table.
func (t *Table) Release(r Release) bool {
	e, ok := t.store.get(r.Key)
	if !ok || e.Holder != r.Holder || e.Token != r.Token {
		return false
	}
	t.store.remove(r.Key)
	return true
}

// StoreReplica stores a replica of a claim that another member granted, so that
// the holder is still known after that member has left. It reports whether the
// table had room for it.
func (t *Table) StoreReplica(now time.Time, e Entry) bool {
	t.store.expire(now)
	if _, ok := t.store.get(e.Key); ok {
		t.store.remove(e.Key)
	}
	return t.store.put(now, e)
}

func containsMember(list []Member, m Member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
