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

func (b *bench) takeForWave(id string) structs.Record {
	rec := b.step(id, structs.VMDraining)
	rec.Transition.Wave = waveName
	return rec
}

// comeBack leads a VM that is out to probation on an image.
func (b *bench) comeBack(id, image string) {
	b.t.Helper()
	rec := b.step(id, structs.VMProbation)
	rec.Transition.Image = image
	b.ok("n1", rec)
}

func (b *bench) wave() structs.WaveStatus {
	return b.s.View().Waves[waveName]
}

// reboot leads an active VM to rebooting for the wave.
func (b *bench) reboot(id string) {
	b.t.Helper()
	b.ok("n1", b.takeForWave(id))
	for _, m := range b.s.View().Entry[b.vm(id).Zone].Members {
		b.ok(m.Node, b.ack(id, m.Node, m.Incarnation))
	}
	b.ok("n1", b.step(id, structs.VMDrained))
	b.ok("n1", b.step(id, structs.VMRebooting))
}

func (b *bench) failProbation(id string) {
	b.t.Helper()
	rec := b.step(id, structs.VMFailed)
	rec.Transition.FailedProbation = true
	b.ok("n1", rec)
}

func TestWaveCountsEachVMOnce(t *testing.T) {
	b := newBench(t)
	b.reboot("intake-01")
	b.comeBack("intake-01", newImage)
	b.ok("n1", b.step("intake-01", structs.VMActive))
	require.Equal(t, 1, b.wave().Returned)
	b.ok("n1", b.step("intake-01", structs.VMFailed))
	b.comeBack("intake-01", newImage)
	b.ok("n1", b.step("intake-01", structs.VMActive))
	require.Equal(t, 1, b.wave().Returned)
}

func TestWaveCountsUnplannedRestartsOnTheNewImage(t *testing.T) {
	b := newBench(t)
	for id, image := range map[string]string{"intake-01": newImage, "survey-01": "worker-2026-11"} {
		b.ok("n1", b.step(id, structs.VMFailed))
		b.comeBack(id, image)
		b.ok("n1", b.step(id, structs.VMActive))
	}
	require.Equal(t, 1, b.wave().Returned)
}

func TestWaveCountsFailedProbation(t *testing.T) {
	b := newBench(t)
	b.reboot("intake-01")
	b.comeBack("intake-01", newImage)
	b.failProbation("intake-01")
	b.reboot("survey-01")
	b.comeBack("survey-01", "worker-2026-11")
	b.failProbation("survey-01")
	b.reboot("structure-01")
	b.ok("n1", b.step("structure-01", structs.VMFailed))
	require.Equal(t, 2, b.wave().FailedProbation)
	require.Equal(t, 0, b.wave().Returned)
}

func TestWaveStop(t *testing.T) {
	b := newBench(t)
	stop := structs.Record{WaveStop: &structs.WaveStop{Wave: waveName, Reason: "3 of 4 failed", LeaseScope: "fleet", LeaseEpoch: 1}}
	b.void(structs.VoidNotHolder, "n2", stop)
	b.ok("n1", b.takeForWave("intake-01"))
	b.ok("n1", stop)
	b.void(structs.VoidStale, "n1", stop)
	b.void(structs.VoidInvalid, "n1", b.takeForWave("survey-01"))
	require.Equal(t, structs.VMDraining, b.vm("intake-01").State)
	b.ok("pipeline", b.publish(editedWave(b, func(w *structs.Wave) { w.MaxFailedPercent = 50 })))
	require.Equal(t, "3 of 4 failed", b.wave().Stopped)
	b.ok("pipeline", b.publish(editedWave(b, func(w *structs.Wave) { w.Image = "worker-2027-01" })))
	require.Empty(t, b.wave().Stopped)
	require.Zero(t, b.wave().Returned)
}

func TestWaveTakesOnlyItsVMs(t *testing.T) {
	tests := []struct {
		name string
		edit func(*structs.Wave)
		want structs.Void
	}{
		{"all pools", func(*structs.Wave) {}, structs.VoidNone},
		{"paused", func(w *structs.Wave) { w.Paused = true }, structs.VoidInvalid},
		{"another pool", func(w *structs.Wave) { w.Pools = []string{"survey"} }, structs.VoidInvalid},
		{"its pool", func(w *structs.Wave) { w.Pools = []string{"intake"} }, structs.VoidNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.ok("pipeline", b.publish(editedWave(b, func(w *structs.Wave) { w.MaxFailedPercent++; tt.edit(w) })))
			verdict := b.apply("n1", b.takeForWave("intake-01"))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

// failReturned lets a VM return from its reboot into the new image and fail.
func (b *bench) failReturned(id string) {
	b.t.Helper()
	b.reboot(id)
	b.comeBack(id, newImage)
	b.ok("n1", b.step(id, structs.VMActive))
	b.ok("n1", b.step(id, structs.VMFailed))
}

func TestWaveForgetsDroppedVMs(t *testing.T) {
	b := newBench(t)
	b.failReturned("survey-01")
	b.ok("pipeline", b.publish(drop(structs.ItemVM, "survey-01")))
	require.Zero(t, b.wave().Returned)
	require.Equal(t, rebuilt(t, b.s).progress, b.s.progress)
}

// A wave's counts must survive a publish that drops a counted VM and is then
// refused for another change.
func TestRefusedPublishKeepsWaveCounts(t *testing.T) {
	b := newBench(t)
	b.failReturned("survey-01")
	bad := editedWave(b, func(w *structs.Wave) { w.Image = "other"; w.Window = "noon" })
	b.void(structs.VoidInvalid, "pipeline", b.publish(bad, drop(structs.ItemVM, "survey-01")))
	require.Equal(t, 1, b.wave().Returned)
	require.Equal(t, rebuilt(t, b.s).progress, b.s.progress)
	require.Equal(t, rebuilt(t, b.s).index, b.s.index)
}
