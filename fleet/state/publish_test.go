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

func deletion(kind structs.ItemKind, name string) structs.Change {
	return structs.Change{Kind: kind, Name: name, Delete: true}
}

// editedVM returns a change that puts the current VM modified by edit.
// editedService and editedWave do the same for services and waves.
func editedVM(h *harness, id string, edit func(*structs.VM)) structs.Change {
	vm := h.vm(id).VM
	edit(&vm)
	return structs.Change{Kind: structs.ItemVM, Name: id, VM: &vm}
}

func editedService(h *harness, name string, edit func(*structs.Service)) structs.Change {
	svc := h.s.View().Services[name]
	edit(&svc)
	return structs.Change{Kind: structs.ItemService, Name: name, Service: &svc}
}

func editedWave(h *harness, edit func(*structs.Wave)) structs.Change {
	wave := h.s.View().Waves["worker-2026-12"].Wave
	edit(&wave)
	return structs.Change{Kind: structs.ItemWave, Name: wave.Name, Wave: &wave}
}

func TestPublishIsCheckedAsAWhole(t *testing.T) {
	type changes func(h *harness) []structs.Change
	list := func(c ...structs.Change) changes {
		return func(*harness) []structs.Change { return c }
	}
	tests := []struct {
		name    string
		changes changes
		want    structs.VoidReason
	}{
		{"team", list(teamChange("new", 1)), structs.VoidNone},
		{"nothing", list(), structs.VoidInvalid},
		{"bad value", list(teamChange("new", -1)), structs.VoidInvalid},
		{"twice", list(teamChange("new", 1), teamChange("new", 2)), structs.VoidInvalid},
		{"valid and invalid", list(teamChange("new", 1), deletion(structs.ItemTeam, "missing")), structs.VoidUnknownItem},
		{"pool in use", list(deletion(structs.ItemPool, "intake")), structs.VoidInvalid},
		{"zone in use", list(deletion(structs.ItemZone, "kirtipur")), structs.VoidInvalid},
		{"unknown pool of a VM", list(vmChange("x", "nowhere", "kirtipur", "127.0.0.1:1")), structs.VoidInvalid},
		{"unknown zone of a VM", list(vmChange("x", "intake", "pokhara", "127.0.0.1:1")), structs.VoidInvalid},
		{"pool and VM together", list(
			vmChange("x", "new", "kirtipur", "127.0.0.1:1"),
			structs.Change{Kind: structs.ItemPool, Name: "new", Pool: &structs.Pool{Name: "new", Image: "i"}},
		), structs.VoidNone},
		{"address in use", func(h *harness) []structs.Change {
			return []structs.Change{vmChange("x", "intake", "kirtipur", h.vm("intake-01").Address)}
		}, structs.VoidInvalid},
		{"addresses swapped", func(h *harness) []structs.Change {
			one, two := h.vm("intake-01").Address, h.vm("intake-02").Address
			return []structs.Change{
				editedVM(h, "intake-01", func(vm *structs.VM) { vm.Address = two }),
				editedVM(h, "intake-02", func(vm *structs.VM) { vm.Address = one }),
			}
		}, structs.VoidNone},
		{"route in use", func(h *harness) []structs.Change {
			return []structs.Change{editedService(h, "billing", func(s *structs.Service) { s.Routes = []string{"/survey"} })}
		}, structs.VoidInvalid},
		{"route moved", func(h *harness) []structs.Change {
			return []structs.Change{
				editedService(h, "billing", func(s *structs.Service) { s.Routes = []string{"/survey"} }),
				editedService(h, "site-survey", func(s *structs.Service) { s.Routes = []string{"/surveys"} }),
			}
		}, structs.VoidNone},
		{"budget above the pool", func(h *harness) []structs.Change {
			return []structs.Change{editedService(h, "billing", func(s *structs.Service) { s.Budget.MinAvailable = 8 })}
		}, structs.VoidBudget},
		{"service assigned to a pool that is too small", func(h *harness) []structs.Change {
			return []structs.Change{editedService(h, "fire-approval", func(s *structs.Service) { s.Pool = "billing-admin" })}
		}, structs.VoidBudget},
		{"unknown window of a wave", func(h *harness) []structs.Change {
			return []structs.Change{editedWave(h, func(w *structs.Wave) { w.Window = "noon" })}
		}, structs.VoidInvalid},
		{"window in use", func(h *harness) []structs.Change {
			h.requireApplied("pipeline", h.publish(editedWave(h, func(w *structs.Wave) { w.Window = "night" })))
			return []structs.Change{deletion(structs.ItemWindow, "night")}
		}, structs.VoidInvalid},
		{"rack change of a VM in service", func(h *harness) []structs.Change {
			return []structs.Change{editedVM(h, "intake-01", func(vm *structs.VM) { vm.Rack = "other" })}
		}, structs.VoidInvalid},
		{"rack change of a drained VM", func(h *harness) []structs.Change {
			h.drain("intake-01")
			return []structs.Change{editedVM(h, "intake-01", func(vm *structs.VM) { vm.Rack = "other" })}
		}, structs.VoidNone},
		{"too many VMs removed", func(h *harness) []structs.Change {
			var list []structs.Change
			for i := 1; i <= 4; i++ {
				list = append(list, deletion(structs.ItemVM, fmt.Sprintf("intake-%02d", i)))
			}
			return list
		}, structs.VoidBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			rec := h.publish(tt.changes(h)...)
			rec.Publish.Base = h.s.View().Generation
			before := h.s.export()
			verdict := h.apply("pipeline", rec)
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
			if tt.want != structs.VoidNone {
				require.Equal(t, withoutLogPosition(before), withoutLogPosition(h.s.export()))
				require.Equal(t, restoredCopy(t, h.s).index, h.s.index)
			}
		})
	}
}

