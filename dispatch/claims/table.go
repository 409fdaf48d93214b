package claims

import "time"

// TableConfig sets the bounds of a Table.
type TableConfig struct {
	// Self is the member that keeps the table.
	Self Member
	// Zone is the member's availability zone.
	Zone string
	// Horizon is how long a claim is kept at least.
	Horizon time.Duration
	// Skew bounds the difference between any two clocks.
	Skew time.Duration
	// Fence is how long a member grants after it last verified its epoch.
	Fence time.Duration
	// MaxEntries bounds the kept claims.
	MaxEntries int
}

// Table is the home's side: it records who may run which request.
type Table struct {
	cfg   TableConfig
	store *store

	now     Membership
	former  Membership
	zones   []string
	newest  uint64 // newest epoch anyone mentioned
	started bool

	since  time.Time
	losses []Loss
	// rezoned is the last change of the set of zones.
	rezoned ZoneChange

	// takeover is set while records of former homes are awaited.
	takeover *takeover

	tailAt time.Time
	heard  map[Member]time.Time
}

// NewTable returns an empty table that belongs to no epoch yet.
func NewTable(cfg TableConfig) *Table {
	return &Table{
		cfg:   cfg,
		store: newStore(cfg.Horizon, cfg.MaxEntries),
		heard: make(map[Member]time.Time),
	}
}

// Len returns the number of kept claims.
func (t *Table) Len() int { return t.store.count }

// Epoch returns the entry epoch the table is at.
func (t *Table) Epoch() uint64 { return t.now.Epoch }

// CompleteSince returns the time since when every claim of the zone is known,
// but for the losses of single members. It reports false during a takeover.
func (t *Table) CompleteSince() (time.Time, bool) {
	return t.since, t.started && t.takeover == nil
}

// TailRead notes that the log was read up to its tail by a read that was sent
// at the given time, and that no newer epoch was in it.
func (t *Table) TailRead(sent time.Time) {
	if sent.After(t.tailAt) {
		t.tailAt = sent
	}
}

// Heard notes that a member answered an epoch check sent at the given time.
func (t *Table) Heard(m Member, sent time.Time, epoch uint64) {
	t.mention(epoch)
	if epoch > t.now.Epoch {
		return
	}
	if sent.After(t.heard[m]) {
		t.heard[m] = sent
	}
}

// mention notes that somebody knows an epoch.
func (t *Table) mention(epoch uint64) {
	if epoch > t.newest {
		t.newest = epoch
	}
}

// Claim decides a claim. Now is the home's clock.
func (t *Table) Claim(now time.Time, c Claim) ClaimReply {
	t.store.expire(now)
	t.mention(c.Epoch)
	if !t.isHome(c) {
		return t.reply(NotHome)
	}
	if e, ok := t.store.get(c.Key); ok {
		return t.duplicate(c, e)
	}
	if !t.mayGrant(now) {
		return t.reply(Fenced)
	}
	if !t.holdsRecordsOf(c.Key) {
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
		ClaimedMS:   millis(now),
	}
	if !t.store.put(now, entry) {
		return t.reply(Full)
	}
	return t.reply(Granted)
}

func (t *Table) reply(v Verdict) ClaimReply {
	return ClaimReply{Verdict: v, Epoch: t.now.Epoch}
}

func (t *Table) duplicate(c Claim, e Entry) ClaimReply {
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

// isHome says whether the key belongs to this member in its epoch.
func (t *Table) isHome(c Claim) bool {
	if !t.started || HomeZone(c.Key, t.zones) != t.cfg.Zone {
		return false
	}
	home, ok := HomeMember(c.Key, t.now.Members)
	return ok && home == t.cfg.Self
}

// mayGrant says whether no newer epoch can be in force elsewhere.
func (t *Table) mayGrant(now time.Time) bool {
	if t.newest > t.now.Epoch {
		return false
	}
	if len(t.now.Members) == 1 {
		return true
	}
	if now.Sub(t.tailAt) < t.cfg.Fence {
		return true
	}
	for _, m := range t.now.Members {
		if m == t.cfg.Self {
			continue
		}
		if now.Sub(t.heard[m]) >= t.cfg.Fence {
			return false
		}
	}
	return true
}

// checkIssueTime refuses ids that may have been claimed before the table's
// records begin.
func (t *Table) checkIssueTime(now time.Time, c Claim) Verdict {
	known := t.knownSince(c.Key)
	if c.IssuedMS == 0 {
		if now.Sub(known) < t.cfg.Horizon {
			return Expired
		}
		return Granted
	}
	issued := time.UnixMilli(c.IssuedMS)
	if issued.After(now.Add(t.cfg.Skew)) {
		return FromFuture
	}
	if !issued.After(now.Add(t.cfg.Skew - t.cfg.Horizon)) {
		return Expired
	}
	if !known.IsZero() && !issued.After(known.Add(t.cfg.Skew)) {
		return Expired
	}
	return Granted
}

// knownSince returns the time since when the claims of the key are complete.
func (t *Table) knownSince(key Key) time.Time {
	since := t.since
	for _, loss := range t.losses {
		at := time.UnixMilli(loss.AtMS)
		if !at.After(since) {
			continue
		}
		home, _ := HomeMember(key, loss.Former.Members)
		if containsMember(loss.Removed, home) {
			since = at
		}
	}
	return t.rezonedSince(key, since)
}

// rezonedSince raises since for a key that came from another zone.
func (t *Table) rezonedSince(key Key, since time.Time) time.Time {
	if t.rezoned.AtMS == 0 {
		return since
	}
	at := time.UnixMilli(t.rezoned.AtMS)
	if at.After(since) && HomeZone(key, t.rezoned.Former) != t.cfg.Zone {
		return at
	}
	return since
}

// Release frees an id whose work has not run. It reports whether the claim
// was still kept.
func (t *Table) Release(r Release) bool {
	e, ok := t.store.get(r.Key)
	if !ok || e.Holder != r.Holder || e.Token != r.Token {
		return false
	}
	t.store.remove(r.Key)
	return true
}

// Copy keeps a claim that another member granted, so that its holder can be
// named when that member is gone. It reports false when there is no room.
func (t *Table) Copy(now time.Time, e Entry) bool {
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
