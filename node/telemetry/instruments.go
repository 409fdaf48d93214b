package telemetry

// The names of the observed metrics.
const (
	MetricReady       = "wigeonwinch_ready"
	MetricOffset      = "wigeonwinch_log_offset"
	MetricGeneration  = "wigeonwinch_generation"
	MetricVMs         = "wigeonwinch_vms"
	MetricHeadroom    = "wigeonwinch_service_headroom"
	MetricWaveDone    = "wigeonwinch_wave_done"
	MetricViolations  = "wigeonwinch_violations"
	MetricPeerBytes   = "wigeonwinch_peer_bytes"
	MetricPeersAlive  = "wigeonwinch_peers_alive"
	MetricEventsTotal = "wigeonwinch_events"
)

// Instruments lists every metric of a node.
func Instruments() []Instrument {
	return []Instrument{
		{MetricReady, "", "gauge", "", "1 while the node takes requests.", "0 for more than a minute on a node that is not being replaced"},
		{MetricOffset, "", "gauge", "", "Log offset up to which the node has folded.", "two nodes differ by more than 100 for a minute"},
		{MetricGeneration, "", "gauge", "", "Generation of the configuration in force.", "two nodes differ for more than 14 s"},
		{MetricVMs, "", "gauge", "pool, state", "VMs by pool and state.", "failed grows"},
		{MetricHeadroom, "", "gauge", "service", "Workers that may still go out before the budget is reached.", "below 0: a failure broke the budget"},
		{MetricWaveDone, "", "gauge", "wave", "VMs of the wave that run its image.", "it stands still for an hour within the window"},
		{MetricViolations, "", "counter", "", "Broken invariants found; the acts were refused.", "above 0: report a defect with the time line"},
		{MetricPeerBytes, "By", "counter", "direction", "Bytes on the links to peers.", "more than 3 KB a second over an hour"},
		{MetricPeersAlive, "", "gauge", "", "Entry nodes heard at present.", "fewer than expected for more than a minute"},
		{MetricEventsTotal, "", "counter", "event, severity", "Events recorded, by name.", "severity error or violation"},
	}
}

// InstrumentNamed returns the description of a metric.
func InstrumentNamed(name string) Instrument {
	for _, in := range Instruments() {
		if in.Name == name {
			return in
		}
	}
	return Instrument{Name: name}
}