// withoutLogPosition clears the offset and the keys, which change with each
// record.
func withoutLogPosition(e encodedState) encodedState {
	e.Next = 0
	e.Keys = nil
	return e
}

// restoredCopy returns the state restored from a snapshot of s.
func restoredCopy(t *testing.T, s *State) *State {
	parts, err := s.SnapshotRecords("rebuilt", "n1")
	require.NoError(t, err)
	restored, err := Restore(parts)
	require.NoError(t, err)
	return restored
}

func TestRacingPublishes(t *testing.T) {
	h := newHarness(t)
	first := h.publish(teamChange("installers", 7))
	second := h.publish(teamChange("installers", 8))
	h.requireApplied("pipeline-1", first)
	h.requireVoid(structs.VoidStale, "pipeline-2", second)
	h.requireVoid(structs.VoidStale, "pipeline-1", first)
	require.Equal(t, 7, h.s.View().Teams["installers"].Weight)
	second.Publish.Base = h.s.View().Generation
	h.requireApplied("pipeline-2", second)
	require.Equal(t, 8, h.s.View().Teams["installers"].Weight)
}

// A publish that was refused because of its base generation must not take
// effect when its record appears in the log a second time and the base has
// become current.
func TestRefusedPublishStaysRefused(t *testing.T) {
	h := newHarness(t)
	late := h.publish(teamChange("installers", 9))
	late.Publish.Base++
	late.Key = "late"
	late.Writer = "pipeline"
	require.Equal(t, structs.VoidStale, h.s.Apply(h.s.Next(), late).Void)
	h.requireApplied("pipeline", h.publish(teamChange("new", 1)))
	require.Equal(t, structs.VoidDuplicate, h.s.Apply(h.s.Next(), late).Void)
	require.NotEqual(t, 9, h.s.View().Teams["installers"].Weight)
}

func TestKeysExpireAfterDedupWindow(t *testing.T) {
	s := New()
	rec := func(i int) structs.Record {
		return structs.Record{Key: fmt.Sprint(i), Writer: "n1", Snapshot: &structs.Snapshot{}}
	}
	for i := range 2 * dedupWindow {
		require.Equal(t, structs.VoidNone, s.Apply(s.Next(), rec(i)).Void)
	}
	require.Len(t, s.keys.seen, dedupWindow)
	require.Equal(t, structs.VoidDuplicate, s.Apply(s.Next(), rec(dedupWindow)).Void)
	require.Equal(t, structs.VoidNone, s.Apply(s.Next(), rec(dedupWindow-1)).Void)
}

func TestRemovedVMIsDrainedBeforeItIsDropped(t *testing.T) {
	h := newHarness(t)
	h.requireApplied("pipeline", h.publish(deletion(structs.ItemVM, "survey-01")))
	require.True(t, h.vm("survey-01").Removed)
	require.True(t, h.vm("survey-01").State.Available())
	h.requireVoid(structs.VoidUnknownItem, "pipeline", h.publish(deletion(structs.ItemVM, "survey-01")))
	h.requireApplied("n1", h.transition("survey-01", structs.VMDraining))
	h.requireVoid(structs.VoidInvalid, "n1", h.transition("survey-01", structs.VMActive))
	zone := h.vm("survey-01").Zone
	address := h.vm("survey-01").Address
	h.requireApplied("n1", h.ack("survey-01", "n1", 1))
	h.requireApplied("n2", h.ack("survey-01", "n2", 1))
	h.requireVoid(structs.VoidInvalid, "pipeline", h.publish(vmChange("survey-11", "survey", zone, address)))
	h.requireApplied("n1", h.transition("survey-01", structs.VMDrained))
	_, ok := h.s.View().VMByID("survey-01")
	require.False(t, ok)
	h.requireApplied("pipeline", h.publish(vmChange("survey-11", "survey", zone, address)))
}

