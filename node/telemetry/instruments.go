package telemetry

// Metric names.
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

	MetricRequests   = "wigeonwinch_requests"
	MetricAttempts   = "wigeonwinch_attempts"
	MetricInFlight   = "wigeonwinch_requests_in_flight"
	MetricQueued     = "wigeonwinch_queued"
	MetricInProgress = "wigeonwinch_in_progress"
	MetricFreeSlots  = "wigeonwinch_free_slots"
	MetricEjected    = "wigeonwinch_workers_ejected"
	MetricClaims     = "wigeonwinch_claims"
)

// Instruments returns the metrics of an entry node, except those for jobs.
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
		{MetricRequests, "", "counter", "outcome", "Requests by their end.", "unknown is more than 1 % over 5 minutes"},
		{MetricAttempts, "", "counter", "kind", "Further attempts: retried here, relayed to another zone, refused by the worker, duplicates answered.", "refused by the worker is more than 5 % of the requests"},
		{MetricInFlight, "", "gauge", "", "Requests queued and in progress.", ""},
		{MetricQueued, "", "gauge", "pool, class", "Requests that wait, by class as predicted: urgent, short or long.", "urgent above 0 for more than 2 s"},
		{MetricInProgress, "", "gauge", "pool", "Requests in progress on workers.", ""},
		{MetricFreeSlots, "", "gauge", "pool", "Slots of this node's share that could take work now.", "0 on all nodes for minutes: the pool is too small"},
		{MetricEjected, "", "gauge", "pool", "Workers ejected because of their outcomes.", "above 0 for an hour: replace the worker"},
		{MetricClaims, "", "gauge", "", "Claims kept as a home.", "above 300,000: ids beyond 400,000 are refused"},
		{MetricEventsTotal, "", "counter", "event, severity", "Events recorded, by name.", "severity error or violation"},
	}
}
