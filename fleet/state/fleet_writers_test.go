package state

import (
	"fmt"
	"slices"

	"wigeonwinch/fleet/structs"
)

const (
	fleetScope = "fleet"
	leaseTTLMS = 10000
	// maxExtraVMs limits the number of VMs that pipelines add to the example.
	maxExtraVMs = 12
)

var fleetImages = []string{"worker-2026-11", "worker-2026-12", "worker-2027-01"}

// pick returns a random item.
func pick[T any](f *fleetSim, items []T) T {
	return items[f.random.IntN(len(items))]
}

// propose returns the records of one random proposal of a planner.
func (f *fleetSim) propose(p *fleetPlanner) []structs.Record {
	choice := f.random.IntN(1000)
	switch {
	case choice < 60:
		return []structs.Record{f.proposeLease(p)}
	case choice < 140:
		return []structs.Record{f.proposePublish(p)}
	case choice < 400:
		return f.proposeAcks(p.view)
	case choice < 408:
		return f.proposeFailures(p)
	case choice < 420:
		return []structs.Record{f.proposeEntryEpoch(p.view, pick(f, zoneNames(p.view)))}
	case choice < 421:
		return []structs.Record{f.proposeWaveStop(p)}
	case choice < 425:
		return []structs.Record{{Writer: p.name}}
	}
	return []structs.Record{f.proposeAction(p)}
}

