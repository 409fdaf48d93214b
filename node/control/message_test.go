package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra/standin"
	"wigeonwinch/node/events"
)

// FuzzPeerMessages passes arbitrary bytes from a peer to every handler. No
// handler may panic, and the offset of the state may advance only by records
// that follow it.
func FuzzPeerMessages(f *testing.F) {
	good, err := structs.EncodeRecord(structs.Record{Key: "k", Writer: "w", Lease: &structs.Lease{Scope: "s", Epoch: 1, Holder: "w", TTLMS: 1}})
	require.NoError(f, err)
	for _, message := range []any{
		report{Next: 7, KnownEpoch: 2, Joining: true, Digest: 9, DigestAt: 256},
		pullRequest{From: 1 << 62},
		records{From: 0, Data: [][]byte{good}, Next: 1},
		records{From: 1 << 63, Data: [][]byte{good}, Next: 1},
		stateRequest{Next: 3, Part: -1},
		appendRequest{Entries: [][]byte{good}},
		probeRequest{Addresses: []string{"10.0.0.1:1"}},
	} {
		f.Add(encode(message))
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		l := New(Config{Node: "e-1", Zone: "north", Log: standin.NewLog(standin.LogOptions{}), Prober: healthyProber{}})
		l.started = time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		l.runCtx = ctx
		go l.runOwner(ctx)
		defer cancel()
		for _, handle := range []func(context.Context, string, []byte) ([]byte, error){
			l.handleExchange, l.handlePull, l.handleRecords, l.handleState, l.handleProbe, l.handleAppend,
		} {
			_, _ = handle(ctx, "e-2", body)
		}
		message, err := decode[records](body)
		var next structs.Offset
		l.postAndWait(ctx, func() { next = l.state.Next() })
		if err != nil || message.From > 0 {
			require.Zero(t, next)
		}
		require.LessOrEqual(t, int(next), len(message.Data))
	})
}

func TestDivergedStateIsAViolationAndEndsPlanning(t *testing.T) {
	counter := &eventCounter{counts: make(map[events.Number]int)}
	l := New(Config{Node: "e-1", Zone: "north", Events: counter})
	l.digests.offsets = []structs.Offset{256}
	l.digests.digests = []uint64{1}
	l.compareDigest("e-2", report{DigestAt: 256, Digest: 1})
	require.False(t, l.diverged)
	l.compareDigest("e-2", report{DigestAt: 512, Digest: 2})
	require.False(t, l.diverged, "an offset without a digest of this node is not compared")
	l.compareDigest("e-2", report{DigestAt: 256, Digest: 2})
	require.True(t, l.diverged)
	require.False(t, l.mayPlan(&structs.View{Generation: 1}))
	require.Equal(t, 1, counter.count(events.ControlInvariantBroken))
}
