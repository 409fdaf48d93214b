package planner

import (
	"fmt"

	"wigeonwinch/fleet/structs"
)

// fleetShape describes the size and the budgets of a test fleet.
type fleetShape struct {
	zones, pools, vms int
	rackSize          int
	budget            func(pool, size int) structs.Budget
}

// newView returns the view of a fleet in which each rack holds VMs of several
// pools. Pools are spread evenly over the zones.
func newView(shape fleetShape) *structs.View {
	v := &structs.View{
		Zones: map[string]structs.Zone{}, Pools: map[string]structs.Pool{},
		Services: map[string]structs.Service{}, Windows: map[string]structs.Window{},
		Waves: map[string]structs.WaveStatus{}, EntryEpochs: map[string]structs.EntryEpoch{},
	}
	sizes := make([]int, shape.pools)
	inZone := make([]int, shape.zones)
	for i := 0; i < shape.vms; i++ {
		zone := i % shape.zones
		pool := (i / shape.zones) % shape.pools
		sizes[pool]++
		v.VMs = append(v.VMs, structs.VMStatus{
			VM: structs.VM{
				ID: fmt.Sprintf("w-%05d", i), Zone: zoneName(zone),
				Rack: fmt.Sprintf("r-%03d", inZone[zone]/shape.rackSize), Slots: 8, Cores: 16,
				Pool: poolName(pool), MemoryMB: 64 << 10, Connections: 64,
				Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
			},
			Pool: poolName(pool), State: structs.VMActive, Sequence: 1, Image: imageOld,
		})
		inZone[zone]++
	}
	for z := 0; z < shape.zones; z++ {
		v.Zones[zoneName(z)] = structs.Zone{Name: zoneName(z), Region: "north"}
		entry := structs.EntryEpoch{Zone: zoneName(z), Epoch: 1}
		for e := 0; e < simEntries; e++ {
			entry.Members = append(entry.Members, structs.EntryMember{
				Node: fmt.Sprintf("e-%d-%d", z, e), Incarnation: 1,
				PeerAddress: fmt.Sprintf("10.9.%d.%d:700", z, e),
			})
		}
		v.EntryEpochs[zoneName(z)] = entry
	}
	for p := 0; p < shape.pools; p++ {
		v.Pools[poolName(p)] = structs.Pool{Name: poolName(p), Image: imageNew, Spare: p == shape.pools-1}
		name := fmt.Sprintf("s-%02d", p)
		v.Services[name] = structs.Service{
			Name: name, Pool: poolName(p), Routes: []string{"/" + name + "/"},
			Budget: shape.budget(p, sizes[p]), DeadlineMS: 60_000,
		}
	}
	return v
}

func zoneName(z int) string { return fmt.Sprintf("z-%02d", z) }
func poolName(p int) string { return fmt.Sprintf("p-%02d", p) }
