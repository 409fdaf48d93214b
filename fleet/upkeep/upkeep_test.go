package upkeep

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func makeVMs(n int, change func(i int, vm *VM)) (map[string]VM, []string) {
	vms := map[string]VM{}
	var ids []string
	for i := range n {
		vm := VM{ID: fmt.Sprintf("vm-%02d", i), Pool: "a", Up: true}
		if change != nil {
			change(i, &vm)
		}
		vms[vm.ID] = vm
		ids = append(ids, vm.ID)
	}
	return vms, ids
}

func TestMaintenanceRespectsCap(t *testing.T) {
	vms, ids := makeVMs(10, func(_ int, vm *VM) { vm.Drained = true })
	wave := Wave{Number: 1, VMs: ids, MaxDown: 3, StartDeadline: 100_000, Down: map[string]bool{"vm-09": true}}
	p := NewPlan(View{Now: 0, VMs: vms, Waves: []Wave{wave}, DowntimeMS: 2_000})
	assert.Len(t, p.Maintain, 2)
}

func TestOnlyDrainedVMsAreMaintained(t *testing.T) {
	vms, ids := makeVMs(4, nil)
	p := NewPlan(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, MaxDown: 2, StartDeadline: 100_000}}, DowntimeMS: 2_000})
	assert.Empty(t, p.Maintain)
	assert.Len(t, p.Drain, 2, "two VMs are drained")
}

func TestSpareVMsAreMaintainedFirst(t *testing.T) {
	vms, ids := makeVMs(4, func(i int, vm *VM) { vm.Spare = i == 3 })
	p := NewPlan(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, MaxDown: 1, StartDeadline: 100_000}}, DowntimeMS: 2_000})
	assert.Equal(t, []Action{{"vm-03", 1}}, p.Maintain)
}

func TestShortTimeDrainsMoreVMs(t *testing.T) {
	vms, ids := makeVMs(8, nil)
	early := NewPlan(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, MaxDown: 2, StartDeadline: 100_000}}, DowntimeMS: 2_000})
	late := NewPlan(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, MaxDown: 2, StartDeadline: 5_000}}, DowntimeMS: 2_000})
	assert.Len(t, early.Drain, 2)
	assert.Len(t, late.Drain, 4)
}

func TestWaveIsDoneWhenAllExistingVMsHaveBegun(t *testing.T) {
	vms, ids := makeVMs(3, nil)
	delete(vms, "vm-00")
	wave := Wave{Number: 7, VMs: ids, MaxDown: 1, Started: map[string]bool{"vm-01": true}}
	assert.Empty(t, NewPlan(View{VMs: vms, Waves: []Wave{wave}}).Done)
	wave.Started["vm-02"] = true
	assert.Equal(t, []int{7}, NewPlan(View{VMs: vms, Waves: []Wave{wave}}).Done)
}

func TestTasksAreEvictedAfterTimeout(t *testing.T) {
	vms, ids := makeVMs(1, nil)
	wave := Wave{Number: 1, VMs: ids, MaxDown: 1, StartDeadline: 100_000, DrainingSince: map[string]int64{"vm-00": 0}}
	assert.False(t, NewPlan(View{Now: evictAfterMS, VMs: vms, Waves: []Wave{wave}}).Evict["vm-00"])
	assert.True(t, NewPlan(View{Now: evictAfterMS + 1, VMs: vms, Waves: []Wave{wave}}).Evict["vm-00"])
}
