package state

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

func teamChange(name string, weight int) structs.Change {
	return structs.Change{Kind: structs.ItemTeam, Name: name, Team: &structs.Team{Name: name, Weight: weight}}
}

func drop(kind structs.ItemKind, name string) structs.Change {
	return structs.Change{Kind: kind, Name: name, Delete: true}
}

// edited returns a change that puts the present item with an edit.
func editedVM(b *bench, id string, edit func(*structs.VM)) structs.Change {
	vm := b.vm(id).VM
	edit(&vm)
	return structs.Change{Kind: structs.ItemVM, Name: id, VM: &vm}
}

func editedService(b *bench, name string, edit func(*structs.Service)) structs.Change {
	svc := b.s.View().Services[name]
	edit(&svc)
	return structs.Change{Kind: structs.ItemService, Name: name, Service: &svc}
}

func editedWave(b *bench, edit func(*structs.Wave)) structs.Change {
	wave := b.s.View().Waves["worker-2026-12"].Wave
	edit(&wave)
	return structs.Change{Kind: structs.ItemWave, Name: wave.Name, Wave: &wave}
}

func TestPublishIsCheckedAsAWhole(t *testing.T) {
	type changes func(b *bench) []structs.Change
	list := func(c ...structs.Change) changes {
		return func(*bench) []structs.Change { return c }
	}
	tests := []struct {
		name    string
		changes changes
		want    structs.Void
	}{
		{"team", list(teamChange("new", 1)), structs.VoidNone},
		{"nothing", list(), structs.VoidInvalid},
		{"bad value", list(teamChange("new", -1)), structs.VoidInvalid},
		{"twice", list(teamChange("new", 1), teamChange("new", 2)), structs.VoidInvalid},
		{"good and bad", list(teamChange("new", 1), drop(structs.ItemTeam, "missing")), structs.VoidUnknownItem},
		{"pool in use", list(drop(structs.ItemPool, "intake")), structs.VoidInvalid},
		{"zone in use", list(drop(structs.ItemZone, "kirtipur")), structs.VoidInvalid},
		{"unknown pool of a VM", list(vmChange("x", "nowhere", "kirtipur", "127.0.0.1:1")), structs.VoidInvalid},
		{"unknown zone of a VM", list(vmChange("x", "intake", "pokhara", "127.0.0.1:1")), structs.VoidInvalid},
		{"pool and VM together", list(
			vmChange("x", "new", "kirtipur", "127.0.0.1:1"),
			structs.Change{Kind: structs.ItemPool, Name: "new", Pool: &structs.Pool{Name: "new", Image: "i"}},
		), structs.VoidNone},
		{"address in use", func(b *bench) []structs.Change {
			return []structs.Change{vmChange("x", "intake", "kirtipur", b.vm("intake-01").Address)}
		}, structs.VoidInvalid},
		{"addresses exchanged", func(b *bench) []structs.Change {
			one, two := b.vm("intake-01").Address, b.vm("intake-02").Address
			return []structs.Change{
				editedVM(b, "intake-01", func(vm *structs.VM) { vm.Address = two }),
				editedVM(b, "intake-02", func(vm *structs.VM) { vm.Address = one }),
			}
		}, structs.VoidNone},
		{"route in use", func(b *bench) []structs.Change {
			return []structs.Change{editedService(b, "billing", func(s *structs.Service) { s.Routes = []string{"/survey"} })}
		}, structs.VoidInvalid},
		{"route moved", func(b *bench) []structs.Change {
			return []structs.Change{
				editedService(b, "billing", func(s *structs.Service) { s.Routes = []string{"/survey"} }),
				editedService(b, "site-survey", func(s *structs.Service) { s.Routes = []string{"/surveys"} }),
			}
		}, structs.VoidNone},
		{"budget above the pool", func(b *bench) []structs.Change {
			return []structs.Change{editedService(b, "billing", func(s *structs.Service) { s.Budget.MinAvailable = 8 })}
		}, structs.VoidBudget},
		{"service to a pool that is too small", func(b *bench) []structs.Change {
			return []structs.Change{editedService(b, "fire-approval", func(s *structs.Service) { s.Pool = "billing-admin" })}
		}, structs.VoidBudget},
		{"unknown window of a wave", func(b *bench) []structs.Change {
			return []structs.Change{editedWave(b, func(w *structs.Wave) { w.Window = "noon" })}
		}, structs.VoidInvalid},
		{"window in use", func(b *bench) []structs.Change {
			b.ok("pipeline", b.publish(editedWave(b, func(w *structs.Wave) { w.Window = "night" })))
			return []structs.Change{drop(structs.ItemWindow, "night")}
		}, structs.VoidInvalid},
		{"rack of a VM in service", func(b *bench) []structs.Change {
			return []structs.Change{editedVM(b, "intake-01", func(vm *structs.VM) { vm.Rack = "other" })}
		}, structs.VoidInvalid},
		{"rack of a drained VM", func(b *bench) []structs.Change {
			b.drain("intake-01")
			return []structs.Change{editedVM(b, "intake-01", func(vm *structs.VM) { vm.Rack = "other" })}
		}, structs.VoidNone},
		{"too many VMs removed", func(b *bench) []structs.Change {
			var list []structs.Change
			for i := 1; i <= 4; i++ {
				list = append(list, drop(structs.ItemVM, fmt.Sprintf("intake-%02d", i)))
			}
			return list
		}, structs.VoidBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			rec := b.publish(tt.changes(b)...)
			rec.Publish.Base = b.s.View().Generation
			before := b.s.export()
			verdict := b.apply("pipeline", rec)
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
			if tt.want != structs.VoidNone {
				require.Equal(t, configurationOf(before), configurationOf(b.s.export()))
				require.Equal(t, rebuilt(t, b.s).index, b.s.index)
			}
		})
	}
}

