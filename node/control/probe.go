package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
)

// Limits of probing.
const (
	// activeProbeInterval is the interval between two probes of an active VM
	// that the platform lists as live.
	activeProbeInterval = time.Minute
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbesPerRequest bounds the probes in one request.
	maxProbesPerRequest = 32
	// maxParallelProbes bounds the probes that a node runs concurrently.
	maxParallelProbes = 16
)

// probeState is the result of the last probes of a VM.
type probeState struct {
	ok        bool
	failures  int
	nextProbe time.Time
}

// zoneState is what the planner knows about a zone.
type zoneState struct {
	answeredAt  time.Time
	nextContact time.Time
	memberTurn  int
	probing     bool
	// nextProbe is when the next probe request may be sent to the zone.
	nextProbe time.Time
}

func (l *Loop) zoneState(name string) *zoneState {
	z, ok := l.zones[name]
	if !ok {
		z = &zoneState{}
		l.zones[name] = z
	}
	return z
}

// probeIfDue sends each zone a request for the probes that are due there.
func (l *Loop) probeIfDue(ctx context.Context, now time.Time) {
	view := l.view.Load()
	if view == nil || l.cfg.Prober == nil {
		return
	}
	due := make(map[string][]*structs.VMStatus)
	for i := range view.VMs {
		vm := &view.VMs[i]
		if len(due[vm.Zone]) < maxProbesPerRequest && !now.Before(l.probeState(vm.ID).nextProbe) {
			due[vm.Zone] = append(due[vm.Zone], vm)
		}
	}
	for zone, vms := range due {
		z := l.zoneState(zone)
		if !z.probing && !now.Before(z.nextProbe) {
			z.probing = true
			z.nextProbe = now.Add(l.cfg.Intervals.Probe)
			l.probeZone(ctx, view, zone, vms, now)
		}
	}
}

func (l *Loop) probeState(vm string) *probeState {
	if l.observed.probes == nil {
		l.observed.probes = make(map[string]*probeState)
	}
	p, ok := l.observed.probes[vm]
	if !ok {
		p = &probeState{}
		l.observed.probes[vm] = p
	}
	return p
}

func (l *Loop) probeZone(ctx context.Context, view *structs.View, zone string, vms []*structs.VMStatus, now time.Time) {
	addresses := make([]string, 0, len(vms))
	for _, vm := range vms {
		addresses = append(addresses, vm.Address)
		interval := activeProbeInterval
		if vm.State != structs.VMActive || !l.observed.live[vm.ID] {
			interval = l.cfg.Intervals.Probe
		}
		l.probeState(vm.ID).nextProbe = now.Add(l.withJitter(interval))
	}
	target := l.nodeInZone(view, zone)
	l.group.Go(func() {
		result, err := l.probeVia(ctx, target, addresses)
		l.post(ctx, func() {
			l.zoneState(zone).probing = false
			if err == nil {
				l.handleProbeResult(vms, result)
			}
		})
	})
}

func (l *Loop) handleProbeResult(vms []*structs.VMStatus, result probeResult) {
	for i, vm := range vms {
		if i >= len(result.OK) {
			return
		}
		p := l.probeState(vm.ID)
		p.ok = result.OK[i]
		if p.ok {
			p.failures = 0
			continue
		}
		p.failures++
		p.nextProbe = time.Now().Add(l.cfg.Intervals.Probe)
	}
}

// nodeInZone returns a member of a zone through which to reach it. It returns
// this node for its own zone and prefers connected members of other zones. It
// returns an empty name if the zone has no members.
func (l *Loop) nodeInZone(view *structs.View, zone string) string {
	if zone == l.cfg.Zone {
		return l.cfg.Node
	}
	members := view.EntryEpochs[zone].Members
	if len(members) == 0 {
		return ""
	}
	for _, m := range members {
		if p, ok := l.peers[m.Node]; ok && p.status.Connected {
			return m.Node
		}
	}
	z := l.zoneState(zone)
	z.memberTurn++
	return members[z.memberTurn%len(members)].Node
}

// probeVia has a node probe workers of its zone.
func (l *Loop) probeVia(ctx context.Context, node string, addresses []string) (probeResult, error) {
	if node == l.cfg.Node {
		return l.probeLocally(ctx, addresses), nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.CallTimeout+maxProbesPerRequest/maxParallelProbes*probeTimeout)
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
	if len(request.Addresses) > maxProbesPerRequest {
		request.Addresses = request.Addresses[:maxProbesPerRequest]
	}
	return encode(l.probeLocally(ctx, request.Addresses)), nil
}

func (l *Loop) probeLocally(ctx context.Context, addresses []string) probeResult {
	result := probeResult{OK: make([]bool, len(addresses))}
	if l.cfg.Prober == nil {
		return result
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelProbes)
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			result.OK[i] = l.cfg.Prober.Probe(probeCtx, address) == nil
		})
	}
	group.Wait()
	return result
}

// contactZones checks that the planner can reach each zone. It runs while this
// node plans.
func (l *Loop) contactZones(ctx context.Context, now time.Time) {
	view := l.view.Load()
	if view == nil || l.cfg.Peers == nil {
		return
	}
	for zone := range view.Zones {
		z := l.zoneState(zone)
		node := l.nodeInZone(view, zone)
		if node == "" || node == l.cfg.Node || now.Before(z.nextContact) {
			continue
		}
		z.nextContact = now.Add(l.cfg.Intervals.ZoneContact)
		body := encode(l.ownReport())
		l.group.Go(func() {
			_, err := l.call(ctx, node, methodExchange, body)
			if err == nil {
				l.post(ctx, func() { l.zoneState(zone).answeredAt = time.Now() })
			}
		})
	}
}

// unreachableZoneIntervals is the number of contact intervals without an answer
// after which a zone counts as unreachable.
const unreachableZoneIntervals = 3

// unreachableZones returns the sorted names of the zones that this node can't
// reach.
func (l *Loop) unreachableZones(view *structs.View, now time.Time) []string {
	var unreachable []string
	for zone := range view.Zones {
		if zone == l.cfg.Zone {
			continue
		}
		if now.Sub(l.zoneState(zone).answeredAt) > unreachableZoneIntervals*l.cfg.Intervals.ZoneContact {
			unreachable = append(unreachable, zone)
		}
	}
	sort.Strings(unreachable)
	return unreachable
}
