package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

const (
	waveName = "worker-2026-12"
	newImage = "worker-2026-12"
)

func (h *harness) drainForWave(id string) structs.Record {
	rec := h.transition(id, structs.VMDraining)
	rec.Transition.Wave = waveName
	return rec
}

// enterProbation moves a VM that is out of service to probation on an image.
func (h *harness) enterProbation(id, image string) {
	h.t.Helper()
	rec := h.transition(id, structs.VMProbation)
	rec.Transition.Image = image
	h.requireApplied("n1", rec)
}

func (h *harness) wave() structs.WaveStatus {
	return h.s.View().Waves[waveName]
}

// rebootForWave takes an active VM through its drain to rebooting for the wave.
func (h *harness) rebootForWave(id string) {
	h.t.Helper()
	h.requireApplied("n1", h.drainForWave(id))
	for _, m := range h.s.View().EntryEpochs[h.vm(id).Zone].Members {
		h.requireApplied(m.Node, h.ack(id, m.Node, m.Incarnation))
	}
	h.requireApplied("n1", h.transition(id, structs.VMDrained))
	h.requireApplied("n1", h.transition(id, structs.VMRebooting))
}

func (h *harness) failProbation(id string) {
	h.t.Helper()
	rec := h.transition(id, structs.VMFailed)
	rec.Transition.FailedProbation = true
	h.requireApplied("n1", rec)
}

func TestWaveCountsEachVMOnce(t *testing.T) {
	h := newHarness(t)
	h.rebootForWave("intake-01")
	h.enterProbation("intake-01", newImage)
	h.requireApplied("n1", h.transition("intake-01", structs.VMActive))
	require.Equal(t, 1, h.wave().Returned)
	h.requireApplied("n1", h.transition("intake-01", structs.VMFailed))
	h.enterProbation("intake-01", newImage)
	h.requireApplied("n1", h.transition("intake-01", structs.VMActive))
	require.Equal(t, 1, h.wave().Returned)
}

func TestWaveCountsUnplannedRestartsOnTheNewImage(t *testing.T) {
	h := newHarness(t)
	for id, image := range map[string]string{"intake-01": newImage, "survey-01": "worker-2026-11"} {
		h.requireApplied("n1", h.transition(id, structs.VMFailed))
		h.enterProbation(id, image)
		h.requireApplied("n1", h.transition(id, structs.VMActive))
	}
	require.Equal(t, 1, h.wave().Returned)
}

func TestWaveCountsFailedProbation(t *testing.T) {
	h := newHarness(t)
	h.rebootForWave("intake-01")
	h.enterProbation("intake-01", newImage)
	h.failProbation("intake-01")
	h.rebootForWave("survey-01")
	h.enterProbation("survey-01", "worker-2026-11")
	h.failProbation("survey-01")
	h.rebootForWave("structure-01")
	h.requireApplied("n1", h.transition("structure-01", structs.VMFailed))
	require.Equal(t, 2, h.wave().FailedProbation)
	require.Equal(t, 0, h.wave().Returned)
}

func TestWaveStop(t *testing.T) {
	h := newHarness(t)
	stop := structs.Record{WaveStop: &structs.WaveStop{Wave: waveName, Reason: "3 of 4 failed", LeaseScope: "fleet", LeaseEpoch: 1}}
	h.requireVoid(structs.VoidNotHolder, "n2", stop)
	h.requireApplied("n1", h.drainForWave("intake-01"))
	h.requireApplied("n1", stop)
	h.requireVoid(structs.VoidStale, "n1", stop)
	h.requireVoid(structs.VoidInvalid, "n1", h.drainForWave("survey-01"))
	require.Equal(t, structs.VMDraining, h.vm("intake-01").State)
	h.requireApplied("pipeline", h.publish(editedWave(h, func(w *structs.Wave) { w.MaxFailedPercent = 50 })))
	require.Equal(t, "3 of 4 failed", h.wave().Stopped)
	h.requireApplied("pipeline", h.publish(editedWave(h, func(w *structs.Wave) { w.Image = "worker-2027-01" })))
	require.Empty(t, h.wave().Stopped)
	require.Zero(t, h.wave().Returned)
}

func TestWaveDrainsOnlyItsVMs(t *testing.T) {
	tests := []struct {
		name string
		edit func(*structs.Wave)
		want structs.VoidReason
	}{
		{"all pools", func(*structs.Wave) {}, structs.VoidNone},
		{"paused", func(w *structs.Wave) { w.Paused = true }, structs.VoidInvalid},
		{"another pool", func(w *structs.Wave) { w.Pools = []string{"survey"} }, structs.VoidInvalid},
		{"its pool", func(w *structs.Wave) { w.Pools = []string{"intake"} }, structs.VoidNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.requireApplied("pipeline", h.publish(editedWave(h, func(w *structs.Wave) { w.MaxFailedPercent++; tt.edit(w) })))
			verdict := h.apply("n1", h.drainForWave("intake-01"))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

// failAfterReturn reboots a VM into the new image, lets it pass probation, and
// then fails it.
func (h *harness) failAfterReturn(id string) {
	h.t.Helper()
	h.rebootForWave(id)
	h.enterProbation(id, newImage)
	h.requireApplied("n1", h.transition(id, structs.VMActive))
	h.requireApplied("n1", h.transition(id, structs.VMFailed))
}

func TestWaveCountsDropDeletedVMs(t *testing.T) {
	h := newHarness(t)
	h.failAfterReturn("survey-01")
	h.requireApplied("pipeline", h.publish(deletion(structs.ItemVM, "survey-01")))
	require.Zero(t, h.wave().Returned)
	require.Equal(t, restoredCopy(t, h.s).progress, h.s.progress)
}

// A wave must keep its counts if a publish that deletes a counted VM is refused
// because of another change: the rollback must restore them.
func TestRefusedPublishKeepsWaveCounts(t *testing.T) {
	h := newHarness(t)
	h.failAfterReturn("survey-01")
	bad := editedWave(h, func(w *structs.Wave) { w.Image = "other"; w.Window = "noon" })
	h.requireVoid(structs.VoidInvalid, "pipeline", h.publish(bad, deletion(structs.ItemVM, "survey-01")))
	require.Equal(t, 1, h.wave().Returned)
	require.Equal(t, restoredCopy(t, h.s).progress, h.s.progress)
	require.Equal(t, restoredCopy(t, h.s).index, h.s.index)
}
