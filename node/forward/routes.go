package forward

import (
	"maps"
	"slices"
	"strings"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/fleet/structs"
)

// routes holds the data that the request path derives from one view.
type routes struct {
	view *structs.View
	// prefixes is sorted from the longest to the shortest.
	prefixes []prefix
	// zones holds the names of all availability zones, sorted.
	zones []string
	// members holds the entry nodes by zone.
	members map[string][]claims.Member
	// activeZones holds, by pool, the zones that have active workers.
	activeZones map[string][]string
}

type prefix struct {
	path    string
	service structs.Service
}

func newRoutes(view *structs.View) *routes {
	rt := &routes{
		view:        view,
		zones:       slices.Sorted(maps.Keys(view.Zones)),
		members:     make(map[string][]claims.Member),
		activeZones: make(map[string][]string),
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		svc := view.Services[name]
		for _, path := range svc.Routes {
			rt.prefixes = append(rt.prefixes, prefix{path: path, service: svc})
		}
	}
	slices.SortStableFunc(rt.prefixes, func(a, b prefix) int { return len(b.path) - len(a.path) })
	for zone, epoch := range view.EntryEpochs {
		rt.members[zone] = claimMembers(epoch)
	}
	rt.findActiveZones()
	return rt
}

func claimMembers(epoch structs.EntryEpoch) []claims.Member {
	members := make([]claims.Member, 0, len(epoch.Members))
	for _, m := range epoch.Members {
		members = append(members, claims.Member{Node: m.Node, Incarnation: m.Incarnation})
	}
	return members
}

func (rt *routes) findActiveZones() {
	for _, vm := range rt.view.VMs {
		if !acceptsWork(vm) || slices.Contains(rt.activeZones[vm.Pool], vm.Zone) {
			continue
		}
		rt.activeZones[vm.Pool] = append(rt.activeZones[vm.Pool], vm.Zone)
	}
	for _, zones := range rt.activeZones {
		slices.Sort(zones)
	}
}

// acceptsWork reports whether the control state allows a VM to get new
// requests.
func acceptsWork(vm structs.VMStatus) bool {
	return vm.State == structs.VMActive && !vm.Removed
}

// service returns the service with the longest prefix that matches a path,
// and that prefix.
func (rt *routes) service(path string) (structs.Service, string, bool) {
	for i := range rt.prefixes {
		p := &rt.prefixes[i]
		if p.matches(path) {
			return p.service, p.path, true
		}
	}
	return structs.Service{}, "", false
}

// matches reports whether the path is under the prefix. It compares whole
// path segments.
func (p *prefix) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, p.path)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(p.path, "/")
}
