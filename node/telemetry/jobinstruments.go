package telemetry

// The names of the metrics of the job part.
const (
	MetricJobRequests   = "wigeonwinch_job_requests"
	MetricJobLatency    = "wigeonwinch_job_request_latency_bucket_ms"
	MetricStoreCalls    = "wigeonwinch_store_calls"
	MetricAppendLatency = "wigeonwinch_store_append_latency_bucket_ms"
	MetricPolls         = "wigeonwinch_worker_polls"
	MetricStarts        = "wigeonwinch_run_starts"
	MetricShardsOwned   = "wigeonwinch_shards_owned"
	MetricConfigVersion = "wigeonwinch_job_config_version"
	MetricHeartbeatAge  = "wigeonwinch_heartbeat_age_ms"
)

// JobInstruments lists the metrics of the job part of a node.
func JobInstruments() []Instrument {
	return []Instrument{
		{MetricJobRequests, "", "counter", "operation, outcome", "Callers' requests for jobs by what they were told.", "unknown is more than 1 % over 5 minutes"},
		{MetricJobLatency, "", "counter", "operation, le", "Callers' requests by the time they took, in buckets of milliseconds.", ""},
		{MetricStoreCalls, "", "counter", "kind", "Calls to the store: writes and reads.", "near the store's limits"},
		{MetricAppendLatency, "", "counter", "le", "Appends of shards' records by the time they took, in buckets of milliseconds.", "more than 5 % above 100 ms"},
		{MetricPolls, "", "counter", "", "Polls of workers.", ""},
		{MetricStarts, "", "counter", "", "Starts ordered.", ""},
		{MetricShardsOwned, "", "gauge", "", "Shards that this node owns.", "the sum over all nodes is not the number of pools and one for a minute"},
		{MetricConfigVersion, "", "gauge", "", "Version of the queues' configuration in force.", "two nodes differ for more than 14 s"},
		{MetricHeartbeatAge, "ms", "gauge", "", "Time since the store last took a heartbeat of this node.", "above 2,000: the node may start nothing"},
	}
}
