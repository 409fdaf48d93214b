package room

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/spec"
)

// The parameters of the arbiter.
const (
	// chunksPerCap is the number of pieces in which contested room is dealt out.
	chunksPerCap = 16
	// hungerTTLMS is how long a holder that waited for room counts as waiting after its
	// last report.
	hungerTTLMS = 1_000
	// reserveMS of every reservePeriodMS room is kept free for the holder with the least
	// room if its next start needs more than is free, so that small starts elsewhere
	// don't keep out a large one.
	reserveMS, reservePeriodMS = 1_500, 3_000
)

// Arbiter hands out the room below the caps.
type Arbiter struct {
	epoch int64
	// grantsAt is when the first room may be handed out.
	grantsAt int64
	version  int64
	caps     Caps
	shards   map[int]*book
	// required are the shards that must have reported before room is handed out.
	// complete reports whether they have.
	required []int
	complete bool
}

// book is what the arbiter knows of one shard.
type book struct {
	epoch, sequence, reportedAt int64
	accounts                    map[string]*entry
}

// entry is the account of a customer in one shard; Held includes what the arbiter has
// granted since.
type entry struct {
	Account
	// hungrySince is since when a start has waited and none was made; 0 if none waits.
	hungrySince int64
}

// NewArbiter returns an arbiter that knows no holder. It grants nothing before grantsAt,
// when every answer of an earlier arbiter has arrived or is void, and before all required
// shards have reported.
func NewArbiter(epoch, grantsAt int64) *Arbiter {
	return &Arbiter{epoch: epoch, grantsAt: grantsAt, shards: map[int]*book{}}
}

// SetCaps replaces the caps by those of a version of the configuration.
func (a *Arbiter) SetCaps(version int64, caps Caps) { a.version, a.caps = version, caps }

// SetRequired replaces the shards that have runs or may start some. A shard that is
// added after the others have reported has had no room from an earlier arbiter.
func (a *Arbiter) SetRequired(shards []int) { a.required = shards }

// Granting reports whether the arbiter hands out room.
func (a *Arbiter) Granting(now int64) bool {
	if !a.complete {
		a.complete = len(a.required) > 0 && !slices.ContainsFunc(a.required, func(s int) bool { return a.shards[s] == nil })
	}
	return a.complete && now >= a.grantsAt
}

// Handle applies a report and returns the limits of its customers that change.
func (a *Arbiter) Handle(now int64, r Report) (Answer, error) {
	b := a.shards[r.Shard]
	switch {
	case b != nil && (r.Epoch < b.epoch || r.Epoch == b.epoch && r.Sequence <= b.sequence):
		return Answer{}, errors.Errorf("the report %d of epoch %d is older than one that is known: report again", r.Sequence, r.Epoch)
	case !r.Full && (b == nil || b.epoch != r.Epoch):
		return Answer{Arbiter: a.epoch, NeedFull: true}, nil
	}
	a.record(now, r)
	out := Answer{Arbiter: a.epoch, Version: a.version}
	if out.Granting = a.Granting(now); !out.Granting {
		return out, nil
	}
	for i := range r.Accounts {
		if l, changed := a.limit(now, r.Shard, r.Accounts[i].Customer); changed {
			out.Limits = append(out.Limits, l)
		}
	}
	return out, nil
}

func (a *Arbiter) record(now int64, r Report) {
	b := a.shards[r.Shard]
	was := map[string]*entry{}
	if b != nil {
		was = b.accounts
	}
	if b == nil || r.Full {
		b = &book{accounts: map[string]*entry{}}
		a.shards[r.Shard] = b
	}
	b.epoch, b.sequence, b.reportedAt = r.Epoch, r.Sequence, now
	for _, reported := range r.Accounts {
		e := &entry{Account: reported}
		if reported.Next != (spec.Resources{}) {
			e.hungrySince = now
			if old := was[reported.Customer]; old != nil && old.hungrySince != 0 && old.Used.Sub(reported.Used) == larger(old.Used.Sub(reported.Used), spec.Resources{}) {
				e.hungrySince = old.hungrySince
			}
		}
		if reported.Held == (spec.Resources{}) && e.hungrySince == 0 {
			delete(b.accounts, reported.Customer)
			continue
		}
		b.accounts[reported.Customer] = e
	}
}

// limit sets the room of a customer in a shard that has just reported.
func (a *Arbiter) limit(now int64, shard int, customer string) (Limit, bool) {
	e := a.shards[shard].accounts[customer]
	if e == nil {
		return Limit{}, false
	}
	limit := a.caps[customer]
	others := spec.Resources{}
	for s, b := range a.shards {
		if o := b.accounts[customer]; o != nil && s != shard {
			others = others.Add(o.Held)
		}
	}
	target := a.target(now, shard, customer)
	free := larger(limit.Sub(others), spec.Resources{})
	room := larger(within(limit, smaller(target, free)), uncapped(limit, e.Want))
	if room == e.Held {
		return Limit{}, false
	}
	e.Held = larger(e.Held, room)
	return Limit{Customer: customer, Room: room}, true
}

