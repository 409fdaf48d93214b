package room

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// turnMS is how long each shard has the demand.
const turnMS = 4_500

// turns runs shards that ask in turn for more than the cap. It returns the longest time
// until four fifths of the cap are used by the shard whose turn has come, the share of
// the cap that is used after that, and the messages a second.
func turns(shards int) (longestMS int64, usedShare, messages float64) {
	limit := spec.Resources{MilliCPU: 60_000}
	w := newWorld(1, shards, limit)
	task := spec.Resources{MilliCPU: 1_500}
	const first, last = 2, 10
	samples := 0
	for turn := range last {
		o, began := w.owners[turn%shards], int64(turn)*turnMS
		reached := int64(0)
		for at := began; at < began+turnMS; at += 10 {
			w.after(at, func() {
				for len(o.waiting) < 60 {
					o.waiting = append(o.waiting, task)
				}
				used := times(task, len(o.running)).MilliCPU
				if reached == 0 && used*5 >= limit.MilliCPU*4 {
					reached = at
					longestMS = max(longestMS, at-began)
				}
				if reached != 0 && turn >= first {
					usedShare += float64(w.total().MilliCPU) / float64(limit.MilliCPU)
					samples++
				}
			})
		}
		w.after(began+turnMS-1, func() { o.waiting = nil })
	}
	w.run(last * turnMS)
	return longestMS, usedShare / float64(samples), float64(w.messages) / (last * turnMS / 1_000)
}

// The runs of the shard that had the demand before take up to 1.4 s to end; nothing is
// stopped. A fixed split would leave all but one part of the cap idle in each turn.
func TestRoomFollowsDemandInTurns(t *testing.T) {
	for _, shards := range []int{4, 16, 64} {
		t.Run(fmt.Sprint(shards), func(t *testing.T) {
			longestMS, used, messages := turns(shards)
			t.Logf("%d shards: 80 %% after %d ms, %.3f used, %.1f messages a second", shards, longestMS, used, messages)
			require.Less(t, longestMS, int64(2_000))
			require.Greater(t, used, 0.85)
			require.Less(t, messages, 30.0)
		})
	}
}

// A holder keeps its room while the arbiter can't hand out any, and gives it back once
// it can: else room that nobody uses would stay with a shard that asks for nothing.
func TestRoomIsKeptUntilTheArbiterGrants(t *testing.T) {
	caps := Caps{customer: {MilliCPU: 10_000}}
	task := spec.Resources{MilliCPU: 1_000}
	h, first := NewHolder(1, 5), NewArbiter(1, 0)
	h.SetCaps(1, caps)
	exchange := func(now int64, a *Arbiter, epoch int64) {
		if r, ok := h.Report(now, epoch); ok {
			answer, err := a.Handle(now, r)
			require.NoError(t, err)
			h.Apply(r.Sequence, answer)
		}
	}
	first.SetCaps(1, caps)
	first.SetRequired([]int{1})
	h.Wait(customer, task, 8)
	exchange(1_000, first, 1)
	h.BeginPass()
	held, _ := h.Held(customer)
	require.Equal(t, 8_000, held.MilliCPU)
	second := NewArbiter(2, 0)
	second.SetCaps(1, caps)
	second.SetRequired([]int{1, 2})
	now := int64(1_100)
	for ; now < 4_000; now += 50 {
		exchange(now, second, 2)
	}
	held, _ = h.Held(customer)
	require.Equal(t, 8_000, held.MilliCPU)
	_, err := second.Handle(now, Report{Shard: 2, Epoch: 6, Sequence: 1, Full: true})
	require.NoError(t, err)
	for ; now < 5_000; now += 50 {
		exchange(now, second, 2)
	}
	require.Zero(t, second.Held(customer))
}

// A holder that never had the version in which a customer had no cap kept the room that an
// arbiter had granted by that version, as if it were below the cap that came back.
func TestRoomOfASkippedVersionIsVoid(t *testing.T) {
	caps := Caps{"c": {MilliCPU: 1_000}}
	need := spec.Resources{MilliCPU: 100}
	h, a := NewHolder(1, 5), NewArbiter(1, 0)
	h.SetCaps(1, caps)
	a.SetCaps(2, Caps{})
	a.SetRequired([]int{1})
	for now := int64(0); now < 500; now += 100 {
		h.BeginPass()
		h.Wait("c", need, 10)
		if r, ok := h.Report(now, 1); ok {
			answer, err := a.Handle(now, r)
			require.NoError(t, err)
			h.Apply(r.Sequence, answer)
		}
	}
	require.True(t, h.Allows("c", need), "the arbiter knows of no cap")
	h.SetCaps(3, caps)
	require.False(t, h.Allows("c", need))
}
