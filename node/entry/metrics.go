package entry

import (
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/telemetry"
)

// registerMetrics registers the metrics that are read on each scrape. The event
// counter is excluded, because it is incremented as events are recorded.
func (n *Node) registerMetrics() error {
	var instruments []telemetry.Instrument
	for _, in := range telemetry.Instruments() {
		if in.Name != telemetry.MetricEventsTotal {
			instruments = append(instruments, in)
		}
	}
	if err := n.metrics.Observe(telemetry.ClientInstruments(), n.gate.Readings); err != nil {
		return err
	}
	return n.metrics.Observe(instruments, n.readMetrics)
}

// readMetrics returns the current readings of all registered metrics.
func (n *Node) readMetrics() telemetry.Readings {
	readings := telemetry.Readings{
		telemetry.MetricReady:      n.readReady(),
		telemetry.MetricViolations: singleReading(float64(n.recorder.Violations())),
		telemetry.MetricPeersAlive: singleReading(float64(len(n.mesh.Alive()))),
		telemetry.MetricPeerBytes:  n.readPeerBytes(),
	}
	readRequests(readings, n.forward.Stats())
	if view := n.View(); view != nil {
		readView(readings, view)
	}
	return readings
}

func singleReading(value float64) []telemetry.Reading {
	return []telemetry.Reading{{Value: value}}
}

func (n *Node) readReady() []telemetry.Reading {
	if ready, _ := n.Ready(); ready {
		return singleReading(1)
	}
	return singleReading(0)
}

func (n *Node) readPeerBytes() []telemetry.Reading {
	var in, out uint64
	for _, m := range n.mesh.Traffic().Methods {
		in += m.BytesIn
		out += m.BytesOut
	}
	return []telemetry.Reading{
		labeledReading("direction", "in", float64(in)),
		labeledReading("direction", "out", float64(out)),
	}
}

func readView(readings telemetry.Readings, view *structs.View) {
	readings[telemetry.MetricOffset] = singleReading(float64(view.Offset))
	readings[telemetry.MetricGeneration] = singleReading(float64(view.Generation))
	readings[telemetry.MetricVMs] = readVMs(view)
	readings[telemetry.MetricHeadroom] = readHeadroom(view)
	readings[telemetry.MetricWaveDone] = readWaves(view)
}

// vmCountKey is the pool and state that VMs are counted by.
type vmCountKey struct {
	pool  string
	state structs.VMState
}

func readVMs(view *structs.View) []telemetry.Reading {
	counts := map[vmCountKey]int{}
	for _, vm := range view.VMs {
		counts[vmCountKey{vm.Pool, vm.State}]++
	}
	var readings []telemetry.Reading
	for key, count := range counts {
		r := labeledReading("pool", key.pool, float64(count))
		r.Labels = append(r.Labels, telemetry.Label("state", key.state.String()))
		readings = append(readings, r)
	}
	return readings
}

func readHeadroom(view *structs.View) []telemetry.Reading {
	available := view.AvailableByPool()
	var readings []telemetry.Reading
	for _, s := range view.Services {
		readings = append(readings, labeledReading("service", s.Name, float64(available[s.Pool]-s.Budget.MinAvailable)))
	}
	return readings
}

func readWaves(view *structs.View) []telemetry.Reading {
	var readings []telemetry.Reading
	for _, w := range view.Waves {
		readings = append(readings, labeledReading("wave", w.Name, float64(w.Returned)))
	}
	return readings
}
