package entry

import (
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/telemetry"
)

// observe registers the metrics that are read when they are scraped. The
// events are counted as they happen.
func (n *Node) observe() error {
	var instruments []telemetry.Instrument
	for _, in := range telemetry.Instruments() {
		if in.Name != telemetry.MetricEventsTotal {
			instruments = append(instruments, in)
		}
	}
	return n.metrics.Observe(instruments, n.readMetrics)
}

// readMetrics reads everything once.
func (n *Node) readMetrics() telemetry.Readings {
	readings := telemetry.Readings{
		telemetry.MetricReady:      n.readReady(),
		telemetry.MetricViolations: one(float64(n.recorder.Violations())),
		telemetry.MetricPeersAlive: one(float64(len(n.mesh.Alive()))),
		telemetry.MetricPeerBytes:  n.readTraffic(),
	}
	readRequests(readings, n.forward.Stats())
	if view := n.View(); view != nil {
		readView(readings, view)
	}
	return readings
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

func (n *Node) readTraffic() []telemetry.Reading {
	var in, out uint64
	for _, m := range n.mesh.Traffic().Methods {
		in += m.BytesIn
		out += m.BytesOut
	}
	return []telemetry.Reading{
		labelled("direction", "in", float64(in)),
		labelled("direction", "out", float64(out)),
	}
}

func readView(readings telemetry.Readings, view *structs.View) {
	readings[telemetry.MetricOffset] = one(float64(view.Offset))
	readings[telemetry.MetricGeneration] = one(float64(view.Generation))
	readings[telemetry.MetricVMs] = readVMs(view)
	readings[telemetry.MetricHeadroom] = readHeadroom(view)
	readings[telemetry.MetricWaveDone] = readWaves(view)
}

// poolState is the key of one reading of the VM counts.
type poolState struct {
	pool  string
	state structs.VMState
}

func readVMs(view *structs.View) []telemetry.Reading {
	counts := map[poolState]int{}
	for _, vm := range view.VMs {
		counts[poolState{vm.Pool, vm.State}]++
	}
	var readings []telemetry.Reading
	for key, count := range counts {
		r := labelled("pool", key.pool, float64(count))
		r.Labels = append(r.Labels, telemetry.Label("state", key.state.String()))
		readings = append(readings, r)
	}
	return readings
}

func readHeadroom(view *structs.View) []telemetry.Reading {
	available := view.AvailableByPool()
	var readings []telemetry.Reading
	for _, s := range view.Services {
		readings = append(readings, labelled("service", s.Name, float64(available[s.Pool]-s.Budget.MinAvailable)))
	}
	return readings
}

func readWaves(view *structs.View) []telemetry.Reading {
	var readings []telemetry.Reading
	for _, w := range view.Waves {
		readings = append(readings, labelled("wave", w.Name, float64(w.Returned)))
	}
	return readings
}
