package state

import (
	"os"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// defaultFleetRecords is the length of the log in an ordinary test run.
const defaultFleetRecords = 20000

// fromEnvironment returns a number from the environment, or a default.
func fromEnvironment(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// TestRandomisedFleet lets planners and pipelines race on views of their own,
// with pauses, repeated and late records, outages of the log, failures of VMs,
// racks and zones, snapshots and readers that retention overtakes. Set
// WIGEONWINCH_ROUNDS to the number of records and WIGEONWINCH_SEED to the
// seed.
func TestRandomisedFleet(t *testing.T) {
	records := fromEnvironment(t, "WIGEONWINCH_ROUNDS", defaultFleetRecords)
	seed := fromEnvironment(t, "WIGEONWINCH_SEED", 1)
	f, err := newFleetSim(uint64(seed), unsafeSkips{})
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

// requireAllKinds checks that the run has met each kind of record and of
// refusal, so that no invariant held for want of trying.
func requireAllKinds(t *testing.T, f *fleetSim) {
	for _, kind := range []string{
		"publish", "lease", "move", "drain ack", "entry epoch", "wave stop", "snapshot",
		"to active", "to draining", "to drained", "to rebooting", "to probation", "to failed",
	} {
		require.NotZero(t, f.applied[kind], kind)
	}
	for _, void := range []structs.Void{
		structs.VoidDuplicate, structs.VoidStale, structs.VoidNotHolder, structs.VoidBudget,
		structs.VoidInvalid, structs.VoidNotDrained, structs.VoidUnknownItem,
	} {
		require.NotZero(t, f.voids[void], void)
	}
	restored := 0
	for _, r := range f.replicas {
		restored += r.restored
	}
	require.NotZero(t, restored, "no reader was overtaken by retention")
	require.Len(t, f.domains, 3)
}

// TestInvariantsNoticeAFoldThatSkipsACheck switches one check of the fold off
// and expects the invariant checks to stop the run.
func TestInvariantsNoticeAFoldThatSkipsACheck(t *testing.T) {
	tests := []struct {
		name   string
		unsafe unsafeSkips
		want   Rule
	}{
		{"budgets", unsafeSkips{budgets: true}, RuleBudget},
		{"generation", unsafeSkips{generation: true}, RuleNoRevert},
		{"drained before the reboot", unsafeSkips{drainBeforeReboot: true}, RuleDrainedFirst},
		{"acknowledgements", unsafeSkips{acknowledgements: true}, RuleDrainedFirst},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, err := newFleetSim(1, tt.unsafe)
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

// TestDigestsNoticeAnotherFold lets one reader fold by other rules.
func TestDigestsNoticeAnotherFold(t *testing.T) {
	f, err := newFleetSim(1, unsafeSkips{})
	require.NoError(t, err)
	f.replicas[1].s.unsafe.budgets = true
	requireRule(t, RuleSameFold, f.run(defaultFleetRecords))
}

// TestKeptViewsNoticeAChangeInPlace changes a VM behind a view's back.
func TestKeptViewsNoticeAChangeInPlace(t *testing.T) {
	f, err := newFleetSim(1, unsafeSkips{})
	require.NoError(t, err)
	require.NoError(t, f.run(2000))
	f.kept = f.primary.View()
	f.keptDigest = viewDigest(f.kept)
	f.primary.vms.list[0].Slots++
	f.primary.view = nil
	f.primary.next += 32 - f.primary.next%32
	requireRule(t, RuleNoRevert, f.checkKeptView())
}
