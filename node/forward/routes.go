package forward

import (
	"maps"
	"slices"
	"strings"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/fleet/structs"
)

// routes is what the request path needs of one view, worked out once.
type routes struct {
	view *structs.View
	// prefixes is ordered from the longest to the shortest.
	prefixes []prefix
	// zones are the names of all availability zones, sorted.
	zones []string
	// members are the entry nodes of each zone.
	members map[string][]claims.Member
	// reach are the zones that have active workers, by pool.
	reach map[string][]string
}

type prefix struct {
	path    string
	service structs.Service
}

func newRoutes(view *structs.View) *routes {
	rt := &routes{
		view:    view,
		zones:   slices.Sorted(maps.Keys(view.Zones)),
		members: make(map[string][]claims.Member),
		reach:   make(map[string][]string),
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		svc := view.Services[name]
		for _, path := range svc.Routes {
			rt.prefixes = append(rt.prefixes, prefix{path: path, service: svc})
		}
	}
	slices.SortStableFunc(rt.prefixes, func(a, b prefix) int { return len(b.path) - len(a.path) })
	for zone, epoch := range view.Entry {
		rt.members[zone] = claimMembers(epoch)
	}
	rt.findReach()
	return rt
}

func claimMembers(epoch structs.EntryEpoch) []claims.Member {
	members := make([]claims.Member, 0, len(epoch.Members))
	for _, m := range epoch.Members {
		members = append(members, claims.Member{Node: m.Node, Incarnation: m.Incarnation})
	}
	return members
}

func (rt *routes) findReach() {
	for _, vm := range rt.view.VMs {
		if !accepting(vm) || slices.Contains(rt.reach[vm.Pool], vm.Zone) {
			continue
		}
		rt.reach[vm.Pool] = append(rt.reach[vm.Pool], vm.Zone)
	}
	for _, zones := range rt.reach {
		slices.Sort(zones)
	}
}

// accepting says whether the control state lets a VM take new work.
func accepting(vm structs.VMStatus) bool {
	return vm.State == structs.VMActive && !vm.Removed
}

// service returns the service with the longest prefix of a path.
func (rt *routes) service(path string) (structs.Service, string, bool) {
	for i := range rt.prefixes {
		p := &rt.prefixes[i]
		if p.matches(path) {
			return p.service, p.path, true
		}
	}
	return structs.Service{}, "", false
}

// matches says whether the path lies under the prefix, by whole segments.
func (p *prefix) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, p.path)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(p.path, "/")
}
