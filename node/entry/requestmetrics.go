package entry

import (
	"wigeonwinch/dispatch/scheduler"
	"wigeonwinch/node/forward"
	"wigeonwinch/node/telemetry"
)

func labelled(key, value string, figure float64) telemetry.Reading {
	r := telemetry.Reading{Value: figure}
	r.Labels = append(r.Labels, telemetry.Label(key, value))
	return r
}

func readRequests(readings telemetry.Readings, stats forward.Stats) {
	readings[telemetry.MetricRequests] = []telemetry.Reading{
		labelled("outcome", "answered", float64(stats.Answered)),
		labelled("outcome", "not-run", float64(stats.NotRun)),
		labelled("outcome", "unknown", float64(stats.Unknown)),
	}
	readings[telemetry.MetricAttempts] = []telemetry.Reading{
		labelled("kind", "retried", float64(stats.Retried)),
		labelled("kind", "relayed", float64(stats.Relayed)),
		labelled("kind", "refused_by_worker", float64(stats.RefusedByWorker)),
		labelled("kind", "duplicate", float64(stats.Duplicates)),
	}
	readings[telemetry.MetricInFlight] = one(float64(stats.InFlight))
	readings[telemetry.MetricClaims] = one(float64(stats.Claims))
	for pool, s := range stats.Pools {
		readPool(readings, pool, s)
	}
}

func readPool(readings telemetry.Readings, pool string, s scheduler.Stats) {
	add := func(metric string, figure float64) {
		readings[metric] = append(readings[metric], labelled("pool", pool, figure))
	}
	add(telemetry.MetricInProgress, float64(s.InProgress))
	add(telemetry.MetricFreeSlots, float64(s.FreeSlots))
	add(telemetry.MetricEjected, countEjected(s))
	readings[telemetry.MetricQueued] = append(readings[telemetry.MetricQueued],
		queued(pool, "urgent", s.QueuedUrgent),
		queued(pool, "short", s.QueuedShort),
		queued(pool, "long", s.QueuedLong),
	)
}

func queued(pool, class string, count int) telemetry.Reading {
	r := labelled("pool", pool, float64(count))
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
