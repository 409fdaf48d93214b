package room

import (
	"maps"
	"slices"

	"wigeonwinch/jobs/spec"
)

// The intervals of a holder.
const (
	// reportIntervalMS is the pause between two reports of changes, and between two
	// requests for room that the arbiter did not have.
	reportIntervalMS = 100
	// urgentIntervalMS is the pause before a report of a start that waits for room the
	// holder has not asked for yet.
	urgentIntervalMS = 20
	// keepMS is how long room without a use is kept at least, so that the next task
	// needs no exchange; twice that at most.
	keepMS = 150
)

// Holder is the room of the owner of one shard.
type Holder struct {
	shard    int
	epoch    int64
	version  int64
	caps     Caps
	accounts map[string]*account
	// arbiter is the epoch of the arbiter that knows all accounts; 0 if none does.
	arbiter  int64
	sequence int64
	sentAt   int64
	sent     []Account
	sentTo   int64
	inFlight bool
	// granting reports whether the arbiter handed out room when it last answered.
	granting     bool
	rolledOverAt int64
}

// account is the room of one customer.
type account struct {
	limit, used spec.Resources
	// granted is the arbiter's version of the configuration when it set the limit.
	granted int64
	// waiting is what waits for room in the current pass, next what the first of those
	// starts needs.
	waiting, next spec.Resources
	// current and previous are the most that was used or waited for in this and in the
	// previous period of keepMS.
	current, previous spec.Resources
	// known is what the arbiter has been told.
	known Account
}

// NewHolder returns the holder of a shard that has just been taken over.
func NewHolder(shard int, epoch int64) *Holder {
	return &Holder{shard: shard, epoch: epoch, accounts: map[string]*account{}}
}

// SetCaps replaces the caps by those of a version of the configuration. Where a cap is
// new or lower than before, nothing more starts until an arbiter that knows this version
// has said what the others use; so it is after a takeover, and where the limit comes from
// a version that the holder never had.
func (h *Holder) SetCaps(version int64, caps Caps) {
	for name, a := range h.accounts {
		was, is := h.caps[name], caps[name]
		skipped := a.granted > h.version && a.granted != version
		if skipped || exceeds(is, was, is) || exceeds(is, spec.Resources{MilliCPU: 1, MemoryMB: 1, GPUs: 1}, was) {
			a.limit = spec.Resources{}
		}
		a.limit = smaller(within(is, a.limit), is)
	}
	h.version, h.caps = version, caps
}

// Active reports whether any customer has a cap.
func (h *Holder) Active() bool {
	for _, limit := range h.caps {
		if limit != (spec.Resources{}) {
			return true
		}
	}
	return false
}

func (h *Holder) account(customer string) *account {
	a := h.accounts[customer]
	if a == nil {
		a = &account{}
		h.accounts[customer] = a
	}
	return a
}

// Count counts n runs of a customer that may be on a worker, or -n that are gone.
func (h *Holder) Count(customer string, need spec.Resources, n int) {
	if customer == "" {
		return
	}
	a := h.account(customer)
	a.used = a.used.Add(times(need, n))
	a.current = larger(a.current, a.used)
}

// Used returns what a customer's runs of the shard use.
func (h *Holder) Used(customer string) spec.Resources {
	if a := h.accounts[customer]; a != nil {
		return a.used
	}
	return spec.Resources{}
}

// Held returns the room that the holder holds for a customer, and what waits for more.
func (h *Holder) Held(customer string) (held, waiting spec.Resources) {
	a := h.accounts[customer]
	if a == nil {
		return spec.Resources{}, spec.Resources{}
	}
	return larger(a.limit, within(h.caps[customer], a.used)), a.waiting
}

// Allows reports whether a customer may start what needs the given resources. A task that
// needs more than the cap may start when nothing else of the customer runs.
func (h *Holder) Allows(customer string, need spec.Resources) bool {
	limit := h.caps[customer]
	if limit == (spec.Resources{}) {
		return true
	}
	a := h.account(customer)
	return !exceeds(limit, a.used.Add(smallerCapped(limit, need)), smaller(a.limit, limit))
}

// WithinCap reports whether what a customer's runs use here is below its cap, with a run
// among them that needs the given resources and alone may need more than the cap. A start
// that was allowed before the cap was lowered is not allowed any more.
func (h *Holder) WithinCap(customer string, need spec.Resources) bool {
	limit := h.caps[customer]
	return !exceeds(limit, h.Used(customer).Sub(need).Add(smallerCapped(limit, need)), limit)
}

// BeginPass forgets what waited for room in the pass before.
func (h *Holder) BeginPass() {
	for _, a := range h.accounts {
		a.waiting, a.next = spec.Resources{}, spec.Resources{}
	}
}

