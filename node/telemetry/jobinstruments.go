package telemetry

// Names of the metrics for jobs.
const (
	MetricJobRequests   = "wigeonwinch_job_requests"
	MetricJobLatency    = "wigeonwinch_job_request_latency"
	MetricStoreCalls    = "wigeonwinch_store_calls"
	MetricAppendLatency = "wigeonwinch_store_append_latency"
	MetricPolls         = "wigeonwinch_worker_polls"
	MetricStarts        = "wigeonwinch_run_starts"
	MetricTasksGivenUp  = "wigeonwinch_tasks_given_up"
	MetricRunsLost      = "wigeonwinch_runs_lost"
	MetricRelayedOrders = "wigeonwinch_relayed_orders"
	MetricShardsOwned   = "wigeonwinch_shards_owned"
	MetricConfigVersion = "wigeonwinch_job_config_version"
	MetricHeartbeatAge  = "wigeonwinch_heartbeat_age_ms"

	MetricHeldBytes         = "wigeonwinch_client_bytes"
	MetricClientsLetGo      = "wigeonwinch_clients_let_go"
	MetricClientConnections = "wigeonwinch_client_connections"
	MetricRoomExchanges     = "wigeonwinch_room_exchanges"
	// The metrics by customer have 25 labels at most.
	MetricCustomerRunning = "wigeonwinch_customer_running_milli_cpu"
	MetricCustomerWaiting = "wigeonwinch_customer_waiting_jobs"
	MetricCustomerRefused = "wigeonwinch_customer_refused"
	// MetricAccessRefusals has five reasons at most; it has no label for customers.
	MetricAccessRefusals = "wigeonwinch_access_refusals"
	// MetricBoundsMet has the reasons for which jobs are refused, and two more.
	MetricBoundsMet        = "wigeonwinch_bounds_met"
	MetricRunTimeFactor    = "wigeonwinch_run_time_factor"
	MetricRunTimeHistories = "wigeonwinch_run_time_histories"
)

// JobInstruments returns the metrics for jobs, except the histograms.
func JobInstruments() []Instrument {
	return []Instrument{
		{MetricJobRequests, "", "counter", "operation, outcome", "Callers' requests for jobs by what they were told.", "unknown is more than 1 % over 5 minutes"},
		{MetricStoreCalls, "", "counter", "kind", "Calls to the store: writes and reads.", "near the store's limits"},
		{MetricPolls, "", "counter", "", "Polls of workers.", ""},
		{MetricStarts, "", "counter", "", "Starts ordered.", ""},
		{MetricRunsLost, "", "counter", "cause", "Runs that ended with their worker.", ""},
		{MetricTasksGivenUp, "", "counter", "", "Tasks given up because they crash the workers that start them.", "above 0: look for task_given_up in the log"},
		{MetricRelayedOrders, "", "counter", "result", "Orders for workers that this node sent through relays: answered, or given up.", "given_up is more than 1 % over 5 minutes: look for relay_suspended in the log"},
		{MetricShardsOwned, "", "gauge", "", "Shards that this node owns.", "the sum over all nodes is not the number of pools and one for a minute"},
		{MetricAccessRefusals, "", "counter", "reason", "Calls refused because of their key, or because the job is another customer's.", "key_unknown or key_removed grows: look for access_refused in the log"},
		{MetricBoundsMet, "", "counter", "reason", "Jobs refused by this node's shards, forwarded requests that it did not begin (forwarded) and orders that it could not send in time (orders), by reason.", "owner_memory_full, too_many_final_jobs, forwarded or orders grows for 5 minutes: docs/OPERATIONS.md, Crowds"},
		{MetricRoomExchanges, "", "counter", "", "Exchanges of this node's shards with the node that hands out the room below the customers' caps.", ""},
		{MetricCustomerRunning, "", "gauge", "customer", "CPU of a customer's tasks on this node's shards, in milli-CPU; the 24 customers with the most, and `_other`.", ""},
		{MetricCustomerWaiting, "", "gauge", "customer", "A customer's jobs with tasks that wait on this node's shards.", ""},
		{MetricCustomerRefused, "", "counter", "customer", "Submissions of a customer refused by this node's shards since it took them over.", "grows for a customer below its weight: `wigeonwinch customers --by-node`"},
		{MetricConfigVersion, "", "gauge", "", "Version of the queues' configuration in force.", "two nodes differ for more than 14 s"},
		{MetricHeartbeatAge, "ms", "gauge", "", "Time since the store last took a heartbeat of this node.", "above 2,000: the node may start nothing"},
		{MetricRunTimeFactor, "", "gauge", "estimate", "Factor by which declared and expected run times are off, on average over the queues of this node's shards; only where run times are learned.", "expected is above declared for an hour"},
		{MetricRunTimeHistories, "", "gauge", "", "Histories of run times that this node holds: of queues, customers and images.", ""},
	}
}

// ClientInstruments returns the metrics of what clients make a node hold.
func ClientInstruments() []Instrument {
	return []Instrument{
		{MetricHeldBytes, "By", "gauge", "part", "Bytes held for bodies and long headers: small are the first bytes of each body, large the rest.", "large stays at its bound for a minute"},
		{MetricClientsLetGo, "", "counter", "reason", "Clients refused or let go, and answers streamed for want of room, by reason.", "grows for 5 minutes: docs/OPERATIONS.md, Crowds"},
		{MetricClientConnections, "", "gauge", "port", "Open connections of clients.", "at its bound for a minute"},
	}
}

// JobLatency measures how long requests of callers take, and StoreLatency how
// long appending the records of a shard to the store takes.
var (
	JobLatency   = Instrument{MetricJobLatency, "ms", "histogram", "operation", "Time until callers' requests are answered.", ""}
	StoreLatency = Instrument{MetricAppendLatency, "ms", "histogram", "", "Time until the store has taken a shard's records.", "more than 5 % above 100 ms"}
)
