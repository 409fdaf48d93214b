package entry

import (
	"go.opentelemetry.io/otel/attribute"

	"wigeonwinch/dispatch/scheduler"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/telemetry"
)

// observe registers the metrics that are read when they are scraped.
func (n *Node) observe() error {
	sources := map[string]func() []telemetry.Reading{
		telemetry.MetricReady:      n.readReady,
		telemetry.MetricOffset:     n.readView(func(v *structs.View) float64 { return float64(v.Offset) }),
		telemetry.MetricGeneration: n.readView(func(v *structs.View) float64 { return float64(v.Generation) }),
		telemetry.MetricVMs:        n.readVMs,
		telemetry.MetricHeadroom:   n.readHeadroom,
		telemetry.MetricWaveDone:   n.readWaves,
		telemetry.MetricViolations: func() []telemetry.Reading { return one(float64(n.recorder.Violations())) },
		telemetry.MetricPeersAlive: func() []telemetry.Reading { return one(float64(len(n.mesh.Alive()))) },
		telemetry.MetricPeerBytes:  n.readTraffic,
		telemetry.MetricRequests:   n.readRequests,
		telemetry.MetricAttempts:   n.readAttempts,
		telemetry.MetricInFlight:   func() []telemetry.Reading { return one(float64(n.forward.Stats().InFlight)) },
		telemetry.MetricQueued:     n.readQueued,
		telemetry.MetricInProgress: n.readPools(func(s scheduler.Stats) float64 { return float64(s.InProgress) }),
		telemetry.MetricFreeSlots:  n.readPools(func(s scheduler.Stats) float64 { return float64(s.FreeSlots) }),
		telemetry.MetricEjected:    n.readPools(countEjected),
		telemetry.MetricClaims:     func() []telemetry.Reading { return one(float64(n.forward.Stats().Claims)) },
	}
	for _, in := range telemetry.Instruments() {
		read, ok := sources[in.Name]
		if !ok {
			continue
		}
		if err := n.metrics.Observe(in, read); err != nil {
			return err
		}
	}
	return nil
}

func one(value float64) []telemetry.Reading {
	return []telemetry.Reading{{Value: value}}
}

func (n *Node) readReady() []telemetry.Reading {
	if ready, _ := n.Ready(); ready {
		return one(1)
	}
	return one(0)
}

func (n *Node) readView(pick func(*structs.View) float64) func() []telemetry.Reading {
	return func() []telemetry.Reading {
		view := n.View()
		if view == nil {
			return nil
		}
		return one(pick(view))
	}
}

// poolState is the key of one reading of the VM counts.
type poolState struct {
	pool  string
	state structs.VMState
}

func (n *Node) readVMs() []telemetry.Reading {
	view := n.View()
	if view == nil {
		return nil
	}
	counts := map[poolState]int{}
	for _, vm := range view.VMs {
		counts[poolState{vm.Pool, vm.State}]++
	}
	var readings []telemetry.Reading
	for key, count := range counts {
		r := telemetry.Reading{Value: float64(count)}
		r.Labels = append(r.Labels, telemetry.Label("pool", key.pool), telemetry.Label("state", key.state.String()))
		readings = append(readings, r)
	}
	return readings
}

func (n *Node) readHeadroom() []telemetry.Reading {
	view := n.View()
	if view == nil {
		return nil
	}
	available := map[string]int{}
	for _, vm := range view.VMs {
		if vm.State.Available() {
			available[vm.Pool]++
		}
	}
	var readings []telemetry.Reading
	for _, s := range view.Services {
		r := telemetry.Reading{Value: float64(available[s.Pool] - s.Budget.MinAvailable)}
		r.Labels = append(r.Labels, telemetry.Label("service", s.Name))
		readings = append(readings, r)
	}
	return readings
}

func (n *Node) readWaves() []telemetry.Reading {
	view := n.View()
	if view == nil {
		return nil
	}
	var readings []telemetry.Reading
	for _, w := range view.Waves {
		r := telemetry.Reading{Value: float64(w.Returned)}
		r.Labels = append(r.Labels, telemetry.Label("wave", w.Name))
		readings = append(readings, r)
	}
	return readings
}

func (n *Node) readTraffic() []telemetry.Reading {
	var in, out uint64
	for _, m := range n.mesh.Traffic().Methods {
		in += m.BytesIn
		out += m.BytesOut
	}
	return []telemetry.Reading{
		{Labels: direction("in"), Value: float64(in)},
		{Labels: direction("out"), Value: float64(out)},
	}
}

func direction(value string) []attribute.KeyValue {
	return []attribute.KeyValue{telemetry.Label("direction", value)}
}
