package jobhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/deps"
)

// A fleet controller that ended within the gap after another one counted as the only one before
// its successor, which acted at once on a VM on which the first one might just have acted.
func TestSecondTakeoverForgetsTheFirstFleetController(t *testing.T) {
	value, err := encMode.Marshal([]string{"vm"})
	require.NoError(t, err)
	controller := func(h *Host, s *ownedShard) *fleetController {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		s.ctx, s.cancel, s.ownedSince = ctx, cancel, monotonicMS()
		s.records, s.hadPredecessor = map[string][]byte{actionsKey: value}, true
		return newFleetController(h, s)
	}
	for name, end := range map[string]func(b *Host) heartbeatRecord{
		"it stops in order": func(b *Host) heartbeatRecord {
			b.leave()
			snapshot, err := b.cfg.Store.Newest(t.Context(), nodesPartition)
			require.NoError(t, err)
			var rec heartbeatRecord
			require.NoError(t, decMode.Unmarshal(snapshot.Records[0].Value, &rec))
			require.Positive(t, rec.ActionIdleMS)
			return rec
		},
		"it is killed and back at once": func(b *Host) heartbeatRecord {
			return heartbeatRecord{Node: "b", Incarnation: b.incarnation + 1, Sequence: 1, UptimeMS: 600}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, time.Millisecond)
			b, c := New(s.config("b", "127.0.0.2")), New(s.config("c", "127.0.0.3"))
			taken, err := b.takeOver(t.Context(), fleetPartition, observation{})
			require.NoError(t, err)
			owned := &ownedShard{partition: fleetPartition, epoch: taken.epoch, sequence: taken.sequence}
			b.owned[fleetPartition] = owned
			b.fleet = controller(b, owned)
			gapEnds := owned.ownedSince + b.cfg.TakeoverGapMS
			require.True(t, b.fleet.vmInTakeoverGap("vm", gapEnds-1), "another controller may have acted on the VM just now")
			c.applyHeartbeat(monotonicMS(), end(b))
			read, err := c.readPartition(t.Context(), fleetPartition)
			require.NoError(t, err)
			next := controller(c, &ownedShard{partition: fleetPartition, epoch: taken.epoch + 1})
			next.predecessorIdleMS = c.predecessorIdleMS(read.previous, monotonicMS())
			assert.True(t, next.vmInTakeoverGap("vm", gapEnds-1))
		})
	}
}

// A controller that has outlived the gap hands on how long nobody has acted.
func TestIdleTimeOfAFleetControllerIsHandedOn(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("c", "127.0.0.3"))
	previous := storedOwner{ownership{Topic: int(deps.TopicFleet), Epoch: 7, Node: "b", Incarnation: 3}, new(int64)}
	now := monotonicMS()
	h.nodes["b"] = &nodeState{heartbeatAt: now - 100, record: heartbeatRecord{Node: "b", Incarnation: 3, Leaving: true, ActionIdleMS: 2_000}}
	assert.EqualValues(t, 2_100, h.predecessorIdleMS(previous, now))
	left := int64(1)
	previous.EarlierLeaseMS = &left
	assert.Zero(t, h.predecessorIdleMS(previous, now))
}
