package slots

import (
	"slices"
	"time"
)

// Defaults of Options.
const (
	defaultIdleTimeout   = 2 * time.Second
	defaultRetryInterval = 200 * time.Millisecond
	defaultMaxRequested  = 4
)

// Options configures a Ledger. Zero fields take their defaults.
type Options struct {
	// IdleTimeout is how long a borrowed slot stays idle before it is returned.
	IdleTimeout time.Duration
	// RetryInterval is the interval at which a message is resent while it is
	// still needed.
	RetryInterval time.Duration
	// MaxRequested bounds the slots that one request asks for.
	MaxRequested int
}

// WorkerSlots is the number of slots of a worker.
type WorkerSlots struct {
	Worker string
	Slots  int
	// Pool identifies the workers that can serve the same requests. A worker
	// without a pool forms a group of its own.
	Pool string
}

// Usage is one node's current use of a worker.
type Usage struct {
	Worker string
	// InProgress is the number of this node's requests in progress on the
	// worker.
	InProgress int
	// Waiting is the number of requests that an additional slot of this worker
	// would start. While it is above zero, the node requests slots of the
	// worker's group and lends none.
	Waiting int
}

// Ledger tracks the slots of the zone's workers that this node may use: its
// shares, minus the slots it lent, plus the slots it borrowed. It is not safe
// for concurrent use.
//
// For each epoch, lenders and borrowers keep cumulative counts of granted and
// returned slots, and send these counts to each other. The counts never
// decrease. A lender stops using a slot before it sends the grant, and a
// borrower stops using a slot before it sends the return. Lost, duplicated and
// delayed messages therefore never make the usable slots of all nodes in one
// epoch exceed the slots of the worker.
type Ledger struct {
	opts     Options
	self     string
	epoch    uint64
	members  []string
	accounts []*account
	byWorker map[string]*account
	groups   []*group
}

// account is the state of one worker in the ledger.
type account struct {
	WorkerSlots
	group *group
	share int
	peers []peer
	usage Usage
	// idleSince is when a borrowed slot became idle; it is zero if none is
	// idle.
	idleSince time.Time
	// recalled is set when a lender has requested its slots back.
	recalled bool
}

// peer holds the exchange of one worker's slots with one other member. All
// counts are cumulative within the epoch.
type peer struct {
	id string
	// granted is the number of slots that this node granted to the peer, and
	// grantedReturned the number of those that the peer has returned.
	granted, grantedReturned uint64
	// received is the number of slots that the peer granted to this node, as
	// far as this node knows, and receivedReturned the number of those that
	// this node has returned.
	received, receivedReturned uint64
	// returnSentAt is when receivedReturned was last sent to the peer, and
	// recallSentAt when a recall was last sent.
	returnSentAt, recallSentAt time.Time
	// returnPending is set until the peer acknowledges receivedReturned.
	returnPending bool
}

// New returns a ledger without workers for the node self.
func New(self string, opts Options) *Ledger {
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.RetryInterval <= 0 {
		opts.RetryInterval = defaultRetryInterval
	}
	if opts.MaxRequested <= 0 {
		opts.MaxRequested = defaultMaxRequested
	}
	return &Ledger{opts: opts, self: self, byWorker: make(map[string]*account)}
}

// SetEpoch starts an entry epoch with its sorted members, which voids all
// grants of the previous epoch. It ignores an epoch that is not newer than the
// current one.
func (l *Ledger) SetEpoch(epoch uint64, members []string) {
	if epoch <= l.epoch {
		return
	}
	l.epoch = epoch
	l.members = slices.Clone(members)
	for i, a := range l.accounts {
		l.accounts[i] = l.newAccount(a.WorkerSlots)
		l.byWorker[a.Worker] = l.accounts[i]
	}
	l.regroup()
}

// SetWorkers replaces the workers. A worker whose number of slots changed gets a
// new account, which has lent and borrowed no slots. One whose pool changed keeps
// its account, because the peers may see the change earlier or later.
func (l *Ledger) SetWorkers(workers []WorkerSlots) {
	next := make([]*account, 0, len(workers))
	byWorker := make(map[string]*account, len(workers))
	for _, w := range workers {
		a := l.byWorker[w.Worker]
		if a == nil || a.Slots != w.Slots {
			a = l.newAccount(w)
		}
		a.WorkerSlots = w
		next = append(next, a)
		byWorker[w.Worker] = a
	}
	l.accounts = next
	l.byWorker = byWorker
	l.regroup()
}

func (l *Ledger) newAccount(w WorkerSlots) *account {
	a := &account{WorkerSlots: w, usage: Usage{Worker: w.Worker}}
	a.share = Share(w.Worker, w.Slots, l.members, l.self)
	for _, id := range l.members {
		if id != l.self {
			a.peers = append(a.peers, peer{id: id})
		}
	}
	return a
}

// Epoch returns the current epoch.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Usable returns how many slots of a worker this node may use now.
func (l *Ledger) Usable(worker string) int {
	if a := l.byWorker[worker]; a != nil {
		return a.usable()
	}
	return 0
}

// Borrowed returns how many slots of a worker this node currently borrows from
// its peers.
func (l *Ledger) Borrowed(worker string) int {
	if a := l.byWorker[worker]; a != nil {
		return a.borrowed()
	}
	return 0
}

func (a *account) usable() int { return a.share - a.lent() + a.borrowed() }

func (a *account) lent() int {
	n := 0
	for i := range a.peers {
		n += int(a.peers[i].granted - a.peers[i].grantedReturned)
	}
	return n
}

func (a *account) borrowed() int {
	n := 0
	for i := range a.peers {
		n += int(a.peers[i].received - a.peers[i].receivedReturned)
	}
	return n
}

// idle returns the number of usable slots without a request in progress.
func (a *account) idle() int { return max(0, a.usable()-a.usage.InProgress) }

func (a *account) peer(id string) *peer {
	for i := range a.peers {
		if a.peers[i].id == id {
			return &a.peers[i]
		}
	}
	return nil
}