// Waits reports whether a start of the current pass that needs no more than the given
// resources waits for room already.
func (h *Holder) Waits(customer string, need spec.Resources) bool {
	a := h.accounts[customer]
	return a != nil && a.next != (spec.Resources{}) && a.next.Fits(smallerCapped(h.caps[customer], need))
}

// Wait records that n starts of the current pass wait for room.
func (h *Holder) Wait(customer string, need spec.Resources, n int) {
	limit := h.caps[customer]
	a := h.account(customer)
	if a.next == (spec.Resources{}) {
		a.next = smallerCapped(limit, need)
	}
	if !exceeds(limit, a.used.Add(a.waiting), limit) {
		a.waiting = a.waiting.Add(times(need, n))
	}
	a.current = larger(a.current, smaller(within(limit, a.used.Add(a.waiting)), limit))
}

// Report returns what the arbiter with the given epoch has to be told now. The caller
// ends each report with Apply or Fail.
func (h *Holder) Report(now, arbiter int64) (Report, bool) {
	h.giveBack(now)
	if h.inFlight || arbiter == 0 || !h.Active() {
		return Report{}, false
	}
	full := arbiter != h.arbiter
	list, urgent := h.changes(full)
	pause := int64(reportIntervalMS)
	if urgent {
		pause = urgentIntervalMS
	}
	if !full && len(list) == 0 || h.sentAt != 0 && now-h.sentAt < pause {
		return Report{}, false
	}
	h.sequence++
	h.inFlight, h.sentAt, h.sent, h.sentTo = true, now, list, arbiter
	return Report{Shard: h.shard, Epoch: h.epoch, Sequence: h.sequence, Full: full, Accounts: list}, true
}

// changes lists the accounts that the arbiter has to be told, and reports whether a
// start waits for room that the holder has not asked for yet.
func (h *Holder) changes(full bool) (list []Account, urgent bool) {
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		limit := h.caps[name]
		if limit == (spec.Resources{}) {
			continue
		}
		a := h.accounts[name]
		report := a.report(name, limit)
		waits := report.Next != (spec.Resources{})
		if waits && !full && a.known.Next == (spec.Resources{}) {
			urgent = true
		}
		stuck := !h.granting && report.Held != report.Used
		if waits || stuck || report.Held != a.known.Held || waits != (a.known.Next != (spec.Resources{})) || full && report.Held != (spec.Resources{}) {
			list = append(list, report)
		}
	}
	return list, urgent
}

func (a *account) report(name string, limit spec.Resources) Account {
	used := within(limit, a.used)
	want := larger(used, smaller(within(limit, a.used.Add(a.waiting)), limit))
	return Account{Customer: name, Held: larger(a.limit, used), Used: used, Want: want, Next: within(limit, a.next)}
}

// giveBack lowers the limits to what was of use lately, unless the arbiter could not
// return the room when it is needed again.
func (h *Holder) giveBack(now int64) {
	if now-h.rolledOverAt < keepMS {
		return
	}
	h.rolledOverAt = now
	for name, a := range h.accounts {
		limit := h.caps[name]
		if h.granting {
			a.limit = smaller(a.limit, larger(within(limit, a.current), within(limit, a.previous)))
		}
		a.previous, a.current = a.current, smaller(a.used.Add(a.waiting), larger(limit, a.used))
		if a.idle() && !h.inFlight {
			delete(h.accounts, name)
		}
	}
}

// idle reports whether an account can be forgotten.
func (a *account) idle() bool {
	zero := spec.Resources{}
	return a.used == zero && a.limit == zero && a.waiting == zero && a.previous == zero && a.known.Held == zero && a.known.Next == zero
}

// Apply applies the answer to the report with a sequence number. Answers to other
// reports are ignored: the arbiter has been told something else since.
func (h *Holder) Apply(sequence int64, answer Answer) {
	if !h.inFlight || sequence != h.sequence {
		return
	}
	h.inFlight, h.granting = false, answer.Granting
	if answer.NeedFull || answer.Arbiter != h.sentTo {
		h.arbiter = 0
		return
	}
	if h.arbiter != h.sentTo {
		h.arbiter = h.sentTo
		for _, a := range h.accounts {
			a.known = Account{}
		}
	}
	for _, sent := range h.sent {
		h.account(sent.Customer).known = sent
	}
	if answer.Version < h.version {
		return
	}
	for _, l := range answer.Limits {
		a, limit := h.account(l.Customer), h.caps[l.Customer]
		a.limit, a.granted = smaller(within(limit, l.Room), limit), answer.Version
		a.known.Held = larger(a.known.Held, within(limit, l.Room))
	}
}

// Fail records that the report with a sequence number got no answer in time. The arbiter
// may have handed out room that this holder does not know of; the next report, which is
// full, tells it.
func (h *Holder) Fail(sequence int64) {
	if h.inFlight && sequence == h.sequence {
		h.inFlight, h.granting, h.arbiter = false, false, 0
	}
}
