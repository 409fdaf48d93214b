package state

import (
	"os"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// defaultFleetRecords is the default number of records in a run.
const defaultFleetRecords = 20000

// envInt returns the integer in an environment variable, or a default if it is
// unset.
func envInt(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// TestRandomisedFleet checks the invariants while planners and pipelines append
// concurrently, each based on its own view. The run includes paused planners,
// repeated and delayed records, log outages, failures of VMs, racks and zones,
// snapshots, and replicas that retention overtakes. WIGEONWINCH_ROUNDS sets the
// number of records, and WIGEONWINCH_SEED the seed.
func TestRandomisedFleet(t *testing.T) {
	records := envInt(t, "WIGEONWINCH_ROUNDS", defaultFleetRecords)
	seed := envInt(t, "WIGEONWINCH_SEED", 1)
	f, err := newFleetSim(uint64(seed), skippedChecks{})
	require.NoError(t, err)
	require.NoError(t, f.run(records), "seed %d at offset %d", seed, f.log.next())
	t.Logf("seed %d, %d records, generation %d, %d VMs", seed, f.log.next(), f.primary.View().Generation, len(f.primary.View().VMs))
	t.Logf("applied %v, void %v, failures %v", f.applied, f.voids, f.domains)
	for _, r := range f.replicas {
		t.Logf("%s: %d digests compared, %d restores", r.name, r.compared, r.restored)
		require.NotZero(t, r.compared)
	}
	requireAllKinds(t, f)
}

// requireAllKinds checks that the run included every kind of record, refusal
// and failure, so that the invariants were actually exercised.
func requireAllKinds(t *testing.T, f *fleetSim) {
	for _, kind := range []string{
		"publish", "lease", "move", "drain ack", "entry epoch", "wave stop", "snapshot",
		"to active", "to draining", "to drained", "to rebooting", "to probation", "to failed",
	} {
		require.NotZero(t, f.applied[kind], kind)
	}
	for _, void := range []structs.VoidReason{
		structs.VoidDuplicate, structs.VoidStale, structs.VoidNotHolder, structs.VoidBudget,
		structs.VoidInvalid, structs.VoidNotDrained, structs.VoidUnknownItem,
	} {
		require.NotZero(t, f.voids[void], void)
	}
	restored := 0
	for _, r := range f.replicas {
		restored += r.restored
	}
	require.NotZero(t, restored, "no replica was overtaken by retention")
	require.Len(t, f.domains, 3)
}

// TestInvariantsDetectSkippedChecks disables one check of Apply at a time and
// requires that the invariant checks detect it.
func TestInvariantsDetectSkippedChecks(t *testing.T) {
	tests := []struct {
		name string
		skip skippedChecks
		want Rule
	}{
		{"budgets", skippedChecks{budgets: true}, RuleBudget},
		{"generation", skippedChecks{generation: true}, RuleNoRevert},
		{"drained before the reboot", skippedChecks{drainBeforeReboot: true}, RuleDrainedFirst},
		{"acknowledgements", skippedChecks{acknowledgements: true}, RuleDrainedFirst},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, err := newFleetSim(1, tt.skip)
			require.NoError(t, err)
			requireRule(t, tt.want, f.run(defaultFleetRecords))
		})
	}
}

func requireRule(t *testing.T, want Rule, err error) {
	t.Helper()
	var v Violation
	require.True(t, errors.As(err, &v), "%v", err)
	require.Equal(t, want, v.Rule, v.Error())
}

// TestDigestsDetectDivergedState disables a check on one replica only and
// requires that the digest comparison detects the diverged state.
func TestDigestsDetectDivergedState(t *testing.T) {
	f, err := newFleetSim(1, skippedChecks{})
	require.NoError(t, err)
	f.replicas[1].s.skip.budgets = true
	requireRule(t, RuleSameState, f.run(defaultFleetRecords))
}

// TestSavedViewCheckDetectsChangeInPlace modifies a VM that a view shares and
// requires that checkSavedView detects it.
func TestSavedViewCheckDetectsChangeInPlace(t *testing.T) {
	f, err := newFleetSim(1, skippedChecks{})
	require.NoError(t, err)
	require.NoError(t, f.run(2000))
	f.savedView = f.primary.View()
	f.savedViewDigest = viewDigest(f.savedView)
	f.primary.vms.list[0].Slots++
	f.primary.cachedView = nil
	f.primary.next += 32 - f.primary.next%32
	requireRule(t, RuleNoRevert, f.checkSavedView())
}
