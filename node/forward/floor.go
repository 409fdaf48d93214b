package forward

import "wigeonwinch/fleet/structs"

// floors returns how many workers of each pool must stay in use in a zone,
// whatever their outcomes: the zone's own budget, or its part of the pool's.
func floors(view *structs.View, zone string) map[string]int {
	here := make(map[string]int)
	all := make(map[string]int)
	for _, vm := range view.VMs {
		all[vm.Pool]++
		if vm.Zone == zone {
			here[vm.Pool]++
		}
	}
	floor := make(map[string]int)
	for _, svc := range view.Services {
		if here[svc.Pool] == 0 {
			continue
		}
		part := ceilDiv(svc.Budget.MinAvailable*here[svc.Pool], all[svc.Pool])
		least := max(part, svc.Budget.MinAvailablePerZone)
		floor[svc.Pool] = max(floor[svc.Pool], min(least, here[svc.Pool]))
	}
	return floor
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