// uncapped returns the part of r in the dimensions that the arbiter's configuration does
// not limit; that of the holder may be another version.
func uncapped(limit, r spec.Resources) spec.Resources { return r.Sub(within(limit, r)) }

// target returns what a shard should hold of a customer's cap, whatever the others hold
// at the moment.
func (a *Arbiter) target(now int64, shard int, customer string) spec.Resources {
	limit := a.caps[customer]
	mine := a.shards[shard].accounts[customer]
	held, wanted := spec.Resources{}, spec.Resources{}
	for _, b := range a.shards {
		if e := b.accounts[customer]; e != nil {
			held, wanted = held.Add(larger(e.Held, e.Want)), wanted.Add(e.Want)
		}
	}
	switch {
	case !exceeds(limit, held, limit):
		return larger(mine.Held, mine.Want)
	case !exceeds(limit, wanted, limit):
		return mine.Want
	}
	return a.deal(now, customer)[shard]
}

// claim is the part of a shard while contested room is dealt out.
type claim struct {
	shard       int
	share, want spec.Resources
	next        spec.Resources
	since       int64
}

// deal divides a customer's cap between the shards that want more than it: each keeps
// what it uses, and the rest goes in pieces to the one with the least.
func (a *Arbiter) deal(now int64, customer string) map[int]spec.Resources {
	limit := a.caps[customer]
	shares, total := map[int]spec.Resources{}, spec.Resources{}
	var hungry []*claim
	for _, shard := range slices.Sorted(maps.Keys(a.shards)) {
		b := a.shards[shard]
		e := b.accounts[customer]
		if e == nil {
			continue
		}
		shares[shard] = e.Used
		total = total.Add(e.Used)
		if e.hungrySince != 0 && now-b.reportedAt <= hungerTTLMS {
			hungry = append(hungry, &claim{shard: shard, share: e.Used, want: e.Want, next: e.Next, since: e.hungrySince})
		}
	}
	for len(hungry) > 0 {
		least := slices.MinFunc(hungry, func(x, y *claim) int { return compareClaims(limit, x, y) })
		piece := smaller(larger(least.next, perDimension(limit, limit, func(l, _ int) int { return l / chunksPerCap })), larger(least.want.Sub(least.share), spec.Resources{}))
		if exceeds(limit, total.Add(piece), limit) || exceeds(limit, least.next, piece) {
			piece = least.next
		}
		if piece == (spec.Resources{}) || exceeds(limit, total.Add(piece), limit) {
			if piece != (spec.Resources{}) && least.mayReserve(now, limit) {
				break
			}
			hungry = slices.DeleteFunc(hungry, func(c *claim) bool { return c == least })
			continue
		}
		least.share, total = least.share.Add(piece), total.Add(piece)
		shares[least.shard] = least.share
		if !exceeds(limit, least.want, least.share) {
			hungry = slices.DeleteFunc(hungry, func(c *claim) bool { return c == least })
		}
	}
	return shares
}

// mayReserve reports whether the room that is free is kept for a claim that does not fit
// into it yet.
func (c *claim) mayReserve(now int64, limit spec.Resources) bool {
	return !exceeds(limit, c.share.Add(c.next), limit) && now%reservePeriodMS < reserveMS
}

// compareClaims orders claims by the share that they have, then by the time that they
// have waited.
func compareClaims(limit spec.Resources, x, y *claim) int {
	if d := dominantShare(limit, x.share) - dominantShare(limit, y.share); d != 0 {
		if d < 0 {
			return -1
		}
		return 1
	}
	if x.since != y.since {
		return int(min(max(x.since-y.since, -1), 1))
	}
	return x.shard - y.shard
}

// dominantShare returns the largest part of the cap that r takes in any dimension.
func dominantShare(limit, r spec.Resources) float64 {
	part := func(limit, r int) float64 {
		if limit == 0 {
			return 0
		}
		return float64(r) / float64(limit)
	}
	return max(part(limit.MilliCPU, r.MilliCPU), part(limit.MemoryMB, r.MemoryMB), part(limit.GPUs, r.GPUs))
}

// Held returns what all holders hold of a customer's cap, as far as it is known.
func (a *Arbiter) Held(customer string) spec.Resources {
	sum := spec.Resources{}
	for _, b := range a.shards {
		if e := b.accounts[customer]; e != nil {
			sum = sum.Add(e.Held)
		}
	}
	return sum
}
