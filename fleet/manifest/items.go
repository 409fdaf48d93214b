package manifest

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"wigeonwinch/fleet/structs"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// name checks the name of an item.
func (p *problems) name(field, value string) {
	if len(value) > MaxNameBytes || !namePattern.MatchString(value) {
		p.add(field, value, "use 1 to %d letters, digits, dots, dashes or underscores, beginning with a letter or digit", MaxNameBytes)
	}
}

// text checks a short text that must be present.
func (p *problems) text(field, value string) {
	if value == "" {
		p.add(field, "", "is missing: give a value")
		return
	}
	if len(value) > MaxTextBytes {
		p.add(field, value[:MaxTextBytes], "is too long: use at most %d bytes", MaxTextBytes)
	}
}

// between checks that a number lies in a closed range.
func (p *problems) between(field string, value, low, high int) {
	if value < low || value > high {
		p.add(field, strconv.Itoa(value), "use a number from %d to %d", low, high)
	}
}

func (p *problems) zone(field string, z structs.Zone) {
	p.name(field+".name", z.Name)
	p.name(field+".region", z.Region)
}

func (p *problems) team(field string, t structs.Team) {
	p.name(field+".name", t.Name)
	p.between(field+".weight", t.Weight, 0, MaxTeamWeight)
	p.between(field+".max_in_progress", t.MaxInProgress, 0, MaxSize)
	p.between(field+".burst", t.Burst, 0, MaxSize)
	p.between(field+".urgent_percent", t.UrgentPercent, 0, maxPercent)
	if !(t.RatePerSecond >= 0 && t.RatePerSecond <= MaxSize) {
		p.add(field+".rate_per_second", fmt.Sprint(t.RatePerSecond), "use a number from 0 (no bound) to %d", MaxSize)
	}
}

func (p *problems) pool(field string, pool structs.Pool) {
	p.name(field+".name", pool.Name)
	p.text(field+".image", pool.Image)
}

func (p *problems) vm(field string, vm structs.VM) {
	p.name(field+".id", vm.ID)
	p.name(field+".pool", vm.Pool)
	p.name(field+".zone", vm.Zone)
	p.name(field+".rack", vm.Rack)
	addr, err := netip.ParseAddrPort(vm.Address)
	if err != nil || addr.Port() == 0 {
		p.add(field+".address", vm.Address, "use an IP address and a port, such as 10.0.0.1:8080")
	}
	p.between(field+".cores", vm.Cores, 1, MaxSize)
	p.between(field+".memory_mb", vm.MemoryMB, 1, MaxSize)
	p.between(field+".accelerators", vm.Accelerators, 0, MaxSize)
	p.between(field+".slots", vm.Slots, 1, MaxSlots)
	p.between(field+".connections", vm.Connections, 1, MaxSlots)
	if vm.Connections < vm.Slots {
		p.add(field+".connections", strconv.Itoa(vm.Connections), "each slot needs a connection: use at least %d or lower slots", vm.Slots)
	}
}

func (p *problems) service(field string, svc structs.Service) {
	p.name(field+".name", svc.Name)
	p.name(field+".pool", svc.Pool)
	p.routes(field+".routes", svc.Routes)
	p.budget(field+".budget", svc.Budget)
	p.between(field+".deadline_ms", svc.DeadlineMS, 1, MaxDeadlineMS)
	p.between(field+".cores", svc.Cores, 0, MaxSize)
	p.between(field+".memory_mb", svc.MemoryMB, 0, MaxSize)
	p.between(field+".accelerators", svc.Accelerators, 0, MaxSize)
}

func (p *problems) routes(field string, routes []string) {
	if len(routes) == 0 || len(routes) > MaxRoutes {
		p.add(field, strconv.Itoa(len(routes)), "list 1 to %d path prefixes", MaxRoutes)
	}
	for i, route := range routes {
		at := fmt.Sprintf("%s[%d]", field, i)
		if !strings.HasPrefix(route, "/") || len(route) > MaxTextBytes {
			p.add(at, route, "begin the path prefix with / and use at most %d bytes", MaxTextBytes)
		}
	}
}

func (p *problems) budget(field string, b structs.Budget) {
	p.between(field+".min_available", b.MinAvailable, 0, MaxVMs)
	p.between(field+".min_available_per_zone", b.MinAvailablePerZone, 0, MaxVMs)
	switch b.Survive {
	case structs.FailureDomainNone, structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone:
	default:
		p.add(field+".survive", string(b.Survive), `use "vm", "rack" or "zone", or leave the key out`)
	}
}

func (p *problems) window(field string, w structs.Window) {
	p.name(field+".name", w.Name)
	p.between(field+".start_minute", w.StartMinute, 0, minutesPerDay-1)
	p.between(field+".end_minute", w.EndMinute, 0, minutesPerDay-1)
	if w.StartMinute == w.EndMinute {
		p.add(field+".end_minute", strconv.Itoa(w.EndMinute), "the window is empty: let it end at another minute than it starts")
	}
}

func (p *problems) wave(field string, w structs.Wave) {
	p.name(field+".name", w.Name)
	p.text(field+".image", w.Image)
	p.between(field+".max_failed_percent", w.MaxFailedPercent, 0, maxPercent)
	for i, pool := range w.Pools {
		p.name(fmt.Sprintf("%s.pools[%d]", field, i), pool)
	}
	if len(w.Pools) > MaxPools {
		p.add(field+".pools", strconv.Itoa(len(w.Pools)), "list at most %d pools, or none for all", MaxPools)
	}
	if w.Window != "" {
		p.name(field+".window", w.Window)
	}
}
