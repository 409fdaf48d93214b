package state

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// badView returns a copy of the example's view with an edit.
func badView(t *testing.T, edit func(*structs.View)) *structs.View {
	view := *newBench(t).s.View()
	view.VMs = slices.Clone(view.VMs)
	edit(&view)
	return &view
}

func TestCheckViewNoticesBadStates(t *testing.T) {
	tests := []struct {
		name string
		edit func(*structs.View)
		want Rule
	}{
		{"VM in two pools", func(v *structs.View) {
			twin := v.VMs[0]
			twin.Pool = "survey"
			v.VMs = slices.Insert(v.VMs, 1, twin)
		}, RuleOnePool},
		{"VM in no pool", func(v *structs.View) { v.VMs[0].Pool = "" }, RuleOnePool},
		{"VM in an unknown zone", func(v *structs.View) { v.VMs[0].Zone = "pokhara" }, RuleReferences},
		{"VM in an unknown state", func(v *structs.View) { v.VMs[0].State = 0 }, RuleReferences},
		{"service on an unknown pool", func(v *structs.View) {
			v.Services = map[string]structs.Service{"s": {Name: "s", Pool: "nowhere"}}
		}, RuleReferences},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := CheckView(badView(t, tt.edit))
			require.NotEmpty(t, list)
			require.Equal(t, tt.want, list[0].Rule)
		})
	}
}

func TestCheckStepNoticesWhatGoesBack(t *testing.T) {
	tests := []struct {
		name string
		edit func(*structs.View)
	}{
		{"offset", func(v *structs.View) { v.Offset-- }},
		{"generation", func(v *structs.View) { v.Generation-- }},
		{"lease", func(v *structs.View) { v.Leases = map[string]structs.Lease{} }},
		{"entry epoch", func(v *structs.View) { v.Entry = map[string]structs.EntryEpoch{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := newBench(t).s.View()
			after := badView(t, tt.edit)
			list := CheckStep(before, after, structs.Record{}, structs.Verdict{Void: structs.VoidStale})
			require.NotEmpty(t, list)
			require.Equal(t, RuleNoRevert, list[0].Rule)
		})
	}
}

func TestCheckStepNoticesAPublishThatMovesAVM(t *testing.T) {
	before := newBench(t).s.View()
	after := badView(t, func(v *structs.View) {
		v.Generation++
		v.VMs[0].Pool = "survey"
	})
	rec := structs.Record{Publish: &structs.Publish{Base: before.Generation}}
	list := CheckStep(before, after, rec, structs.Verdict{})
	require.Len(t, list, 1)
	require.Equal(t, RuleOnePool, list[0].Rule)
}

func TestWrongCountsAreNoticedAndReplaced(t *testing.T) {
	b := newBench(t)
	b.s.index.tally("intake").Pool.Available += 5
	require.NotEmpty(t, b.s.Check())
	verdict, list := b.s.ApplyChecked(b.s.Next(), keyed(b.step("intake-01", structs.VMDraining), "n1"))
	require.Equal(t, structs.VoidNone, verdict.Void, verdict.Detail)
	require.Len(t, list, 1)
	require.Equal(t, RuleCounts, list[0].Rule)
	require.Empty(t, b.s.TakeViolations())
	require.Empty(t, b.s.Check())
}

// Counts that claim too many VMs must not let a planned act through.
func TestWrongCountsDoNotBreakABudget(t *testing.T) {
	b := newBench(t)
	b.ok("n1", b.step("intake-05", structs.VMFailed))
	b.s.index.tally("intake").Pool.Available += 5
	verdict := b.s.Apply(b.s.Next(), keyed(b.step("intake-01", structs.VMDraining), "n1"))
	require.Equal(t, structs.VoidBudget, verdict.Void, verdict.Detail)
}

func keyed(rec structs.Record, writer string) structs.Record {
	rec.Key = "by hand"
	rec.Writer = writer
	return rec
}