// configurationOf blanks what changes with each record.
func configurationOf(e encodedState) encodedState {
	e.Next = 0
	e.Keys = nil
	return e
}

// rebuilt returns the state after a snapshot and a restore.
func rebuilt(t *testing.T, s *State) *State {
	parts, err := s.SnapshotRecords("rebuilt", "n1")
	require.NoError(t, err)
	restored, err := Restore(parts)
	require.NoError(t, err)
	return restored
}

func TestRacingPublishes(t *testing.T) {
	b := newBench(t)
	first := b.publish(teamChange("installers", 7))
	second := b.publish(teamChange("installers", 8))
	b.ok("pipeline-1", first)
	b.void(structs.VoidStale, "pipeline-2", second)
	b.void(structs.VoidStale, "pipeline-1", first)
	require.Equal(t, 7, b.s.View().Teams["installers"].Weight)
	second.Publish.Base = b.s.View().Generation
	b.ok("pipeline-2", second)
	require.Equal(t, 8, b.s.View().Teams["installers"].Weight)
}

// A publish that was refused for its base must not come into force when its
// record is in the log a second time.
func TestRefusedPublishStaysRefused(t *testing.T) {
	b := newBench(t)
	late := b.publish(teamChange("installers", 9))
	late.Publish.Base++
	late.Key = "late"
	late.Writer = "pipeline"
	require.Equal(t, structs.VoidStale, b.s.Apply(b.s.Next(), late).Void)
	b.ok("pipeline", b.publish(teamChange("new", 1)))
	require.Equal(t, structs.VoidDuplicate, b.s.Apply(b.s.Next(), late).Void)
	require.NotEqual(t, 9, b.s.View().Teams["installers"].Weight)
}

func TestKeysAreForgottenAfterTheWindow(t *testing.T) {
	s := New()
	rec := func(i int) structs.Record {
		return structs.Record{Key: fmt.Sprint(i), Writer: "n1", Snapshot: &structs.Snapshot{}}
	}
	for i := range 2 * keyWindow {
		require.Equal(t, structs.VoidNone, s.Apply(s.Next(), rec(i)).Void)
	}
	require.Len(t, s.keys.seen, keyWindow)
	require.Equal(t, structs.VoidDuplicate, s.Apply(s.Next(), rec(keyWindow)).Void)
	require.Equal(t, structs.VoidNone, s.Apply(s.Next(), rec(keyWindow-1)).Void)
}

func TestRemovedVMIsDrainedBeforeItIsDropped(t *testing.T) {
	b := newBench(t)
	b.ok("pipeline", b.publish(drop(structs.ItemVM, "survey-01")))
	require.True(t, b.vm("survey-01").Removed)
	require.True(t, b.vm("survey-01").State.Available())
	b.void(structs.VoidUnknownItem, "pipeline", b.publish(drop(structs.ItemVM, "survey-01")))
	b.ok("n1", b.step("survey-01", structs.VMDraining))
	b.void(structs.VoidInvalid, "n1", b.step("survey-01", structs.VMActive))
	zone := b.vm("survey-01").Zone
	address := b.vm("survey-01").Address
	b.ok("n1", b.ack("survey-01", "n1", 1))
	b.ok("n2", b.ack("survey-01", "n2", 1))
	b.void(structs.VoidInvalid, "pipeline", b.publish(vmChange("survey-11", "survey", zone, address)))
	b.ok("n1", b.step("survey-01", structs.VMDrained))
	_, ok := b.s.View().VMByID("survey-01")
	require.False(t, ok)
	b.ok("pipeline", b.publish(vmChange("survey-11", "survey", zone, address)))
}

