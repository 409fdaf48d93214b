package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestMinAvailableByPool(t *testing.T) {
	view := &structs.View{Services: map[string]structs.Service{
		"read":  {Pool: "p", Budget: structs.Budget{MinAvailable: 4}},
		"write": {Pool: "p", Budget: structs.Budget{MinAvailable: 1, MinAvailablePerZone: 3}},
		"other": {Pool: "q", Budget: structs.Budget{MinAvailable: 1, MinAvailablePerZone: 9}},
	}}
	for _, w := range []struct{ pool, zone string }{
		{"p", "a"}, {"p", "a"}, {"p", "a"}, {"p", "b"}, {"p", "b"}, {"q", "b"},
	} {
		view.VMs = append(view.VMs, structs.VMStatus{VM: structs.VM{Zone: w.zone}, Pool: w.pool})
	}
	require.Equal(t, map[string]int{"p": 3}, minAvailableByPool(view, "a"), "the zone's own budget")
	require.Equal(t, map[string]int{"p": 2, "q": 1}, minAvailableByPool(view, "b"), "no more workers than the zone has")
	require.Empty(t, minAvailableByPool(view, "c"))
}
