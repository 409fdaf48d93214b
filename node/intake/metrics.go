package intake

import (
	"fmt"
	"strings"

	"wigeonwinch/node/telemetry"
)

// Readings returns the current values of the gate's metrics.
func (g *Gate) Readings() telemetry.Readings {
	label := func(key, value string) telemetry.Labels { return telemetry.Labels{telemetry.Label(key, value)} }
	out := telemetry.Readings{telemetry.MetricHeldBytes: {
		{Labels: label("part", "small"), Value: float64(g.held.Load() - g.large.Load())},
		{Labels: label("part", "large"), Value: float64(g.large.Load())},
	}}
	for _, r := range reasons {
		out[telemetry.MetricClientsLetGo] = append(out[telemetry.MetricClientsLetGo], telemetry.Reading{Labels: label("reason", r), Value: float64(g.counts[r].Load())})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.ports {
		p.mu.Lock()
		open := p.open
		p.mu.Unlock()
		out[telemetry.MetricClientConnections] = append(out[telemetry.MetricClientConnections], telemetry.Reading{Labels: label("port", p.name), Value: float64(open)})
	}
	return out
}

// report returns the text of an event: the counts so far.
func (g *Gate) report(port string) string {
	var parts []string
	if port != "" {
		parts = append(parts, "port "+port)
	}
	for _, r := range reasons {
		if n := g.counts[r].Load(); n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", r, n))
		}
	}
	return strings.Join(parts, ", ")
}
