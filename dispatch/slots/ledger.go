package slots

import (
	"slices"
	"time"
)

// The defaults of Options.
const (
	defaultIdleReturn = 2 * time.Second
	defaultRetry      = 200 * time.Millisecond
	defaultMaxWant    = 4
)

// Options configures a Ledger. Zero fields take their defaults.
type Options struct {
	// IdleReturn is after which idle time a borrowed slot goes back.
	IdleReturn time.Duration
	// Retry is how often a message is sent again while it matters.
	Retry time.Duration
	// MaxWant bounds the slots asked for in one request.
	MaxWant int
}

// Size is one worker and its slots.
type Size struct {
	Worker string
	Slots  int
	// Pool groups the workers that may serve the same requests. Without a
	// pool, a worker is a group of its own.
	Pool string
}

// Usage is what a node does with one worker now.
type Usage struct {
	Worker string
	// InProgress counts this node's requests on the worker.
	InProgress int
	// Waiting counts the requests that a further slot of this worker would
	// start. While it isn't zero, the node asks for slots and lends none.
	Waiting int
}

// Ledger knows which slots of the zone's workers this node may use: its
// shares, less what it lent, and what it borrowed. It is not safe for
// concurrent use.
//
// Each lender and borrower count what was granted and returned in an epoch,
// only upwards, and each tells the other its own count. A lender gives up a
// slot before it tells the borrower, and a borrower before it tells the
// lender. So whatever is lost, repeated or late, the slots that the nodes of
// one epoch may use never add up to more than the worker has.
type Ledger struct {
	opts    Options
	self    string
	epoch   uint64
	members []string
	workers []*account
	byID    map[string]*account
	groups  []*group
}

// account is one worker in the ledger.
type account struct {
	Size
	group *group
	share int
	peers []peer
	usage Usage
	// idleSince is since when a borrowed slot has been idle.
	idleSince time.Time
	recalled  bool
}

// peer is what was exchanged with one other member about one worker.
type peer struct {
	id string
	// lent is what this node granted, lentBack what it knows to be returned.
	lent, lentBack uint64
	// borrowed is what this node knows to be granted to it, gaveBack what it
	// returned.
	borrowed, gaveBack uint64
	// toldAt is when it was last told of gaveBack, recalledAt when last asked.
	toldAt, recalledAt time.Time
	tellReturn         bool
}

// New returns a ledger of the node self, without workers.
func New(self string, opts Options) *Ledger {
	if opts.IdleReturn <= 0 {
		opts.IdleReturn = defaultIdleReturn
	}
	if opts.Retry <= 0 {
		opts.Retry = defaultRetry
	}
	if opts.MaxWant <= 0 {
		opts.MaxWant = defaultMaxWant
	}
	return &Ledger{opts: opts, self: self, byID: make(map[string]*account)}
}

// SetEpoch starts an entry epoch with its sorted members. All grants of the
// epoch before are void. An older epoch is ignored.
func (l *Ledger) SetEpoch(epoch uint64, members []string) {
	if epoch <= l.epoch {
		return
	}
	l.epoch = epoch
	l.members = slices.Clone(members)
	for i, a := range l.workers {
		l.workers[i] = l.open(a.Size)
		l.byID[a.Worker] = l.workers[i]
	}
	l.regroup()
}

// SetWorkers replaces the workers. One whose number of slots changed starts
// afresh.
func (l *Ledger) SetWorkers(sizes []Size) {
	next := make([]*account, 0, len(sizes))
	byID := make(map[string]*account, len(sizes))
	for _, size := range sizes {
		a := l.byID[size.Worker]
		if a == nil || a.Size != size {
			a = l.open(size)
		}
		next = append(next, a)
		byID[size.Worker] = a
	}
	l.workers = next
	l.byID = byID
	l.regroup()
}

func (l *Ledger) open(size Size) *account {
	a := &account{Size: size, usage: Usage{Worker: size.Worker}}
	a.share = Share(size.Worker, size.Slots, l.members, l.self)
	for _, id := range l.members {
		if id != l.self {
			a.peers = append(a.peers, peer{id: id})
		}
	}
	return a
}

// Epoch is the current epoch.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Usable is how many slots of a worker this node may use now.
func (l *Ledger) Usable(worker string) int {
	if a := l.byID[worker]; a != nil {
		return a.usable()
	}
	return 0
}

// Borrowed is how many slots of a worker this node holds from others.
func (l *Ledger) Borrowed(worker string) int {
	if a := l.byID[worker]; a != nil {
		return a.borrowed()
	}
	return 0
}

func (a *account) usable() int { return a.share - a.lent() + a.borrowed() }

func (a *account) lent() int {
	n := 0
	for i := range a.peers {
		n += int(a.peers[i].lent - a.peers[i].lentBack)
	}
	return n
}

func (a *account) borrowed() int {
	n := 0
	for i := range a.peers {
		n += int(a.peers[i].borrowed - a.peers[i].gaveBack)
	}
	return n
}

// idle is how many usable slots have nothing in progress.
func (a *account) idle() int { return max(0, a.usable()-a.usage.InProgress) }

func (a *account) peer(id string) *peer {
	for i := range a.peers {
		if a.peers[i].id == id {
			return &a.peers[i]
		}
	}
	return nil
}
