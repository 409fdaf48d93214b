package events

// The events of the job area, 600 to 699.
const (
	JobAccepted Number = 600 + iota
	JobRefused
	JobCancelled
	JobFinal
	RunPlaced
	RunStartAnswered
	RunEnded
	RunStopOrdered
	RunSettled
	RunAdopted
	RunStray
	WorkerChanged
	WorkerPollFailed
	OwnerDeposed
	RecordUnwritable
	RunPaced
	JobInvariantBroken
	JobDecision
	StoreLost
	StoreBack
	NodeSeen
	ShardTaken
	ShardLost
	ShardReleased
	TakeoverFailed
	RecordUnreadable
	JobConfigInForce
	WaveSeen
	WaveDone
	VMAct
	VMActFailed
	RequestAnswered
	RequestPassedOn
	LogLinesDropped
	FleetPlan
	AdviceGiven
	AdviceFailed
	PoolLoad
	SettingsReloaded
	RelaySuspended
	RelayedOrderDropped
	TaskSuspected
	TaskGivenUp
	QueueHomeStored
	QueueHomeUnknown
	JobsUntried
	AccessRefused
	RunTimesLearned
	RoomUnanswered
	CustomerRefused
	EndsMissing
)

var jobEvents = []Definition{
	{JobAccepted, "job_accepted", SeverityInfo, "A job was admitted; its caller gets the answer once the job is stored.", ""},
	{JobRefused, "job_refused", SeverityInfo, "A job was rejected and will not run unless it is submitted again; the outcome is the reason.", "too_much_ahead: the pool is full; no_worker_can_hold_it: change the job; store_away: check the store; owner_memory_full: its open jobs fill their share of the owner's memory; too_many_final_jobs: more jobs come and go than can be remembered."},
	{JobCancelled, "job_cancelled", SeverityInfo, "A caller cancelled a job.", ""},
	{JobFinal, "job_final", SeverityInfo, "A job reached a final state; the outcome is the state.", ""},
	{RunPlaced, "run_placed", SeverityInfo, "A task was placed on a worker; the start order is sent once the placement is stored.", ""},
	{RunStartAnswered, "run_start_answered", SeverityInfo, "A worker answered a start order, or the order remained without an answer.", ""},
	{RunEnded, "run_ended", SeverityInfo, "A worker reported the end of a run; the outcome is the result.", ""},
	{RunStopOrdered, "run_stop_ordered", SeverityInfo, "A stop of a run was ordered; the outcome is the reason.", ""},
	{RunSettled, "run_settled", SeverityInfo, "A run whose end no worker reported is known not to be running; the outcome says how this was established.", ""},
	{RunAdopted, "run_adopted", SeverityInfo, "A run that a previous owner started was adopted.", ""},
	{RunStray, "run_stray", SeverityWarning, "A worker reported a run that the shard's owner does not expect there; the run is stopped.", ""},
	{WorkerChanged, "worker_changed", SeverityInfo, "The known state of a worker changed; the outcome has the change.", ""},
	{WorkerPollFailed, "worker_poll_failed", SeverityWarning, "A worker did not answer a poll.", "Check the worker and the network to its zone."},
	{OwnerDeposed, "owner_deposed", SeverityWarning, "A worker follows a newer owner of the shard.", ""},
	{RecordUnwritable, "record_unwritable", SeverityError, "The record of a job cannot be encoded.", "Report it as a defect, together with the job."},
	{RunPaced, "run_paced", SeverityInfo, "The pace of a filler task was changed because of serving tasks on the same worker.", ""},
	{JobInvariantBroken, "job_invariant_broken", SeverityViolation, "An action was refused because it would have violated an invariant of jobs.", "Report it with the logs of all nodes."},
	{JobDecision, "job_decision", SeverityInfo, "Any other decision about a job.", ""},
	{StoreLost, "store_lost", SeverityWarning, "Calls to the store fail.", "Check the store; nothing new is accepted while it cannot be stored."},
	{StoreBack, "store_back", SeverityInfo, "Calls to the store succeed again.", ""},
	{NodeSeen, "node_seen", SeverityInfo, "Another entry node's heartbeat was read for the first time.", ""},
	{ShardTaken, "shard_taken", SeverityInfo, "This node now owns the shard.", ""},
	{ShardLost, "shard_lost", SeverityWarning, "This node no longer owns the shard.", ""},
	{ShardReleased, "shard_released", SeverityInfo, "This node released the shard because it is stopping.", ""},
	{TakeoverFailed, "takeover_failed", SeverityWarning, "The takeover of a shard failed and will be retried.", "Check the error."},
	{RecordUnreadable, "record_unreadable", SeverityWarning, "A record in the store is invalid or cannot be decoded.", "Find out which program wrote the record; requests about its job get no answer until a program takes over that can read it."},
	{JobConfigInForce, "job_config_in_force", SeverityInfo, "A newer configuration of queues is in force on this node.", ""},
	{WaveSeen, "wave_seen", SeverityInfo, "The operator requested a maintenance wave.", ""},
	{WaveDone, "wave_done", SeverityInfo, "Maintenance of all VMs of a wave has started.", ""},
	{VMAct, "vm_act", SeverityInfo, "A VM was moved, or its maintenance was started.", ""},
	{VMActFailed, "vm_act_failed", SeverityWarning, "An action on a VM failed; it is decided again.", ""},
	{RequestAnswered, "request_answered", SeverityInfo, "A caller's request was answered; the outcome is the answer, the peer, shard and epoch name the owner that gave it.", ""},
	{RequestPassedOn, "request_passed_on", SeverityInfo, "A request or message could not be forwarded to another node; the error has the reason.", ""},
	{LogLinesDropped, "log_lines_dropped", SeverityWarning, "Log lines were dropped because the log output was too slow.", "Make sure that the log is read fast enough."},
	{SettingsReloaded, "settings_reloaded", SeverityInfo, "The settings file was read again; the outcome says whether it changed.", "changed: restart the node at a convenient time."},
	{PoolLoad, "pool_load", SeverityInfo, "The load of a pool as measured by the fleet controller.", ""},
	{FleetPlan, "fleet_plan", SeverityInfo, "The plan for moves and maintenance changed.", ""},
	{AdviceGiven, "advice", SeverityInfo, "The placement advisor, which permits placements, was asked, answered or did not answer; the outcome says which.", ""},
	{RelaySuspended, "relay_suspended", SeverityWarning, "Another node that sends this owner's orders to workers failed; the owner sends them itself meanwhile.", "Check the node and the network to its zone."},
	{RelayedOrderDropped, "relayed_order_dropped", SeverityWarning, "An order that another node sent to this one was not executed, because this node was suspended since it arrived.", ""},
	{TaskSuspected, "task_suspected", SeverityWarning, "A worker crashed soon after it was told to start this task; the detail has how many did so far.", ""},
	{TaskGivenUp, "task_given_up", SeverityError, "A task was found to crash the workers that start it; its job has failed.", "Correct the job before it is submitted again."},
	{QueueHomeStored, "queue_home_stored", SeverityInfo, "A shard is recorded as a home of a queue, before it accepts the queue's first job.", ""},
	{QueueHomeUnknown, "queue_home_unknown", SeverityWarning, "The shards that may hold jobs of a queue could not be read or written; submissions of unknown jobs are not decided until they can.", "Check the store."},
	{JobsUntried, "jobs_untried", SeverityInfo, "A pass over the waiting jobs of a pool ended after this job, because too many tasks in a row found no worker; the detail has how many jobs were not tried.", ""},
	{AccessRefused, "access_refused", SeverityInfo, "A call was refused because of its key, or because the job is another customer's; the outcome is the reason. At most 20 a second are logged.", "key_missing, key_unknown: compare the caller's key with the configuration; key_removed: a newer configuration took the key away; other_customer, id_taken: the caller uses another customer's job ID."},
	{RunTimesLearned, "run_times_learned", SeverityInfo, "The owner of a shard has seen enough finished steps of a queue to expect run times by them in place of the declared ones.", ""},
	{RoomUnanswered, "room_unanswered", SeverityWarning, "The owner of the fleet partition did not answer what a shard may run of the customers' caps; the shard keeps what it had, and asks again.", "Check the links between the nodes; customers with a cap get no more room on this shard meanwhile."},
	{CustomerRefused, "customer_refused", SeverityInfo, "A job was refused because its customer is at its share of the pool or at its cap; the detail has the customer's share, what it runs and what waits.", ""},
	{EndsMissing, "ends_missing", SeverityWarning, "The numbers of a worker's ends have a gap: it has forgotten ends that this owner has not seen; the detail has the highest end that a poll has named.", "Compare it with worker_changed and worker_poll_failed of the same worker: a poll for an earlier life may have reached a later one."},
	{AdviceFailed, "advice_failed", SeverityWarning, "The placement advisor did not answer; it is asked again.", "Check the placement advisor; queues that need its permits wait."},
}
