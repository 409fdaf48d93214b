package jobhost

import (
	"strconv"

	"wigeonwinch/node/telemetry"
)

// Readings are the host's metrics as of now.
func (h *Host) Readings() telemetry.Readings {
	r := telemetry.Readings{
		telemetry.MetricStoreCalls: {
			{Labels: label("kind", "write"), Value: float64(h.stats.storeWrites.Load())},
			{Labels: label("kind", "read"), Value: float64(h.stats.storeReads.Load())},
		},
		telemetry.MetricPolls:         {{Value: float64(h.stats.polls.Load())}},
		telemetry.MetricStarts:        {{Value: float64(h.stats.starts.Load())}},
		telemetry.MetricShardsOwned:   {{Value: float64(len(*h.ownedView.Load()))}},
		telemetry.MetricAppendLatency: h.stats.appendTime.readings(nil),
	}
	if cfg := h.config.Load(); cfg != nil {
		r[telemetry.MetricConfigVersion] = []telemetry.Reading{{Value: float64(cfg.Version)}}
	}
	if beat := h.heartbeat.Load(); beat != nil {
		r[telemetry.MetricHeartbeatAge] = []telemetry.Reading{{Value: float64(steadyMS() - beat.sentAt)}}
	}
	h.stats.requestReadings(r)
	return r
}

func label(key, value string) telemetry.Labels {
	return telemetry.Labels{telemetry.Label(key, value)}
}

func (s *hostStats) requestReadings(r telemetry.Readings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, n := range s.requests {
		r[telemetry.MetricJobRequests] = append(r[telemetry.MetricJobRequests], telemetry.Reading{
			Labels: append(label("operation", opNames[l.op]), telemetry.Label("outcome", string(l.outcome))), Value: float64(n)})
	}
	for op, g := range s.latency {
		r[telemetry.MetricJobLatency] = append(r[telemetry.MetricJobLatency], g.readings(label("operation", opNames[op]))...)
	}
}

// readings returns the buckets, each with all durations up to its bound.
func (g *histogram) readings(labels telemetry.Labels) []telemetry.Reading {
	var list []telemetry.Reading
	sum := int64(0)
	for i := range g.buckets {
		sum += g.buckets[i].Load()
		bound := "+Inf"
		if i < len(latencyBoundsMS) {
			bound = strconv.FormatInt(latencyBoundsMS[i], 10)
		}
		list = append(list, telemetry.Reading{Labels: append(append(telemetry.Labels{}, labels...), telemetry.Label("le", bound)), Value: float64(sum)})
	}
	return list
}