func TestRemovedVMCanBeDeclaredAgain(t *testing.T) {
	b := newBench(t)
	vm := b.vm("survey-01").VM
	b.ok("pipeline", b.publish(drop(structs.ItemVM, "survey-01")))
	b.ok("pipeline", b.publish(structs.Change{Kind: structs.ItemVM, Name: vm.ID, VM: &vm}))
	require.False(t, b.vm("survey-01").Removed)
}

func TestRemovedVMThatFailsIsDropped(t *testing.T) {
	b := newBench(t)
	b.ok("pipeline", b.publish(drop(structs.ItemVM, "survey-01")))
	b.ok("n1", b.step("survey-01", structs.VMFailed))
	_, ok := b.s.View().VMByID("survey-01")
	require.False(t, ok)
	require.Equal(t, rebuilt(t, b.s).index, b.s.index)
}

func TestDeltasAreSmall(t *testing.T) {
	b := newBench(t)
	tests := []struct {
		name   string
		change structs.Change
		limit  int
	}{
		{"team", teamChange("installers", 5), 128},
		{"VM", editedVM(b, "intake-01", func(vm *structs.VM) { vm.Slots = 7 }), 160},
		{"service", editedService(b, "billing", func(s *structs.Service) { s.DeadlineMS++ }), 160},
	}
	for _, tt := range tests {
		rec := b.publish(tt.change)
		rec.Key = "0198f2c1-6b1e-7c3a-9a2b-000000000001"
		rec.Writer = "pipeline"
		data, err := structs.EncodeRecord(rec)
		require.NoError(t, err)
		t.Logf("%s: %d bytes", tt.name, len(data))
		require.Less(t, len(data), tt.limit, tt.name)
	}
}

func TestDiffOfAnEditIsOneChange(t *testing.T) {
	b := newBench(t)
	m := manifest.FromView(b.s.View())
	m.VMs[3].Slots--
	changes := manifest.Diff(b.s.View(), m)
	require.Len(t, changes, 1)
	require.Equal(t, m.VMs[3].ID, changes[0].Name)
}

func TestCheckPublishListsEverythingAndChangesNothing(t *testing.T) {
	b := newBench(t)
	rec := b.publish(
		drop(structs.ItemZone, "kirtipur"),
		drop(structs.ItemTeam, "missing"),
		vmChange("x", "nowhere", "kirtipur", "127.0.0.1:1"),
		editedService(b, "billing", func(s *structs.Service) { s.Budget.MinAvailable = 8 }),
		teamChange("new", 1),
	)
	before := b.s.Digest()
	list := b.s.CheckPublish(rec.Publish)
	require.Equal(t, before, b.s.Digest())
	require.Equal(t, rebuilt(t, b.s).index, b.s.index)
	reasons := map[structs.Void]int{}
	for _, r := range list {
		reasons[r.Void]++
		require.NotEmpty(t, r.Error())
	}
	require.Equal(t, map[structs.Void]int{
		structs.VoidUnknownItem: 1, structs.VoidInvalid: 3, structs.VoidBudget: 1,
	}, reasons, "%v", list)
	require.Empty(t, b.s.CheckPublish(b.publish(teamChange("new", 1)).Publish))
	verdict := b.apply("pipeline", rec)
	require.Contains(t, verdict.Detail, `zone "kirtipur"`)
	require.Contains(t, verdict.Detail, `service "billing"`)
}

// A manifest that drops a pool with its VMs is taken at once; the pool itself
// goes with the first publish after its VMs have drained.
func TestPoolIsDroppedAfterItsVMs(t *testing.T) {
	b := newBench(t)
	m := manifest.FromView(b.s.View())
	m.Pools = slices.DeleteFunc(m.Pools, func(p structs.Pool) bool { return p.Name == "billing-admin" })
	m.VMs = slices.DeleteFunc(m.VMs, func(vm structs.VM) bool { return vm.Pool == "billing-admin" })
	m.Services = slices.DeleteFunc(m.Services, func(s structs.Service) bool { return s.Pool == "billing-admin" })
	require.Empty(t, manifest.Check(m))
	b.ok("pipeline", b.publish(manifest.Diff(b.s.View(), m)...))
	for _, vm := range b.s.View().VMs {
		if vm.Removed {
			b.drain(vm.ID)
		}
	}
	require.Contains(t, b.s.View().Pools, "billing-admin")
	changes := manifest.Diff(b.s.View(), m)
	require.Equal(t, []structs.Change{drop(structs.ItemPool, "billing-admin")}, changes)
	b.ok("pipeline", b.publish(changes...))
	require.Empty(t, manifest.Diff(b.s.View(), m))
}
