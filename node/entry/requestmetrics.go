package entry

import (
	"wigeonwinch/dispatch/scheduler"
	"wigeonwinch/node/forward"
	"wigeonwinch/node/telemetry"
)

func labeledReading(label, labelValue string, value float64) telemetry.Reading {
	r := telemetry.Reading{Value: value}
	r.Labels = append(r.Labels, telemetry.Label(label, labelValue))
	return r
}

func readRequests(readings telemetry.Readings, stats forward.Stats) {
	readings[telemetry.MetricRequests] = []telemetry.Reading{
		labeledReading("outcome", "answered", float64(stats.Answered)),
		labeledReading("outcome", "not-run", float64(stats.NotRun)),
		labeledReading("outcome", "unknown", float64(stats.Unknown)),
	}
	readings[telemetry.MetricAttempts] = []telemetry.Reading{
		labeledReading("kind", "retried", float64(stats.Retried)),
		labeledReading("kind", "relayed", float64(stats.Relayed)),
		labeledReading("kind", "refused_by_worker", float64(stats.RefusedByWorker)),
		labeledReading("kind", "duplicate", float64(stats.Duplicates)),
	}
	readings[telemetry.MetricInFlight] = singleReading(float64(stats.InFlight))
	readings[telemetry.MetricClaims] = singleReading(float64(stats.Claims))
	for pool, s := range stats.Pools {
		readPool(readings, pool, s)
	}
}

func readPool(readings telemetry.Readings, pool string, s scheduler.Stats) {
	add := func(metric string, value float64) {
		readings[metric] = append(readings[metric], labeledReading("pool", pool, value))
	}
	add(telemetry.MetricInProgress, float64(s.InProgress))
	add(telemetry.MetricFreeSlots, float64(s.FreeSlots))
	add(telemetry.MetricEjected, countEjected(s))
	readings[telemetry.MetricQueued] = append(readings[telemetry.MetricQueued],
		queuedReading(pool, "urgent", s.QueuedUrgent),
		queuedReading(pool, "short", s.QueuedShort),
		queuedReading(pool, "long", s.QueuedLong),
	)
}

func queuedReading(pool, class string, count int) telemetry.Reading {
	r := labeledReading("pool", pool, float64(count))
	r.Labels = append(r.Labels, telemetry.Label("class", class))
	return r
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
