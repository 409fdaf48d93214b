package jobhost

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
	"wigeonwinch/node/pause"
)

// callerTries is how often callers send a job that gets no definite answer.
const callerTries = 5

// refusingStore is a store that refuses all appends while it is down.
type refusingStore struct {
	*depstest.Store
	down *atomic.Bool
}

func (s refusingStore) Append(ctx context.Context, a deps.Append) error {
	if s.down.Load() {
		return &deps.Error{Kind: deps.KindRefused, Call: "append"}
	}
	return s.Store.Append(ctx, a)
}

// While the store was away, an owner whose right had expired answered each submission at once
// that its outcome is unknown. Callers came back at once and had used up their tries before the
// store was back.
func TestSubmissionWaitsForItsOwnerToRegainItsRight(t *testing.T) {
	s := newTestSite(t, time.Minute)
	var down atomic.Bool
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = refusingStore{s.store, &down}
	h := runHost(t, cfg)
	require.Eventually(t, func() bool { return doJob(h, OpSubmit, 1).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	down.Store(true)
	require.Eventually(t, func() bool { return sinceMS(h.confirmedHeartbeat.Load().sentAt) > startWindow }, 20*time.Second, 20*time.Millisecond)
	require.Equal(t, reasonOwnershipExpired, doJob(h, OpSubmit, 2).Reason, "the store does not come back")
	answer := make(chan Result, 1)
	go func() {
		var res Result
		for range callerTries {
			if res = doJob(h, OpSubmit, 3); res.Outcome != Unknown {
				break
			}
		}
		answer <- res
	}()
	pause.For(context.Background(), ownerWait)
	down.Store(false)
	assert.Equal(t, Done, (<-answer).Outcome)
}
