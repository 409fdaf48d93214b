package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// The limits of a relay.
const (
	// maxResultRows bounds the entries of one batch of results, well below the
	// size limit of a message.
	maxResultRows = 2000
	// maxWaitingResults bounds the results that wait for one owner. An owner that
	// takes none counts the oldest as unanswered.
	maxWaitingResults = 4096
	// resultTimeout limits the delivery of one batch of results.
	resultTimeout = 1500 * time.Millisecond
)

// relayServer executes the orders of owners on other nodes and returns the
// results. It decides nothing: the owner's epoch, the run numbers and the leases
// in the orders make a worker refuse what is no longer valid.
type relayServer struct {
	host *Host

	mu sync.Mutex
	// waiting holds the results to be delivered, by owner.
	waiting map[string]*waitingResults
}

type waitingResults struct {
	results    []orderResult
	delivering bool
}

func newRelayServer(h *Host) *relayServer {
	return &relayServer{host: h, waiting: map[string]*waitingResults{}}
}

// serveOrders starts the orders of a batch. The reply only says that the batch
// has arrived; results follow in messages of their own.
func (r *relayServer) serveOrders(_ context.Context, from string, body []byte) ([]byte, error) {
	var batch orderBatch
	if err := decMode.Unmarshal(body, &batch); err != nil {
		return nil, errors.Wrap(err, "a batch of orders can't be decoded")
	}
	receivedAt := monotonicMS()
	for i := range batch.Orders {
		r.begin(from, receivedAt, batch.Orders[i])
	}
	return nil, nil
}

// begin executes a poll, and queues other orders for their worker.
func (r *relayServer) begin(owner string, receivedAt int64, o relayedOrder) {
	if o.Kind == orderPoll {
		go r.execute(owner, receivedAt, o)
		return
	}
	r.host.orders.add(o.Worker, workerOrder{
		deadline: time.Now().Add(orderTimeout),
		send:     func() { r.execute(owner, receivedAt, o) },
		drop: func() {
			r.host.stats.bounds.count(reasonOrders, monotonicMS())
			r.addResult(owner, o.unsent())
		},
	})
}

// execute executes one order, unless this node was suspended since the order
// arrived for so long that its owner has given the order up.
func (r *relayServer) execute(owner string, receivedAt int64, o relayedOrder) {
	timeout := orderTimeout
	if o.Kind == orderPoll {
		timeout = time.Duration(o.WaitMS)*time.Millisecond + pollMargin
	}
	if sinceMS(receivedAt) > orderTimeout {
		r.host.record(events.RelayedOrderDropped, events.Fields{Peer: owner, VM: o.Worker, AgeMS: sinceMS(receivedAt).Milliseconds(), Epoch: o.Epoch})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout-sinceMS(receivedAt))
	defer cancel()
	r.addResult(owner, r.host.callWorker(ctx, o))
}

// callWorker makes the call to the worker and returns its result.
func (h *Host) callWorker(ctx context.Context, o relayedOrder) orderResult {
	res := orderResult{ID: o.ID}
	switch o.Kind {
	case orderPoll:
		h.stats.polls.Add(1)
		lists, err := h.cfg.Workers.Poll(ctx, o.poll())
		if err != nil {
			res.Outcome = string(shardPollError(err))
			return res
		}
		res.setResponse(lists)
	case orderStart:
		h.stats.starts.Add(1)
		result := h.cfg.Workers.Start(ctx, o.start())
		res.Outcome, res.ClockMS = string(result.Outcome), result.ClockMS
	case orderStop:
		err := h.cfg.Workers.Stop(ctx, shard.Stop{Target: o.target(), RunRef: o.runRef()})
		res.Answered, res.Fenced = err == nil, err != nil && deps.KindOf(err) == deps.KindFenced
	case orderPace:
		res.Answered = h.cfg.Workers.Pace(ctx, shard.Pace{Target: o.target(), RunRef: o.runRef(), Percent: o.Percent}) == nil
	}
	return res
}

// addResult queues a result for its owner.
func (r *relayServer) addResult(owner string, res orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.waiting[owner]
	if w == nil {
		w = &waitingResults{}
		r.waiting[owner] = w
	}
	if len(w.results) >= maxWaitingResults {
		w.results = w.results[1:]
	}
	w.results = append(w.results, res)
	if !w.delivering {
		w.delivering = true
		go r.deliver(owner, w)
	}
}

// deliver sends the results that wait for an owner, one batch after the other.
// While a batch is under way the next one grows, so a busy owner gets fewer and
// larger batches.
func (r *relayServer) deliver(owner string, w *waitingResults) {
	for {
		batch, ok := r.nextBatch(w)
		if !ok {
			return
		}
		body, err := encMode.Marshal(resultBatch{batch})
		if err != nil {
			r.host.record(events.RecordUnwritable, events.Fields{Peer: owner, Detail: "results of relayed orders", Err: err})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		_, err = r.host.mesh.Call(ctx, owner, methodResults, body)
		cancel()
		if err != nil {
			r.host.record(events.RequestPassedOn, events.Fields{Peer: owner, Detail: "results of relayed orders", Err: err})
		}
	}
}

func (r *relayServer) nextBatch(w *waitingResults) ([]orderResult, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(w.results) == 0 {
		w.delivering = false
		return nil, false
	}
	n, rows := 0, 0
	for n < len(w.results) && (n == 0 || rows+w.results[n].rows() <= maxResultRows) {
		rows += w.results[n].rows()
		n++
	}
	batch := w.results[:n:n]
	w.results = w.results[n:]
	return batch, true
}
