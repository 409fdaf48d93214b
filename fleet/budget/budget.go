// Package budget counts, in one pass over the VMs, how many of each pool are
// available and says which of them can be taken out of service without
// breaking a service's availability budget.
//
//	ledger := budget.New(view, nil)
//	if ledger.Check(vm) == budget.Allowed {
//		ledger.Take(vm)
//	}
//
// Planned and unplanned outages count alike. The ledger keeps more than the
// log's fold checks: the loss of the failure domain that a budget names must
// still leave enough workers while planned outages are under way.
package budget

import (
	"sort"

	"wigeonwinch/fleet/structs"
)

// Refusal says why a VM can't be taken out of service.
type Refusal string

// The results of Check.
const (
	Allowed        Refusal = ""
	RefusedPool    Refusal = "pool"    // the pool would fall below MinAvailable
	RefusedZone    Refusal = "zone"    // the zone would fall below MinAvailablePerZone
	RefusedSurvive Refusal = "survive" // the loss of a failure domain would break the budget
	RefusedUnknown Refusal = "unknown" // the pool does not exist
)

// vmReserve is how many VMs a planned outage leaves for a random failure when
// no budget names a failure domain.
const vmReserve = 1

// Ledger holds the availability of every pool. It is not safe for concurrent
// use.
type Ledger struct {
	pools map[string]*pool
}

// OutFunc says that a VM is out although the control state counts it as
// active, for example because it is gone from the list of VMs.
type OutFunc func(vm *structs.VMStatus) bool

// rule is what one service asks of its pool.
type rule struct {
	min     int
	perZone int
	survive structs.FailureDomain
}

// pool is the availability of one pool.
type pool struct {
	rules     []rule
	total     int
	available int
	failed    int // out of service without a plan
	zones     *domains
	racks     *domains
}

func newPool() *pool {
	return &pool{zones: newDomains(), racks: newDomains()}
}

// New counts the view's VMs. The function out may be nil.
func New(view *structs.View, out OutFunc) *Ledger {
	l := &Ledger{pools: make(map[string]*pool, len(view.Pools))}
	for name := range view.Pools {
		l.pools[name] = newPool()
	}
	l.addRules(view)
	for i := range view.VMs {
		l.count(&view.VMs[i], out)
	}
	return l
}

func (l *Ledger) addRules(view *structs.View) {
	names := make([]string, 0, len(view.Services))
	for name := range view.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		service := view.Services[name]
		p := l.pools[service.Pool]
		if p == nil {
			continue
		}
		b := service.Budget
		p.rules = append(p.rules, rule{min: b.MinAvailable, perZone: b.MinAvailablePerZone, survive: b.Survive})
	}
}

func (l *Ledger) count(vm *structs.VMStatus, out OutFunc) {
	p := l.pools[vm.Pool]
	if p == nil {
		return
	}
	zone, rack := p.cells(vm)
	p.total++
	zone.total++
	rack.total++
	if vm.State == structs.VMFailed || (vm.State.Available() && out != nil && out(vm)) {
		p.failed++
		return
	}
	p.zones.addSound(zone)
	p.racks.addSound(rack)
	if vm.State.Available() {
		p.add(zone, rack)
	}
}

// cells returns the counts of the VM's zone and rack.
func (p *pool) cells(vm *structs.VMStatus) (zone, rack *cell) {
	zone = p.zones.cell(domain{zone: vm.Zone})
	rack = p.racks.cell(domain{zone: vm.Zone, rack: vm.Rack})
	return zone, rack
}

func (p *pool) add(zone, rack *cell) {
	p.available++
	p.zones.addAvailable(zone)
	p.racks.addAvailable(rack)
}

func (p *pool) remove(zone, rack *cell) {
	p.available--
	p.zones.removeAvailable(zone)
	p.racks.removeAvailable(rack)
}

