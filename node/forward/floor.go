package forward

import "wigeonwinch/fleet/structs"

// minAvailableByPool returns, for each pool, the number of workers in a zone
// that must stay in use regardless of their outcomes: the larger of the
// zone's own budget and its share of the pool's budget, but no more workers
// than the zone has.
func minAvailableByPool(view *structs.View, zone string) map[string]int {
	inZone := make(map[string]int)
	total := make(map[string]int)
	for _, vm := range view.VMs {
		total[vm.Pool]++
		if vm.Zone == zone {
			inZone[vm.Pool]++
		}
	}
	required := make(map[string]int)
	for _, svc := range view.Services {
		if inZone[svc.Pool] == 0 {
			continue
		}
		share := ceilDiv(svc.Budget.MinAvailable*inZone[svc.Pool], total[svc.Pool])
		minimum := max(share, svc.Budget.MinAvailablePerZone)
		required[svc.Pool] = max(required[svc.Pool], min(minimum, inZone[svc.Pool]))
	}
	return required
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
