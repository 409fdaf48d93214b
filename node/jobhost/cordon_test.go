package jobhost

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// A report was still read by a caller that had given it up while the control loop wrote
// it. The race detector shows it.
func TestReportThatIsGivenUpIsNotRead(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	h.owned[part] = &ownedShard{partition: part, epoch: 5, core: shard.New(shard.Config{Epoch: 5}, monotonicMS(), wallMS())}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := h.applyCordons(ctx, part, cordonMessage{Partition: part.Index, Epoch: 1}); err != nil {
			assert.Empty(t, response)
		}
	}()
	setCordons := <-h.inbox
	cancel()
	// The caller gives up meanwhile. Waiting for it would order its read before the write.
	time.Sleep(20 * time.Millisecond)
	setCordons()
	<-ended
}

// The shard of a VM got another owner while the action on the VM was announced, and the
// VM was moved and maintained by the report of the former owner.
func TestActionsEndWithTheOwnerThatReported(t *testing.T) {
	ctx := context.Background()
	c, vms := newSuccessorController(t, []string{}, true)
	c.vms["vm"] = deps.VM{ID: "vm", Pool: "s", State: deps.VMUp, Worker: "w"}
	c.workerReports["w"] = workerReport{WorkerStat: shard.WorkerStat{ID: "w", Drained: true}, at: monotonicMS(), epoch: 5}
	moves := func() []vmMove { return []vmMove{{"vm", "spare"}} }
	maintain := func() []upkeep.Action { return []upkeep.Action{{VM: "vm", Wave: 1}} }
	claim := func(epoch int64) {
		part := c.host.partitionOf("s")
		require.NoError(t, c.host.runOnLoop(ctx, func() {
			c.host.applyAnnouncement(ownership{Topic: int(part.Topic), Index: part.Index, Epoch: epoch, Node: "owner", Incarnation: 1})
		}))
	}
	claim(5)
	c.verifyAndAnnounce(ctx, maintain(), moves())
	claim(6)
	c.startMoves(ctx, moves())
	c.startMaintenance(ctx, maintain())
	assert.Zero(t, vms.moved)
	assert.Zero(t, vms.maintained)
	c.workerReports["w"] = workerReport{WorkerStat: shard.WorkerStat{ID: "w", Drained: true}, at: monotonicMS(), epoch: 6}
	c.startMoves(ctx, moves())
	assert.Equal(t, 1, vms.moved)
}

// oneVM is a fleet of one VM.
type oneVM struct{ *countingVMs }

func (oneVM) List(context.Context) ([]deps.VM, error) {
	return []deps.VM{{ID: "vm", Pool: "s", State: deps.VMUp, Worker: "w-0"}}, nil
}

// The checks of reports and of lists of VMs must not keep a fleet controller from carrying
// out a wave.
func TestWaveOfSoundShardIsCompleted(t *testing.T) {
	cfg := newTestSite(t, time.Minute).config("a", "127.0.0.1")
	vms := &countingVMs{}
	cfg.VMs = oneVM{vms}
	h := runHost(t, cfg)
	require.NoError(t, h.runOnLoop(context.Background(), func() {
		h.waves[1] = &deps.Wave{Number: 1, VMs: []string{"vm"}, Duration: time.Minute, MaxDown: 1}
		h.waveSeenAt[1] = monotonicMS()
	}))
	require.Eventually(t, func() bool {
		snapshot, err := cfg.Store.Newest(context.Background(), fleetPartition)
		return err == nil && slices.ContainsFunc(snapshot.Records, func(r shard.Record) bool { return r.Key == "w/1" })
	}, 20*time.Second, 20*time.Millisecond)
	vms.mu.Lock()
	defer vms.mu.Unlock()
	assert.Equal(t, 1, vms.maintained)
}
