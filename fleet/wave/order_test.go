package wave

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/structs"
)

// orderedIDs returns the VM IDs in the order that Order gives a pool with the
// given number of VMs in each zone. Each VM has its own rack, except that the
// first two of a zone share one. The busy VM has a request in progress.
func orderedIDs(b structs.Budget, zones map[string]int, busy string) []string {
	view := &structs.View{
		Pools:    map[string]structs.Pool{"p": {Name: "p"}},
		Services: map[string]structs.Service{"s": {Name: "s", Pool: "p", Budget: b}},
	}
	for zone, n := range zones {
		for i := range n {
			vm := structs.VM{ID: fmt.Sprintf("%s%d", zone, i), Zone: zone, Rack: fmt.Sprint(max(i, 1))}
			view.VMs = append(view.VMs, structs.VMStatus{VM: vm, Pool: "p", State: structs.VMActive})
		}
	}
	candidates := make([]Candidate, len(view.VMs))
	for i := range view.VMs {
		candidates[i].VM = &view.VMs[i]
		if view.VMs[i].ID == busy {
			candidates[i].InProgress = 1
		}
	}
	Order(budget.New(view, nil), candidates)
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.VM.ID
	}
	return ids
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name   string
		budget structs.Budget
		zones  map[string]int
		busy   string
		first  []string
		last   string
	}{
		{
			"a zone that needs as many batches as the pool comes first",
			structs.Budget{MinAvailable: 6, MinAvailablePerZone: 1},
			map[string]int{"a": 8, "b": 3}, "", []string{"b0", "b1", "b2"}, "a7",
		},
		{
			"a zone that needs one batch comes last",
			structs.Budget{MinAvailable: 2, MinAvailablePerZone: 1},
			map[string]int{"a": 4, "b": 1}, "", []string{"a0", "a1", "a2", "a3"}, "b0",
		},
		{
			"the largest zone comes first if the budget must survive a zone loss",
			structs.Budget{Survive: structs.FailureDomainZone},
			map[string]int{"a": 1, "b": 3}, "b0", []string{"b1", "b2"}, "b0",
		},
		{
			"the largest rack comes first if the budget must survive a rack loss",
			structs.Budget{Survive: structs.FailureDomainRack},
			map[string]int{"a": 1, "b": 3}, "b0", []string{"b1"}, "b0",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			order := orderedIDs(tt.budget, tt.zones, tt.busy)
			require.Equal(t, tt.first, order[:len(tt.first)])
			require.Equal(t, tt.last, order[len(order)-1])
		})
	}
}
