package state

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// editedView returns a copy of the example's view, modified by edit.
func editedView(t *testing.T, edit func(*structs.View)) *structs.View {
	view := *newHarness(t).s.View()
	view.VMs = slices.Clone(view.VMs)
	edit(&view)
	return &view
}

func TestCheckViewReportsInvalidViews(t *testing.T) {
	tests := []struct {
		name string
		edit func(*structs.View)
		want Rule
	}{
		{"VM in two pools", func(v *structs.View) {
			duplicate := v.VMs[0]
			duplicate.Pool = "survey"
			v.VMs = slices.Insert(v.VMs, 1, duplicate)
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
			list := CheckView(editedView(t, tt.edit))
			require.NotEmpty(t, list)
			require.Equal(t, tt.want, list[0].Rule)
		})
	}
}

func TestCheckStepReportsDecreases(t *testing.T) {
	tests := []struct {
		name string
		edit func(*structs.View)
	}{
		{"offset", func(v *structs.View) { v.Offset-- }},
		{"generation", func(v *structs.View) { v.Generation-- }},
		{"lease", func(v *structs.View) { v.Leases = map[string]structs.Lease{} }},
		{"entry epoch", func(v *structs.View) { v.EntryEpochs = map[string]structs.EntryEpoch{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := newHarness(t).s.View()
			after := editedView(t, tt.edit)
			list := CheckStep(before, after, structs.Record{}, structs.Verdict{Void: structs.VoidStale})
			require.NotEmpty(t, list)
			require.Equal(t, RuleNoRevert, list[0].Rule)
		})
	}
}

func TestCheckStepReportsPublishThatMovesVM(t *testing.T) {
	before := newHarness(t).s.View()
	after := editedView(t, func(v *structs.View) {
		v.Generation++
		v.VMs[0].Pool = "survey"
	})
	rec := structs.Record{Publish: &structs.Publish{Base: before.Generation}}
	list := CheckStep(before, after, rec, structs.Verdict{})
	require.Len(t, list, 1)
	require.Equal(t, RuleOnePool, list[0].Rule)
}

func TestWrongCountsAreReportedAndReplaced(t *testing.T) {
	h := newHarness(t)
	h.s.index.tally("intake").Pool.Available += 5
	require.NotEmpty(t, h.s.CheckInvariants())
	verdict, list := h.s.ApplyChecked(h.s.Next(), withKey(h.transition("intake-01", structs.VMDraining), "n1"))
	require.Equal(t, structs.VoidNone, verdict.Void, verdict.Detail)
	require.Len(t, list, 1)
	require.Equal(t, RuleCounts, list[0].Rule)
	require.Empty(t, h.s.TakeViolations())
	require.Empty(t, h.s.CheckInvariants())
}

// Counts that are too high must not permit a planned action that breaches a
// budget.
func TestWrongCountsDoNotPermitBudgetBreach(t *testing.T) {
	h := newHarness(t)
	h.requireApplied("n1", h.transition("intake-05", structs.VMFailed))
	h.s.index.tally("intake").Pool.Available += 5
	verdict := h.s.Apply(h.s.Next(), withKey(h.transition("intake-01", structs.VMDraining), "n1"))
	require.Equal(t, structs.VoidBudget, verdict.Void, verdict.Detail)
}

func withKey(rec structs.Record, writer string) structs.Record {
	rec.Key = "by hand"
	rec.Writer = writer
	return rec
}
