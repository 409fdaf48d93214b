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
	vms, ids := makeVMs(10, func(_ int, vm *VM) { vm.Cleared = true })
	wave := Wave{Number: 1, VMs: ids, Cap: 3, EndsAt: 100_000, Down: map[string]bool{"vm-09": true}}
	p := Make(View{Now: 0, VMs: vms, Waves: []Wave{wave}, DownMS: 2_000})
	assert.Len(t, p.Maintain, 2)
}

func TestOnlyDrainedVMsAreMaintained(t *testing.T) {
	vms, ids := makeVMs(4, nil)
	p := Make(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, Cap: 2, EndsAt: 100_000}}, DownMS: 2_000})
	assert.Empty(t, p.Maintain)
	assert.Len(t, p.Empty, 2, "two VMs are drained")
}

func TestSpareVMsAreMaintainedFirst(t *testing.T) {
	vms, ids := makeVMs(4, func(i int, vm *VM) { vm.Spare = i == 3 })
	p := Make(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, Cap: 1, EndsAt: 100_000}}, DownMS: 2_000})
	assert.Equal(t, []Act{{"vm-03", 1}}, p.Maintain)
}

func TestShortTimeDrainsMoreVMs(t *testing.T) {
	vms, ids := makeVMs(8, nil)
	early := Make(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, Cap: 2, EndsAt: 100_000}}, DownMS: 2_000})
	late := Make(View{VMs: vms, Waves: []Wave{{Number: 1, VMs: ids, Cap: 2, EndsAt: 5_000}}, DownMS: 2_000})
	assert.Len(t, early.Empty, 2)
	assert.Len(t, late.Empty, 4)
}

func TestWaveIsDoneWhenAllExistingVMsHaveBegun(t *testing.T) {
	vms, ids := makeVMs(3, nil)
	delete(vms, "vm-00")
	wave := Wave{Number: 7, VMs: ids, Cap: 1, Begun: map[string]bool{"vm-01": true}}
	assert.Empty(t, Make(View{VMs: vms, Waves: []Wave{wave}}).Done)
	wave.Begun["vm-02"] = true
	assert.Equal(t, []int{7}, Make(View{VMs: vms, Waves: []Wave{wave}}).Done)
}

func TestTasksAreEvictedAfterTimeout(t *testing.T) {
	vms, ids := makeVMs(1, nil)
	wave := Wave{Number: 1, VMs: ids, Cap: 1, EndsAt: 100_000, EmptyingSince: map[string]int64{"vm-00": 0}}
	assert.False(t, Make(View{Now: evictAfterMS, VMs: vms, Waves: []Wave{wave}}).Evict["vm-00"])
	assert.True(t, Make(View{Now: evictAfterMS + 1, VMs: vms, Waves: []Wave{wave}}).Evict["vm-00"])
}