// Check says whether an available VM can be taken out of service now.
func (l *Ledger) Check(vm *structs.VMStatus) Refusal {
	p := l.pools[vm.Pool]
	if p == nil {
		return RefusedUnknown
	}
	zone, rack := p.cells(vm)
	p.remove(zone, rack)
	defer p.add(zone, rack)
	for _, r := range p.rules {
		if refusal := p.violation(r, zone); refusal != Allowed {
			return refusal
		}
	}
	return Allowed
}

// violation says which part of the rule the pool's availability breaks.
func (p *pool) violation(r rule, zone *cell) Refusal {
	if p.available < r.min {
		return RefusedPool
	}
	if p.available-p.reserve(r) < r.min {
		return RefusedSurvive
	}
	if zone.available < r.perZone+r.zoneReserve(zone) {
		return RefusedZone
	}
	return Allowed
}

// reserve is the number of workers that one sudden loss can take.
func (p *pool) reserve(r rule) int {
	switch r.survive {
	case structs.FailureDomainZone:
		return p.zones.available.max
	case structs.FailureDomainRack:
		return p.racks.available.max
	case structs.FailureDomainVM:
		return min(vmReserve, p.available)
	}
	return undeclaredReserve(p.total - p.failed - r.min)
}

// zoneReserve is the number of workers kept in a zone for a random failure.
func (r rule) zoneReserve(zone *cell) int {
	if r.perZone == 0 {
		return 0
	}
	return undeclaredReserve(zone.sound - r.perZone)
}

// undeclaredReserve is the reserve where no budget names one, given the
// workers beyond the budget that have not failed. A last one is not kept
// back: no worker could ever be maintained then.
func undeclaredReserve(slack int) int {
	if slack > vmReserve {
		return vmReserve
	}
	return 0
}

// Take counts an available VM as out of service.
func (l *Ledger) Take(vm *structs.VMStatus) {
	if p := l.pools[vm.Pool]; p != nil {
		p.remove(p.cells(vm))
	}
}

// Release counts a VM that was out of service as available.
func (l *Ledger) Release(vm *structs.VMStatus) {
	if p := l.pools[vm.Pool]; p != nil {
		p.add(p.cells(vm))
	}
}

// Broken says that a service on the pool has fewer available workers than
// its budget asks for, in the pool or in a zone.
func (l *Ledger) Broken(name string) bool {
	p := l.pools[name]
	if p == nil {
		return false
	}
	for _, r := range p.rules {
		if p.available < r.min || p.zones.below(r.perZone) {
			return true
		}
	}
	return false
}

// Strained says that the pool could not bear the sudden loss that its budgets
// name. Planned outages should then be called back where that cuts no work.
func (l *Ledger) Strained(name string) bool {
	p := l.pools[name]
	if p == nil {
		return false
	}
	for _, r := range p.rules {
		if p.available-p.reserve(r) < r.min {
			return true
		}
	}
	return l.Broken(name)
}

// Available returns the number of available workers of the pool.
func (l *Ledger) Available(name string) int {
	if p := l.pools[name]; p != nil {
		return p.available
	}
	return 0
}

// Total returns the number of workers of the pool, available or not.
func (l *Ledger) Total(name string) int {
	if p := l.pools[name]; p != nil {
		return p.total
	}
	return 0
}

// InZone returns the number of available workers of the pool in a zone.
func (l *Ledger) InZone(name, zone string) int {
	if p := l.pools[name]; p != nil {
		return p.zones.of(domain{zone: zone}).available
	}
	return 0
}

// InRack returns the number of available workers of the pool in a rack.
func (l *Ledger) InRack(name, zone, rack string) int {
	if p := l.pools[name]; p != nil {
		return p.racks.of(domain{zone: zone, rack: rack}).available
	}
	return 0
}

// NamesZone says that a service on the pool must survive the loss of a zone.
func (l *Ledger) NamesZone(name string) bool {
	p := l.pools[name]
	if p == nil {
		return false
	}
	for _, r := range p.rules {
		if r.survive == structs.FailureDomainZone {
			return true
		}
	}
	return false
}
