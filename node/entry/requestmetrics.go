package entry

import (
	"wigeonwinch/dispatch/scheduler"
	"wigeonwinch/node/telemetry"
)

func labelled(key, value string, figure float64) telemetry.Reading {
	r := telemetry.Reading{Value: figure}
	r.Labels = append(r.Labels, telemetry.Label(key, value))
	return r
}

func (n *Node) readRequests() []telemetry.Reading {
	stats := n.forward.Stats()
	return []telemetry.Reading{
		labelled("outcome", "answered", float64(stats.Answered)),
		labelled("outcome", "not-run", float64(stats.NotRun)),
		labelled("outcome", "unknown", float64(stats.Unknown)),
	}
}

func (n *Node) readAttempts() []telemetry.Reading {
	stats := n.forward.Stats()
	return []telemetry.Reading{
		labelled("kind", "retried", float64(stats.Retried)),
		labelled("kind", "relayed", float64(stats.Relayed)),
		labelled("kind", "refused_by_worker", float64(stats.RefusedByWorker)),
		labelled("kind", "duplicate", float64(stats.Duplicates)),
	}
}

func (n *Node) readQueued() []telemetry.Reading {
	var readings []telemetry.Reading
	for pool, stats := range n.forward.Stats().Pools {
		for class, count := range map[string]int{
			"urgent": stats.QueuedUrgent,
			"short":  stats.QueuedShort,
			"long":   stats.QueuedLong,
		} {
			r := labelled("pool", pool, float64(count))
			r.Labels = append(r.Labels, telemetry.Label("class", class))
			readings = append(readings, r)
		}
	}
	return readings
}

// readPools reads one figure of each pool's queue.
func (n *Node) readPools(pick func(scheduler.Stats) float64) func() []telemetry.Reading {
	return func() []telemetry.Reading {
		var readings []telemetry.Reading
		for pool, stats := range n.forward.Stats().Pools {
			readings = append(readings, labelled("pool", pool, pick(stats)))
		}
		return readings
	}
}

func countEjected(s scheduler.Stats) float64 {
	ejected := 0
	for _, worker := range s.Workers {
		if worker.Ejected {
			ejected++
		}
	}
	return float64(ejected)
}
