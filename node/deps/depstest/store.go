// Package depstest provides in-memory implementations of the external services
// of package deps for tests.
package depstest

import (
	"context"
	"sort"
	"sync"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// dedupWindow is the number of most recent appends per partition whose repeats
// are recognized.
const dedupWindow = 5

// Store implements deps.Store.
type Store struct {
	mu         sync.Mutex
	partitions map[deps.Partition]*partition
	// Fail, if set, is called before each append. A non-nil error rejects the
	// append.
	Fail func(deps.Append) error
}

type partition struct {
	records []shard.Record
	epoch   int64
	// recent holds the last fenced appends by epoch and sequence.
	recent   []deps.Fence
	sequence int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{partitions: map[deps.Partition]*partition{}} }

func (s *Store) partition(p deps.Partition) *partition {
	if s.partitions[p] == nil {
		s.partitions[p] = &partition{}
	}
	return s.partitions[p]
}

// Append implements deps.Store.
func (s *Store) Append(_ context.Context, a deps.Append) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Fail != nil {
		if err := s.Fail(a); err != nil {
			return err
		}
	}
	p := s.partition(a.Partition)
	if a.Fence != nil {
		if done, err := p.checkFence(*a.Fence); done || err != nil {
			return err
		}
	}
	if a.ExpectedEnd != nil && *a.ExpectedEnd != int64(len(p.records)) {
		return &deps.Error{Kind: deps.KindConflict, Call: "append"}
	}
	p.records = append(p.records, a.Records...)
	if a.Fence != nil {
		p.epoch, p.sequence = a.Fence.Epoch, a.Fence.Sequence
		p.recent = append(p.recent, *a.Fence)
		if len(p.recent) > dedupWindow {
			p.recent = p.recent[1:]
		}
	}
	return nil
}

// checkFence reports whether a fenced append repeats an earlier one. It returns
// an error if the append must be rejected.
func (p *partition) checkFence(f deps.Fence) (repeated bool, err error) {
	for _, r := range p.recent {
		if r == f {
			return true, nil
		}
	}
	switch {
	case f.Epoch < p.epoch:
		return false, &deps.Error{Kind: deps.KindFenced, Call: "append"}
	case f.Epoch == p.epoch && f.Sequence != p.sequence+1:
		return false, &deps.Error{Kind: deps.KindSequence, Call: "append"}
	}
	return false, nil
}

// Newest implements deps.Store.
func (s *Store) Newest(_ context.Context, p deps.Partition) (deps.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	newest := map[string]shard.Record{}
	for _, r := range part.records {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	end := int64(len(part.records))
	snapshot := deps.Snapshot{EndAtStart: end, End: end}
	for _, r := range newest {
		snapshot.Records = append(snapshot.Records, r)
	}
	sort.Slice(snapshot.Records, func(i, j int) bool { return snapshot.Records[i].Key < snapshot.Records[j].Key })
	return snapshot, nil
}

// Read implements deps.Store.
func (s *Store) Read(ctx context.Context, p deps.Partition, from int64, wait time.Duration) ([]shard.Record, int64, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		part := s.partition(p)
		end := int64(len(part.records))
		records := append([]shard.Record(nil), part.records[min(from, end):]...)
		s.mu.Unlock()
		if len(records) > 0 || !time.Now().Before(deadline) {
			return records, end, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, from, &deps.Error{Kind: deps.KindUnknown, Call: "read", Err: ctx.Err()}
		}
	}
}
