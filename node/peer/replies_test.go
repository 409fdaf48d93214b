package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	methodSlowEcho uint16 = 950
	maxEchoDelay          = 400 * time.Millisecond
)

// serveSlowEcho returns the body of each call after up to maxEchoDelay.
func (n *testNode) serveSlowEcho(seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 9))
	n.Handle(methodSlowEcho, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		mu.Lock()
		delay := time.Duration(random.Int64N(int64(maxEchoDelay)))
		mu.Unlock()
		time.Sleep(delay)
		return body, nil
	})
}

// A caller must never get the answer to another call: a cancel would count as done
// that was not. Calls are given up, connections go silent, and nodes restart.
func TestReplyBelongsToItsCall(t *testing.T) {
	for seedNumber := range uint64(20) {
		t.Run(fmt.Sprint(seedNumber), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { callThroughFaults(t, seedNumber) })
		})
	}
}

func callThroughFaults(t *testing.T, seedNumber uint64) {
	random := rand.New(rand.NewPCG(seedNumber, 1))
	tc := newTestCluster(t)
	defer func() {
		tc.stop()
		time.Sleep(maxEchoDelay)
	}()
	client := tc.start(1, "north", 1, nil, seed(2, "north"))
	client.serveSlowEcho(seedNumber)
	tc.start(2, "north", 1, nil, seed(1, "north")).serveSlowEcho(seedNumber + 1)
	time.Sleep(5 * time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	answered, failed := 0, 0
	for i := range 2_000 {
		timeout := time.Duration(1+random.IntN(500)) * time.Millisecond
		from, to := client, "e-2"
		if random.IntN(2) == 0 {
			from, to = tc.nodes["e-2"], "e-1"
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			body := fmt.Sprint(i)
			reply, err := from.Call(ctx, to, methodSlowEcho, []byte(body))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			answered++
			assert.Equal(t, body, string(reply))
		})
		switch random.IntN(400) {
		case 0:
			tc.network.Silence(host(1), host(2))
		case 1:
			tc.network.Partition(host(1), host(2))
			time.Sleep(time.Duration(random.IntN(10)) * time.Second)
			tc.network.Heal(host(1), host(2))
		case 2:
			tc.nodes["e-2"].stop()
			tc.start(2, "north", uint64(i+2), nil, seed(1, "north")).serveSlowEcho(uint64(i))
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	calls.Wait()
	require.Positive(t, answered)
	require.Positive(t, failed)
}
