package jobhost

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/homes"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

const (
	// homesKeepMargin is added to the retention of final jobs: a submission that
	// arrives again later than that is a new job in any shard.
	homesKeepMargin = time.Minute
	// homesRetryDelay is how long submissions are answered at once after the book
	// of homes could not be read or written.
	homesRetryDelay = 250 * time.Millisecond
	// refreshAttempts reads of the book, refreshRetryDelay apart, outlast the usual
	// outages of the store. The next configuration or takeover begins anew.
	refreshAttempts   = 10
	refreshRetryDelay = time.Second
)

var (
	homesPartition = deps.Partition{Topic: deps.TopicHomes}

	errHomesUnavailable = errors.New("the book of homes could not be read or written a moment ago")
)

// queueHomes is this node's copy of the book of homes. Owners of shards use it
// before they accept jobs, and all nodes before they report a job as missing.
type queueHomes struct {
	host *Host
	// turn holds one element while the book is read or written.
	turn chan struct{}

	mu    sync.Mutex
	book  *homes.Book
	basis homesBasis
	// reads numbers the reads of the book in the order in which they were sent. bookRead
	// is the number of the read that gave the copy.
	reads, bookRead uint64
	// failedAt is when the store last failed; 0 if it did not since the last
	// success.
	failedAt int64
	// shards are the shards in the book as it was last read.
	shards atomic.Pointer[[]int]
}

// homesBasis is what a copy of the book was read for. With another configuration
// or after another takeover it is read again: queues may have moved meanwhile.
type homesBasis struct {
	version int64
	owned   []ownership
}

// epoch returns the epoch in which this node owns a shard; 0 if it does not.
func (b homesBasis) epoch(p deps.Partition) int64 {
	for _, o := range b.owned {
		if o.partition() == p {
			return o.Epoch
		}
	}
	return 0
}

// ownsShard reports whether this node owns a shard, which is what entitles it to enter
// the shard in the book.
func (q *queueHomes) ownsShard(p deps.Partition) bool { return q.currentBasis().epoch(p) != 0 }

func newQueueHomes(h *Host) *queueHomes { return &queueHomes{host: h, turn: make(chan struct{}, 1)} }

func (q *queueHomes) currentBasis() homesBasis {
	b := homesBasis{owned: q.host.ownedView.Load().claims}
	if cfg := q.host.config.Load(); cfg != nil {
		b.version = cfg.Version
	}
	return b
}

// refresh reads the book after a takeover or a change of the configuration, before
// requests need it and to learn which shards need an owner. It tries again while the
// store does not answer.
func (q *queueHomes) refresh() {
	for range refreshAttempts {
		err := q.readAhead()
		if err == nil {
			return
		}
		q.host.record(events.QueueHomeUnknown, events.Fields{Detail: "read ahead", Err: err})
		time.Sleep(refreshRetryDelay)
	}
}

// refreshUntilRead refreshes the book until it was read once or ctx ends.
func (q *queueHomes) refreshUntilRead(ctx context.Context) {
	for q.refresh(); ctx.Err() == nil && !q.known(); q.refresh() {
		pause.For(ctx, refreshRetryDelay)
	}
}

// known reports whether the book was ever read.
func (q *queueHomes) known() bool { return q.shards.Load() != nil }

