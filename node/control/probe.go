package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
)

// Bounds of probing.
const (
	// activeProbeInterval is the time between two probes of an active VM.
	activeProbeInterval = time.Minute
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbes bounds the probes that one message asks for.
	maxProbes = 32
	// parallelProbes bounds the probes that a node makes at once.
	parallelProbes = 16
)

// probeFacts is what the last probes of a VM gave.
type probeFacts struct {
	ok       bool
	failures int
	next     time.Time
}

// zoneFacts is what the planner knows of a zone.
type zoneFacts struct {
	heardAt time.Time
	next    time.Time
	turn    int
	probing bool
	// nextProbe is when the zone may be asked for probes again.
	nextProbe time.Time
}

func (l *Loop) zone(name string) *zoneFacts {
	facts, ok := l.zones[name]
	if !ok {
		facts = &zoneFacts{}
		l.zones[name] = facts
	}
	return facts
}

// probeDue asks each zone for the probes that are due there.
func (l *Loop) probeDue(ctx context.Context, now time.Time) {
	view := l.view.Load()
	if view == nil || l.cfg.Probe == nil {
		return
	}
	due := make(map[string][]*structs.VMStatus)
	for i := range view.VMs {
		vm := &view.VMs[i]
		if len(due[vm.Zone]) < maxProbes && !now.Before(l.probe(vm.ID).next) {
			due[vm.Zone] = append(due[vm.Zone], vm)
		}
	}
	for zone, vms := range due {
		facts := l.zone(zone)
		if !facts.probing && !now.Before(facts.nextProbe) {
			facts.probing = true
			facts.nextProbe = now.Add(l.cfg.Intervals.Probe)
			l.probeZone(ctx, view, zone, vms, now)
		}
	}
}

func (l *Loop) probe(vm string) *probeFacts {
	if l.observed.probes == nil {
		l.observed.probes = make(map[string]*probeFacts)
	}
	facts, ok := l.observed.probes[vm]
	if !ok {
		facts = &probeFacts{}
		l.observed.probes[vm] = facts
	}
	return facts
}

func (l *Loop) probeZone(ctx context.Context, view *structs.View, zone string, vms []*structs.VMStatus, now time.Time) {
	addresses := make([]string, 0, len(vms))
	for _, vm := range vms {
		addresses = append(addresses, vm.Address)
		interval := activeProbeInterval
		if vm.State != structs.VMActive || !l.observed.live[vm.ID] {
			interval = l.cfg.Intervals.Probe
		}
		l.probe(vm.ID).next = now.Add(l.jittered(interval))
	}
	target := l.nodeOf(view, zone)
	l.group.Go(func() {
		result, err := l.probeThrough(ctx, target, addresses)
		l.post(ctx, func() {
			l.zone(zone).probing = false
			if err == nil {
				l.probesDone(vms, result)
			}
		})
	})
}

func (l *Loop) probesDone(vms []*structs.VMStatus, result probeResult) {
	for i, vm := range vms {
		if i >= len(result.OK) {
			return
		}
		facts := l.probe(vm.ID)
		facts.ok = result.OK[i]
		if facts.ok {
			facts.failures = 0
			continue
		}
		facts.failures++
		facts.next = time.Now().Add(l.cfg.Intervals.Probe)
	}
}

// nodeOf returns a member of a zone, a connected one if there is one; it is
// this node for its own zone and empty when the zone has none.
func (l *Loop) nodeOf(view *structs.View, zone string) string {
	if zone == l.cfg.Zone {
		return l.cfg.Node
	}
	members := view.Entry[zone].Members
	if len(members) == 0 {
		return ""
	}
	for _, m := range members {
		if facts, ok := l.peers[m.Node]; ok && facts.status.Connected {
			return m.Node
		}
	}
	facts := l.zone(zone)
	facts.turn++
	return members[facts.turn%len(members)].Node
}

// probeThrough has a node probe workers of its zone.
func (l *Loop) probeThrough(ctx context.Context, node string, addresses []string) (probeResult, error) {
	if node == l.cfg.Node {
		return l.probeHere(ctx, addresses), nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.CallTimeout+maxProbes/parallelProbes*probeTimeout)
	defer cancel()
	answer, err := l.cfg.Peers.Call(ctx, node, methodProbe, encode(probeRequest{Addresses: addresses}))
	if err != nil {
		return probeResult{}, err
	}
	return decode[probeResult](answer)
}

// handleProbe probes workers for another node.
func (l *Loop) handleProbe(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[probeRequest](body)
	if err != nil {
		return nil, err
	}
	if len(request.Addresses) > maxProbes {
		request.Addresses = request.Addresses[:maxProbes]
	}
	return encode(l.probeHere(ctx, request.Addresses)), nil
}

func (l *Loop) probeHere(ctx context.Context, addresses []string) probeResult {
	result := probeResult{OK: make([]bool, len(addresses))}
	if l.cfg.Probe == nil {
		return result
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelProbes)
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			result.OK[i] = l.cfg.Probe.Probe(probeCtx, address) == nil
		})
	}
	group.Wait()
	return result
}

// hearZones makes sure, while planning, that each zone answers.
func (l *Loop) hearZones(ctx context.Context, now time.Time) {
	view := l.view.Load()
	if view == nil || l.cfg.Peers == nil {
		return
	}
	for zone := range view.Zones {
		facts := l.zone(zone)
		node := l.nodeOf(view, zone)
		if node == "" || node == l.cfg.Node || now.Before(facts.next) {
			continue
		}
		facts.next = now.Add(l.cfg.Intervals.Zones)
		body := encode(l.report())
		l.group.Go(func() {
			_, err := l.call(ctx, node, methodExchange, body)
			if err == nil {
				l.post(ctx, func() { l.zone(zone).heardAt = time.Now() })
			}
		})
	}
}

// zoneSilence is after how many intervals an unheard zone counts as cut off.
const zoneSilence = 3

// cutZones returns the zones that this node can't hear, sorted.
func (l *Loop) cutZones(view *structs.View, now time.Time) []string {
	var cut []string
	for zone := range view.Zones {
		if zone == l.cfg.Zone {
			continue
		}
		if now.Sub(l.zone(zone).heardAt) > zoneSilence*l.cfg.Intervals.Zones {
			cut = append(cut, zone)
		}
	}
	sort.Strings(cut)
	return cut
}
