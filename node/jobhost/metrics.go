package jobhost

import "wigeonwinch/node/telemetry"

// readings returns the current values of the host's counters and gauges.
func (h *Host) readings() telemetry.Readings {
	r := telemetry.Readings{
		telemetry.MetricStoreCalls: {
			{Labels: label("kind", "write"), Value: float64(h.stats.storeWrites.Load())},
			{Labels: label("kind", "read"), Value: float64(h.stats.storeReads.Load())},
		},
		telemetry.MetricPolls:        {{Value: float64(h.stats.polls.Load())}},
		telemetry.MetricStarts:       {{Value: float64(h.stats.starts.Load())}},
		telemetry.MetricTasksGivenUp: {{Value: float64(h.stats.tasksGivenUp.Load())}},
		telemetry.MetricRelayedOrders: {
			{Labels: label("result", "answered"), Value: float64(h.stats.relayedAnswered.Load())},
			{Labels: label("result", "given_up"), Value: float64(h.stats.relayedGivenUp.Load())},
		},
		telemetry.MetricShardsOwned: {{Value: float64(len(h.ownedView.Load().claims))}},
	}
	if v := h.runTimesView.Load(); v != nil {
		r[telemetry.MetricRunTimeHistories] = []telemetry.Reading{{Value: float64(v.histories)}}
		if v.queues > 0 {
			r[telemetry.MetricRunTimeFactor] = []telemetry.Reading{
				{Labels: label("estimate", "declared"), Value: v.declared / float64(v.queues)},
				{Labels: label("estimate", "expected"), Value: v.expected / float64(v.queues)},
			}
		}
	}
	if cfg := h.config.Load(); cfg != nil {
		r[telemetry.MetricConfigVersion] = []telemetry.Reading{{Value: float64(cfg.Version)}}
	}
	if hb := h.confirmedHeartbeat.Load(); hb != nil {
		r[telemetry.MetricHeartbeatAge] = []telemetry.Reading{{Value: float64(monotonicMS() - hb.sentAt)}}
	}
	r[telemetry.MetricRoomExchanges] = []telemetry.Reading{{Value: float64(h.stats.roomExchanges.Load())}}
	h.customerReadings(r)
	h.stats.requestReadings(r)
	for reason, n := range h.stats.refusals.snapshot() {
		r[telemetry.MetricAccessRefusals] = append(r[telemetry.MetricAccessRefusals], telemetry.Reading{Labels: label("reason", reason), Value: float64(n)})
	}
	for reason, n := range h.stats.bounds.snapshot() {
		r[telemetry.MetricBoundsMet] = append(r[telemetry.MetricBoundsMet], telemetry.Reading{Labels: label("reason", reason), Value: float64(n)})
	}
	return r
}

func label(key, value string) telemetry.Labels {
	return telemetry.Labels{telemetry.Label(key, value)}
}

func (s *hostStats) requestReadings(r telemetry.Readings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cause, n := range s.runsLost {
		r[telemetry.MetricRunsLost] = append(r[telemetry.MetricRunsLost], telemetry.Reading{Labels: label("cause", cause), Value: float64(n)})
	}
	for l, n := range s.requests {
		r[telemetry.MetricJobRequests] = append(r[telemetry.MetricJobRequests], telemetry.Reading{
			Labels: append(label("operation", opNames[l.op]), telemetry.Label("outcome", string(l.outcome))), Value: float64(n)})
	}
}