func TestRemovedVMCanBeDeclaredAgain(t *testing.T) {
	h := newHarness(t)
	vm := h.vm("survey-01").VM
	h.requireApplied("pipeline", h.publish(deletion(structs.ItemVM, "survey-01")))
	h.requireApplied("pipeline", h.publish(structs.Change{Kind: structs.ItemVM, Name: vm.ID, VM: &vm}))
	require.False(t, h.vm("survey-01").Removed)
}

func TestRemovedVMThatFailsIsDropped(t *testing.T) {
	h := newHarness(t)
	h.requireApplied("pipeline", h.publish(deletion(structs.ItemVM, "survey-01")))
	h.requireApplied("n1", h.transition("survey-01", structs.VMFailed))
	_, ok := h.s.View().VMByID("survey-01")
	require.False(t, ok)
	require.Equal(t, restoredCopy(t, h.s).index, h.s.index)
}

func TestPublishRecordOfOneChangeIsSmall(t *testing.T) {
	h := newHarness(t)
	tests := []struct {
		name   string
		change structs.Change
		limit  int
	}{
		{"team", teamChange("installers", 5), 128},
		{"VM", editedVM(h, "intake-01", func(vm *structs.VM) { vm.Slots = 7 }), 160},
		{"service", editedService(h, "billing", func(s *structs.Service) { s.DeadlineMS++ }), 160},
	}
	for _, tt := range tests {
		rec := h.publish(tt.change)
		rec.Key = "0198f2c1-6b1e-7c3a-9a2b-000000000001"
		rec.Writer = "pipeline"
		data, err := structs.EncodeRecord(rec)
		require.NoError(t, err)
		t.Logf("%s: %d bytes", tt.name, len(data))
		require.Less(t, len(data), tt.limit, tt.name)
	}
}

func TestDiffOfAnEditIsOneChange(t *testing.T) {
	h := newHarness(t)
	m := manifest.FromView(h.s.View())
	m.VMs[3].Slots--
	changes := manifest.Diff(h.s.View(), m)
	require.Len(t, changes, 1)
	require.Equal(t, m.VMs[3].ID, changes[0].Name)
}

func TestCheckPublishReturnsAllRefusalsWithoutChanges(t *testing.T) {
	h := newHarness(t)
	rec := h.publish(
		deletion(structs.ItemZone, "kirtipur"),
		deletion(structs.ItemTeam, "missing"),
		vmChange("x", "nowhere", "kirtipur", "127.0.0.1:1"),
		editedService(h, "billing", func(s *structs.Service) { s.Budget.MinAvailable = 8 }),
		teamChange("new", 1),
	)
	before := h.s.Digest()
	list := h.s.CheckPublish(rec.Publish)
	require.Equal(t, before, h.s.Digest())
	require.Equal(t, restoredCopy(t, h.s).index, h.s.index)
	reasons := map[structs.VoidReason]int{}
	for _, r := range list {
		reasons[r.Void]++
		require.NotEmpty(t, r.Error())
	}
	require.Equal(t, map[structs.VoidReason]int{
		structs.VoidUnknownItem: 1, structs.VoidInvalid: 3, structs.VoidBudget: 1,
	}, reasons, "%v", list)
	require.Empty(t, h.s.CheckPublish(h.publish(teamChange("new", 1)).Publish))
	verdict := h.apply("pipeline", rec)
	require.Contains(t, verdict.Detail, `zone "kirtipur"`)
	require.Contains(t, verdict.Detail, `service "billing"`)
}

// A manifest that deletes a pool with its VMs is accepted immediately. The pool
// itself is deleted by the first publish after its VMs have drained.
func TestPoolIsDeletedAfterItsVMsDrain(t *testing.T) {
	h := newHarness(t)
	m := manifest.FromView(h.s.View())
	m.Pools = slices.DeleteFunc(m.Pools, func(p structs.Pool) bool { return p.Name == "billing-admin" })
	m.VMs = slices.DeleteFunc(m.VMs, func(vm structs.VM) bool { return vm.Pool == "billing-admin" })
	m.Services = slices.DeleteFunc(m.Services, func(s structs.Service) bool { return s.Pool == "billing-admin" })
	require.Empty(t, manifest.Check(m))
	h.requireApplied("pipeline", h.publish(manifest.Diff(h.s.View(), m)...))
	for _, vm := range h.s.View().VMs {
		if vm.Removed {
			h.drain(vm.ID)
		}
	}
	require.Contains(t, h.s.View().Pools, "billing-admin")
	changes := manifest.Diff(h.s.View(), m)
	require.Equal(t, []structs.Change{deletion(structs.ItemPool, "billing-admin")}, changes)
	h.requireApplied("pipeline", h.publish(changes...))
	require.Empty(t, manifest.Diff(h.s.View(), m))
}
