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

// checkName checks the name of an item.
func (p *problemList) checkName(field, value string) {
	if len(value) > MaxNameBytes || !namePattern.MatchString(value) {
		p.add(field, value, "use 1 to %d letters, digits, dots, dashes or underscores, beginning with a letter or digit", MaxNameBytes)
	}
}

// checkText checks a short text that is required.
func (p *problemList) checkText(field, value string) {
	if value == "" {
		p.add(field, "", "is missing: give a value")
		return
	}
	if len(value) > MaxTextBytes {
		p.add(field, value[:MaxTextBytes], "is too long: use at most %d bytes", MaxTextBytes)
	}
}

// checkRange checks that a number lies in a closed range.
func (p *problemList) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		p.add(field, strconv.Itoa(value), "use a number from %d to %d", low, high)
	}
}

func (p *problemList) checkZone(field string, z structs.Zone) {
	p.checkName(field+".name", z.Name)
	p.checkName(field+".region", z.Region)
}

func (p *problemList) checkTeam(field string, t structs.Team) {
	p.checkName(field+".name", t.Name)
	p.checkRange(field+".weight", t.Weight, 0, MaxTeamWeight)
	p.checkRange(field+".max_in_progress", t.MaxInProgress, 0, MaxQuantity)
	p.checkRange(field+".burst", t.Burst, 0, MaxQuantity)
	p.checkRange(field+".urgent_percent", t.UrgentPercent, 0, maxPercent)
	if !(t.RatePerSecond >= 0 && t.RatePerSecond <= MaxQuantity) {
		p.add(field+".rate_per_second", fmt.Sprint(t.RatePerSecond), "use a number from 0 (no limit) to %d", MaxQuantity)
	}
}

func (p *problemList) checkPool(field string, pool structs.Pool) {
	p.checkName(field+".name", pool.Name)
	p.checkText(field+".image", pool.Image)
}

func (p *problemList) checkVM(field string, vm structs.VM) {
	p.checkName(field+".id", vm.ID)
	p.checkName(field+".pool", vm.Pool)
	p.checkName(field+".zone", vm.Zone)
	p.checkName(field+".rack", vm.Rack)
	addr, err := netip.ParseAddrPort(vm.Address)
	if err != nil || addr.Port() == 0 {
		p.add(field+".address", vm.Address, "use an IP address and a port, such as 10.0.0.1:8080")
	}
	p.checkRange(field+".cores", vm.Cores, 1, MaxQuantity)
	p.checkRange(field+".memory_mb", vm.MemoryMB, 1, MaxQuantity)
	p.checkRange(field+".accelerators", vm.Accelerators, 0, MaxQuantity)
	p.checkRange(field+".slots", vm.Slots, 1, MaxSlots)
	p.checkRange(field+".connections", vm.Connections, 1, MaxSlots)
	if vm.Connections < vm.Slots {
		p.add(field+".connections", strconv.Itoa(vm.Connections), "each slot needs a connection: use at least %d or lower slots", vm.Slots)
	}
}

func (p *problemList) checkService(field string, svc structs.Service) {
	p.checkName(field+".name", svc.Name)
	p.checkName(field+".pool", svc.Pool)
	p.checkRoutes(field+".routes", svc.Routes)
	p.checkBudget(field+".budget", svc.Budget)
	p.checkRange(field+".deadline_ms", svc.DeadlineMS, 1, MaxDeadlineMS)
	p.checkRange(field+".cores", svc.Cores, 0, MaxQuantity)
	p.checkRange(field+".memory_mb", svc.MemoryMB, 0, MaxQuantity)
	p.checkRange(field+".accelerators", svc.Accelerators, 0, MaxQuantity)
}

func (p *problemList) checkRoutes(field string, routes []string) {
	if len(routes) == 0 || len(routes) > MaxRoutes {
		p.add(field, strconv.Itoa(len(routes)), "list 1 to %d path prefixes", MaxRoutes)
	}
	for i, route := range routes {
		path := fmt.Sprintf("%s[%d]", field, i)
		if !strings.HasPrefix(route, "/") || len(route) > MaxTextBytes {
			p.add(path, route, "begin the path prefix with / and use at most %d bytes", MaxTextBytes)
		}
	}
}

func (p *problemList) checkBudget(field string, b structs.Budget) {
	p.checkRange(field+".min_available", b.MinAvailable, 0, MaxVMs)
	p.checkRange(field+".min_available_per_zone", b.MinAvailablePerZone, 0, MaxVMs)
	switch b.Survive {
	case structs.FailureDomainNone, structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone:
	default:
		p.add(field+".survive", string(b.Survive), `use "vm", "rack" or "zone", or leave the key out`)
	}
}

func (p *problemList) checkWindow(field string, w structs.Window) {
	p.checkName(field+".name", w.Name)
	p.checkRange(field+".start_minute", w.StartMinute, 0, minutesPerDay-1)
	p.checkRange(field+".end_minute", w.EndMinute, 0, minutesPerDay-1)
	if w.StartMinute == w.EndMinute {
		p.add(field+".end_minute", strconv.Itoa(w.EndMinute), "the window is empty: use an end_minute that differs from start_minute")
	}
}

func (p *problemList) checkWave(field string, w structs.Wave) {
	p.checkName(field+".name", w.Name)
	p.checkText(field+".image", w.Image)
	p.checkRange(field+".max_failed_percent", w.MaxFailedPercent, 0, maxPercent)
	for i, pool := range w.Pools {
		p.checkName(fmt.Sprintf("%s.pools[%d]", field, i), pool)
	}
	if len(w.Pools) > MaxPools {
		p.add(field+".pools", strconv.Itoa(len(w.Pools)), "list at most %d pools, or none for all", MaxPools)
	}
	if w.Window != "" {
		p.checkName(field+".window", w.Window)
	}
}
