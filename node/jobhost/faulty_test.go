package jobhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// maxLateExecution bounds how much later a call without an answer is executed.
const maxLateExecution = 2 * time.Second

// hostFaults are the faults of one host. The zero value has none.
type hostFaults struct {
	mu     sync.Mutex
	random *rand.Rand
	// noise reports whether single calls fail.
	noise bool
	// storeCut and peersCut report that nothing passes between the host and the
	// store, or other hosts.
	storeCut, peersCut bool
	// thawed is closed when the freeze ends; nil if the host is not frozen.
	thawed chan struct{}
}

// fate is what happens to one call.
type fate int

const (
	fateNormal fate = iota
	fateRefused
	// fateAnswerLost: the call is executed and its answer is lost.
	fateAnswerLost
	// fateLate: the call is executed up to maxLateExecution later, without an
	// answer.
	fateLate
)

// draw returns the fate of a call and how late it is executed.
func (f *hostFaults) draw() (fate, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.noise {
		return fateNormal, 0
	}
	late := time.Duration(f.random.Int64N(int64(maxLateExecution)))
	switch p := f.random.IntN(100); {
	case p < 3:
		return fateRefused, 0
	case p < 8:
		return fateAnswerLost, 0
	case p < 11:
		return fateLate, late
	}
	return fateNormal, 0
}

func (f *hostFaults) storeIsCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeCut
}

func (f *hostFaults) peersAreCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peersCut
}

func (f *hostFaults) setCut(store, peers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeCut, f.peersCut = store, peers
}

func (f *hostFaults) setNoise(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noise = on
}

// freeze holds up whatever the host sends, receives or decides until the returned
// function is called.
func (f *hostFaults) freeze(h *Host) (thaw func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	thawed := make(chan struct{})
	f.thawed = thawed
	go h.post(f.waitThawed)
	return func() {
		f.mu.Lock()
		f.thawed = nil
		f.mu.Unlock()
		close(thawed)
	}
}

func (f *hostFaults) waitThawed() {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// describe names the faults in force.
func (f *hostFaults) describe() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := "none"
	switch {
	case f.thawed != nil:
		text = "frozen"
	case f.storeCut && f.peersCut:
		text = "cut from store and peers"
	case f.storeCut:
		text = "cut from store"
	}
	return text
}

var errFault = errors.New("injected fault")

func unanswered(ctx context.Context, call string) error {
	<-ctx.Done()
	return &deps.Error{Kind: deps.KindUnknown, Call: call, Err: errFault}
}

// faultyStore is one host's connection to the store. onAppend sees each append
// that the store has executed.
type faultyStore struct {
	deps.Store
	faults   *hostFaults
	onAppend func(deps.Append)
}

func (s faultyStore) execute(ctx context.Context, a deps.Append) error {
	err := s.Store.Append(ctx, a)
	if err == nil {
		s.onAppend(a)
	}
	return err
}

func (s faultyStore) Append(ctx context.Context, a deps.Append) error {
	s.faults.waitThawed()
	if s.faults.storeIsCut() || ctx.Err() != nil {
		return unanswered(ctx, "append")
	}
	what, late := s.faults.draw()
	switch what {
	case fateRefused:
		return &deps.Error{Kind: deps.KindRefused, Call: "append", Err: errFault}
	case fateAnswerLost:
		_ = s.execute(ctx, a)
		return unanswered(ctx, "append")
	case fateLate:
		time.AfterFunc(late, func() { _ = s.execute(context.Background(), a) })
		return unanswered(ctx, "append")
	}
	err := s.execute(ctx, a)
	s.faults.waitThawed()
	if s.faults.storeIsCut() || ctx.Err() != nil {
		return unanswered(ctx, "append")
	}
	return err
}

func (s faultyStore) Newest(ctx context.Context, p deps.Partition) (deps.Snapshot, error) {
	s.faults.waitThawed()
	snapshot, err := s.Store.Newest(ctx, p)
	s.faults.waitThawed()
	if s.faults.storeIsCut() || ctx.Err() != nil {
		return deps.Snapshot{}, unanswered(ctx, "newest")
	}
	return snapshot, err
}

func (s faultyStore) Read(ctx context.Context, p deps.Partition, from int64, wait time.Duration) ([]shard.Record, int64, error) {
	s.faults.waitThawed()
	records, next, err := s.Store.Read(ctx, p, from, wait)
	s.faults.waitThawed()
	if s.faults.storeIsCut() || ctx.Err() != nil {
		return nil, from, unanswered(ctx, "read")
	}
	return records, next, err
}

// faultyWorkers is one host's connection to the workers. onStart sees each start
// that a worker has executed.
type faultyWorkers struct {
	deps.Workers
	faults  *hostFaults
	onStart func(shard.Start)
}

func (w faultyWorkers) execute(ctx context.Context, st shard.Start) shard.StartResult {
	result := w.Workers.Start(ctx, st)
	if result.Outcome == shard.StartAccepted {
		w.onStart(st)
	}
	return result
}

func (w faultyWorkers) Start(ctx context.Context, st shard.Start) shard.StartResult {
	w.faults.waitThawed()
	if ctx.Err() != nil {
		return shard.StartResult{Outcome: shard.StartNotSent}
	}
	what, late := w.faults.draw()
	switch what {
	case fateRefused:
		return shard.StartResult{Outcome: shard.StartWorkerUnhealthy}
	case fateAnswerLost:
		w.execute(ctx, st)
	case fateLate:
		time.AfterFunc(late, func() { w.execute(context.Background(), st) })
	default:
		return w.execute(ctx, st)
	}
	<-ctx.Done()
	return shard.StartResult{Outcome: shard.StartUnanswered}
}

func (w faultyWorkers) Stop(ctx context.Context, st shard.Stop) error {
	w.faults.waitThawed()
	switch what, _ := w.faults.draw(); what {
	case fateNormal:
		return w.Workers.Stop(ctx, st)
	case fateRefused:
		return &deps.Error{Kind: deps.KindRefused, Call: "stop", Err: errFault}
	case fateAnswerLost:
		_ = w.Workers.Stop(ctx, st)
	}
	return unanswered(ctx, "stop")
}

func (w faultyWorkers) Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error) {
	w.faults.waitThawed()
	lists, err := w.Workers.Poll(ctx, p)
	w.faults.waitThawed()
	if ctx.Err() != nil {
		return shard.PollResponse{}, unanswered(ctx, "poll")
	}
	return lists, err
}