func zoneNames(view *structs.View) []string {
	var list []string
	for name := range view.Zones {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// proposeLease acquires, renews or releases the lease.
func (f *fleetSim) proposeLease(p *fleetPlanner) structs.Record {
	current := p.view.Leases[fleetScope]
	l := structs.Lease{Scope: fleetScope, Holder: p.name, TTLMS: leaseTTLMS}
	if current.Holder == p.name && !current.Release && f.chance(800) {
		l.Epoch = current.Epoch
		l.Sequence = current.Sequence + 1
		l.Release = f.chance(50)
	} else if f.chance(300) || current.Epoch == 0 {
		l.Epoch = current.Epoch + 1
		l.Sequence = 1
		l.ObservedSequence = current.Sequence
	} else {
		l.Epoch = current.Epoch
		l.Sequence = current.Sequence + 1
	}
	p.epoch = l.Epoch
	return structs.Record{Writer: p.name, Lease: &l}
}

// proposeAction returns a transition or a move of a random VM, mostly one that
// is valid in the planner's view.
func (f *fleetSim) proposeAction(p *fleetPlanner) structs.Record {
	vm := pick(f, p.view.VMs)
	epoch := p.view.Leases[fleetScope].Epoch
	if f.chance(50) {
		epoch = p.epoch
	}
	if vm.State == structs.VMDrained && f.chance(300) {
		return structs.Record{Writer: f.pickWriter(p), Move: &structs.Move{
			VM: vm.ID, Sequence: vm.Sequence, To: f.randomPool(p.view), LeaseScope: fleetScope, LeaseEpoch: epoch,
		}}
	}
	t := f.randomTransition(p.view, vm)
	t.LeaseScope = fleetScope
	t.LeaseEpoch = epoch
	return structs.Record{Writer: f.pickWriter(p), Transition: &t}
}

// pickWriter returns the writer of a record: mostly the lease holder in the
// planner's view, so that actions succeed, and otherwise the planner itself.
func (f *fleetSim) pickWriter(p *fleetPlanner) string {
	if holder := p.view.Leases[fleetScope].Holder; holder != "" && f.chance(900) {
		return holder
	}
	return p.name
}

func (f *fleetSim) randomPool(view *structs.View) string {
	var list []string
	for name := range view.Pools {
		list = append(list, name)
	}
	slices.Sort(list)
	return pick(f, list)
}

// randomTransition returns a transition of a VM. About one in ten has a random
// target state, which may be invalid.
func (f *fleetSim) randomTransition(view *structs.View, vm structs.VMStatus) structs.Transition {
	t := structs.Transition{VM: vm.ID, Sequence: vm.Sequence}
	next := nextStates[vm.State]
	t.To = next[0]
	if f.chance(250) {
		t.To = pick(f, next)
	}
	if f.chance(100) {
		t.To = structs.VMState(f.random.IntN(8))
	}
	if t.To == structs.VMProbation {
		t.Image = pick(f, fleetImages)
	}
	if t.To == structs.VMDraining && f.chance(500) {
		t.Wave = f.randomWave(view)
	}
	if vm.State == structs.VMProbation && f.chance(100) {
		t.To = structs.VMFailed
		t.FailedProbation = true
	}
	return t
}

func (f *fleetSim) randomWave(view *structs.View) string {
	var list []string
	for name := range view.Waves {
		list = append(list, name)
	}
	slices.Sort(list)
	if len(list) == 0 {
		return "none"
	}
	return pick(f, list)
}

// proposeAcks returns acknowledgements of the drains in a view by some of the
// entry nodes.
func (f *fleetSim) proposeAcks(view *structs.View) []structs.Record {
	var list []structs.Record
	for _, vm := range view.VMs {
		if vm.State != structs.VMDraining {
			continue
		}
		for _, m := range view.EntryEpochs[vm.Zone].Members {
			if f.chance(200) || slices.Contains(vm.Acks, m.Node) {
				continue
			}
			list = append(list, structs.Record{Writer: m.Node, DrainAck: &structs.DrainAck{
				VM: vm.ID, Sequence: vm.Sequence, Node: m.Node, Incarnation: m.Incarnation,
			}})
		}
	}
	return list
}

// proposeFailures returns the records of the failure of a VM, a rack or a zone.
func (f *fleetSim) proposeFailures(p *fleetPlanner) []structs.Record {
	failed := pick(f, p.view.VMs)
	domain := pick(f, []structs.FailureDomain{
		structs.FailureDomainVM, structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
	})
	f.domains[domain]++
	lease := p.view.Leases[fleetScope]
	var list []structs.Record
	for _, vm := range p.view.VMs {
		if !failsWith(domain, failed, vm) {
			continue
		}
		list = append(list, structs.Record{Writer: lease.Holder, Transition: &structs.Transition{
			VM: vm.ID, Sequence: vm.Sequence, To: structs.VMFailed, LeaseScope: fleetScope, LeaseEpoch: lease.Epoch,
		}})
	}
	return list
}

// failsWith reports whether a VM is in the same failure domain as the failed
// one.
func failsWith(domain structs.FailureDomain, failed, vm structs.VMStatus) bool {
	switch domain {
	case structs.FailureDomainZone:
		return vm.Zone == failed.Zone
	case structs.FailureDomainRack:
		return vm.Zone == failed.Zone && vm.Rack == failed.Rack
	}
	return vm.ID == failed.ID
}

func (f *fleetSim) proposeWaveStop(p *fleetPlanner) structs.Record {
	lease := p.view.Leases[fleetScope]
	return structs.Record{Writer: lease.Holder, WaveStop: &structs.WaveStop{
		Wave: f.randomWave(p.view), Reason: "too many failures", LeaseScope: fleetScope, LeaseEpoch: lease.Epoch,
	}}
}

// proposeEntryEpoch returns the next entry epoch of a zone, with a random
// membership.
func (f *fleetSim) proposeEntryEpoch(view *structs.View, zone string) structs.Record {
	current := view.EntryEpochs[zone]
	next := &structs.EntryEpoch{Zone: zone, Epoch: current.Epoch + 1}
	for i := range 1 + f.random.IntN(3) {
		m := structs.EntryMember{Node: fmt.Sprintf("%s-%d", zone, i), Incarnation: 1}
		if before, ok := findMember(current.Members, m.Node); ok {
			m.Incarnation = before.Incarnation + uint64(f.random.IntN(2))
		}
		next.Members = append(next.Members, m)
	}
	return structs.Record{Writer: next.Members[0].Node, EntryEpoch: next}
}

// proposePublish returns a publish of one or two changes, based on a view that
// may be outdated.
func (f *fleetSim) proposePublish(p *fleetPlanner) structs.Record {
	changes := []structs.Change{f.proposeChange(p.view)}
	if f.chance(200) {
		changes = append(changes, f.proposeChange(p.view))
	}
	publish := &structs.Publish{Base: p.view.Generation, Changes: changes}
	return structs.Record{Writer: "pipeline-" + p.name, Publish: publish}
}

func (f *fleetSim) proposeChange(view *structs.View) structs.Change {
	switch f.random.IntN(6) {
	case 0:
		return teamChange(fmt.Sprintf("team-%d", f.random.IntN(20)), f.random.IntN(12)-1)
	case 1:
		id := fmt.Sprintf("extra-%d", f.random.IntN(maxExtraVMs))
		zone := pick(f, zoneNames(view))
		return vmChange(id, f.randomPool(view), zone, "127.0.0.1:"+fmt.Sprint(30000+f.random.IntN(2*maxExtraVMs)))
	case 2:
		if f.chance(600) {
			return f.redeclareVM(view)
		}
		return deletion(structs.ItemVM, pick(f, view.VMs).ID)
	case 3:
		return f.proposeBudgetChange(view)
	case 4:
		name := fmt.Sprintf("wave-%d", f.random.IntN(4))
		wave := &structs.Wave{Name: name, Image: pick(f, fleetImages), Paused: f.chance(100)}
		return structs.Change{Kind: structs.ItemWave, Name: name, Wave: wave}
	}
	return f.redeclareVM(view)
}

func (f *fleetSim) proposeBudgetChange(view *structs.View) structs.Change {
	var list []string
	for name := range view.Services {
		list = append(list, name)
	}
	slices.Sort(list)
	svc := view.Services[pick(f, list)]
	svc.Budget = structs.Budget{
		MinAvailable:        f.random.IntN(9),
		MinAvailablePerZone: f.random.IntN(2),
		Survive: pick(f, []structs.FailureDomain{
			structs.FailureDomainNone, structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
		}),
	}
	return structs.Change{Kind: structs.ItemService, Name: svc.Name, Service: &svc}
}

// redeclareVM declares a VM of the example again, or changes it if it still
// exists.
func (f *fleetSim) redeclareVM(view *structs.View) structs.Change {
	pools := []string{"intake", "fire-review", "structure", "survey", "billing-admin"}
	i := f.random.IntN(40)
	pool := pools[i%len(pools)]
	id := fmt.Sprintf("%s-%02d", pool, 1+i/len(pools))
	if vm, ok := view.VMByID(id); ok {
		changed := vm.VM
		changed.Slots = 1 + f.random.IntN(8)
		return structs.Change{Kind: structs.ItemVM, Name: id, VM: &changed}
	}
	return vmChange(id, pool, pick(f, zoneNames(view)), "127.0.0.1:"+fmt.Sprint(31000+i))
}