func (q *queueHomes) readAhead() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	select {
	case q.turn <- struct{}{}:
		defer func() { <-q.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	basis := q.currentBasis()
	book, err := q.read(ctx)
	if err == nil {
		q.keep(book, basis)
	}
	return err
}

// keep replaces the copy of the book by the one that was read last.
func (q *queueHomes) keep(book *homes.Book, basis homesBasis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book, q.basis, q.bookRead, q.failedAt = book, basis, q.reads, 0
	shards := book.AllShards()
	q.shards.Store(&shards)
}

// shardsWithJobs returns the shards that may hold jobs, as the book was last read.
func (q *queueHomes) shardsWithJobs() []int {
	if shards := q.shards.Load(); shards != nil {
		return *shards
	}
	return nil
}

// earlierHomes returns the other shards that may hold jobs of a queue. If enter is
// true, as it must be before the given shard accepts a job, it stores that shard as the
// queue's home first if it is not.
func (q *queueHomes) earlierHomes(ctx context.Context, queue string, p deps.Partition, enter bool) ([]deps.Partition, error) {
	if earlier, ok, err := q.fromCopy(queue, p, enter); ok || err != nil {
		return earlier, err
	}
	select {
	case q.turn <- struct{}{}:
		defer func() { <-q.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if earlier, ok, err := q.fromCopy(queue, p, enter); ok || err != nil {
		return earlier, err
	}
	return q.fromStore(ctx, queue, p, enter)
}

// fromCopy answers from the copy if it is current. It returns an error if the store
// has just failed.
func (q *queueHomes) fromCopy(queue string, p deps.Partition, enter bool) (earlier []deps.Partition, ok bool, err error) {
	now := q.currentBasis()
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.book != nil && q.basis.version == now.version && q.basis.epoch(p) == now.epoch(p)
	if current && (!enter || q.book.Settled(queue, p.Index)) {
		return q.partitions(q.book, queue, p), true, nil
	}
	return nil, false, q.recentFailure()
}

// recentFailure returns an error if the store has just failed. The caller holds the lock.
func (q *queueHomes) recentFailure() error {
	if q.failedAt != 0 && sinceMS(q.failedAt) < homesRetryDelay {
		return errHomesUnavailable
	}
	return nil
}

func (q *queueHomes) partitions(book *homes.Book, queue string, p deps.Partition) []deps.Partition {
	keepMS := q.host.cfg.StatusRetentionMS + homesKeepMargin.Milliseconds()
	var list []deps.Partition
	for _, index := range book.Earlier(queue, p.Index, wallMS(), keepMS) {
		list = append(list, deps.Partition{Topic: p.Topic, Index: index})
	}
	return list
}

// fromStore reads the book, after it has made the shard the queue's home if enter is
// true.
func (q *queueHomes) fromStore(ctx context.Context, queue string, p deps.Partition, enter bool) ([]deps.Partition, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	basis := q.currentBasis()
	book, err := q.read(ctx)
	if err == nil && enter && !book.Settled(queue, p.Index) {
		if err = q.write(ctx, book.Next(queue, p.Index, wallMS())); err == nil {
			book, err = q.read(ctx)
		}
	}
	if err != nil {
		q.noteFailure(events.Fields{Detail: "queue=" + queue, Shard: p.Index, Err: err})
		return nil, err
	}
	q.keep(book, basis)
	return q.partitions(book, queue, p), nil
}

func (q *queueHomes) noteFailure(f events.Fields) {
	q.mu.Lock()
	q.failedAt = monotonicMS()
	q.mu.Unlock()
	q.host.record(events.QueueHomeUnknown, f)
}

// readsSent returns the number of reads of the book that have been sent so far.
func (q *queueHomes) readsSent() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reads
}

// allHomes returns all shards that may hold jobs of a queue, from a read of the book
// that was sent after the given number of reads. Calls that wait for the same read share it.
func (q *queueHomes) allHomes(ctx context.Context, queue string, after uint64) ([]deps.Partition, error) {
	select {
	case q.turn <- struct{}{}:
		defer func() { <-q.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	book, err := q.bookReadAfter(ctx, after)
	if err != nil {
		return nil, err
	}
	var list []deps.Partition
	for _, index := range book.Shards(queue) {
		list = append(list, deps.Partition{Topic: deps.TopicJobs, Index: index})
	}
	return list, nil
}

// bookReadAfter returns the copy of the book if it is from a read that was sent after the
// given number of reads, and otherwise reads the book. The caller holds the turn.
func (q *queueHomes) bookReadAfter(ctx context.Context, after uint64) (*homes.Book, error) {
	q.mu.Lock()
	book, fresh, err := q.book, q.bookRead > after, q.recentFailure()
	q.mu.Unlock()
	if fresh || err != nil {
		return book, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	basis := q.currentBasis()
	if book, err = q.read(ctx); err != nil {
		q.noteFailure(events.Fields{Detail: "read for a job that was not found", Err: err})
		return nil, err
	}
	q.keep(book, basis)
	return book, nil
}

func (q *queueHomes) read(ctx context.Context) (*homes.Book, error) {
	q.mu.Lock()
	q.reads++
	q.mu.Unlock()
	q.host.stats.storeReads.Add(1)
	snapshot, err := q.host.cfg.Store.Newest(ctx, homesPartition)
	if err != nil {
		return nil, err
	}
	book := &homes.Book{}
	for _, r := range snapshot.Records {
		home, err := homes.Decode(r.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "record %s", r.Key)
		}
		book.Add(home)
	}
	return book, nil
}

func (q *queueHomes) write(ctx context.Context, home homes.Home) error {
	value, err := home.Encode()
	if err != nil {
		return err
	}
	q.host.stats.storeWrites.Add(1)
	err = q.host.cfg.Store.Append(ctx, deps.Append{Partition: homesPartition, Records: []shard.Record{{Key: home.Key(), Value: value}}})
	if err == nil {
		q.host.record(events.QueueHomeStored, events.Fields{Detail: fmt.Sprintf("queue=%s since_ms=%d", home.Queue, home.SinceMS), Shard: home.Shard})
	}
	return err
}

// askEarlierHomes looks for a submitted job in the shards that held its queue
// before. It returns the answer to the caller, or false if none of them has the job;
// they will not accept it any more. Where that can't be found out the answer is not
// that the job won't run: an earlier shard may have it.
func (h *Host) askEarlierHomes(ctx context.Context, p deps.Partition, r Request) (Result, bool) {
	if !h.homes.ownsShard(p) {
		return Result{Outcome: notOwner, Reason: "not_owner"}, true
	}
	if !h.shardHasQueue(ctx, p, r.Queue) {
		return h.acceptedOnly(ctx, p, r), true
	}
	earlier, err := h.homes.earlierHomes(ctx, r.Queue, p, true)
	if err != nil {
		return h.unlessOwn(ctx, p, r, "queue_home_unknown")
	}
	for _, other := range earlier {
		res := h.doAtOwner(ctx, other, Request{Op: OpYield, Queue: r.Queue, ID: r.ID, Customer: r.submittedFor()})
		switch res.Outcome {
		case Missing:
		case Taken:
			return res, true
		case Done:
			return Result{Outcome: Done, Reason: "accepted_before_the_queue_moved"}, true
		default:
			return h.unlessOwn(ctx, p, r, "earlier_service_"+res.Reason)
		}
	}
	return Result{}, false
}

// shardHasQueue reports whether this node's shard accepts jobs of a queue by its own
// configuration. Otherwise the earlier shards must not be asked to leave a job to it.
func (h *Host) shardHasQueue(ctx context.Context, p deps.Partition, queue string) bool {
	has := false
	err := h.runOnLoop(ctx, func() {
		if s := h.owned[p]; s != nil && s.core != nil {
			has = s.core.HasQueue(queue)
		}
	})
	return err == nil && has
}

// acceptedOnly answers a submission to a shard that must not accept it: it may have
// accepted the job before.
func (h *Host) acceptedOnly(ctx context.Context, p deps.Partition, r Request) Result {
	if res := h.readLocal(ctx, p, Request{Op: OpShow, Queue: r.Queue, ID: r.ID, Customer: r.Customer, Credential: r.Credential}); res.Outcome == Done {
		return Result{Outcome: Done, By: res.By}
	}
	return Result{Outcome: Unknown, Reason: "queue_of_another_shard"}
}

// addEarlierHomes adds the queue's jobs in earlier shards to the answer of a request
// that counts or lists them. Without all of these shards the answer would be too low.
func (h *Host) addEarlierHomes(ctx context.Context, p deps.Partition, r Request, res Result) Result {
	earlier, err := h.homes.earlierHomes(ctx, r.Queue, p, false)
	if err != nil {
		return Result{Outcome: Unavailable, RetryAfterMS: unavailableRetryMS, Reason: "queue_home_unknown"}
	}
	r.ShardOnly = true
	for _, other := range earlier {
		more := h.tryOwner(ctx, other, r)
		if more.Outcome == Unauthorized {
			return more
		}
		if more.Outcome != Done {
			h.record(events.RequestPassedOn, events.Fields{Detail: opNames[r.Op] + " in an earlier shard: " + more.Reason, Shard: other.Index})
			return Result{Outcome: Unavailable, RetryAfterMS: unavailableRetryMS, Reason: "earlier_service_" + more.Reason}
		}
		res.Waiting += more.Waiting
		if r.Limit > len(res.Jobs) {
			res.Jobs = append(res.Jobs, more.Jobs[:min(len(more.Jobs), r.Limit-len(res.Jobs))]...)
		}
	}
	return res
}

// unlessOwn returns false if this node's shard has the job, and otherwise the answer
// that nobody knows.
func (h *Host) unlessOwn(ctx context.Context, p deps.Partition, r Request, reason string) (Result, bool) {
	if res := h.readLocal(ctx, p, Request{Op: OpShow, ID: r.ID}); res.Outcome == Done {
		return Result{}, false
	}
	return Result{Outcome: Unknown, Reason: reason}, true
}
