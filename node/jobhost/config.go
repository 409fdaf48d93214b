// Package jobhost runs the job part of one entry node: it owns shards, keeps
// their records in the store, carries their orders to the workers and answers
// callers, here or by passing on to the shard's owner.
//
// All control state belongs to one goroutine; calls to the outside run on
// others and hand their results back to it.
package jobhost

import (
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
)

// Config is what a host is made from.
type Config struct {
	Node, Zone, IP string
	// Cores is what this VM can compute, in cores; 0 if it isn't known. Shards
	// go to the VMs that have the most of it for each.
	Cores float64
	// PeerPort takes the other nodes' connections.
	PeerPort int
	// Partitions is the number of partitions of the store's topics.
	Partitions int
	// MaxLeaseMS is the longest lease that workers grant.
	MaxLeaseMS   int64
	StatusKeepMS int64
	// UpkeepMS is how long a VM is away for its maintenance.
	UpkeepMS int64
	// ActsPerSecond is how many acts on VMs the platform takes a second; 0 if it
	// isn't known.
	ActsPerSecond float64
	// HolderGapMS is the least time between two holders' acts on one VM.
	HolderGapMS int64
	// Grace is how long a stop may take.
	Grace time.Duration
	// PeerKey is shared by all nodes.
	PeerKey []byte
	// Boot grows with each process of the node, see NextBoot; 0 takes the time
	// of day.
	Boot int64

	Store   deps.Store
	Workers deps.Workers
	VMs     deps.VMs
	// Advisor permits placements; nil if there is no such service.
	Advisor deps.Advisor
	Codec   deps.Codec
	Events  events.Recorder
	// Peers is made by the host unless it is given.
	Peers *peer.Mesh
}

// The host's times.
const (
	// heartbeatInterval and silentAfter make an owner's failure known in about
	// two seconds, a sixth of the recovery bound.
	heartbeatInterval = 400 * time.Millisecond
	silentAfter       = 1600 * time.Millisecond
	// startRight is how long a confirmed heartbeat lets its sender start
	// tasks. It is shorter than silentAfter, so that no successor has begun.
	startRight = 1450 * time.Millisecond
	// leaseRight is how long it lets its sender extend leases: past the usual
	// outages of the store, during which nobody can take over.
	leaseRight = 5500 * time.Millisecond
	// readInterval is the pause between two reads of the nodes' heartbeats and
	// of the workers' entries; a fraction of silentAfter and of the time in
	// which draining workers must be left alone.
	readInterval = 350 * time.Millisecond
	// operatorWait is how long a read of the operator's records waits, and
	// operatorMargin how much later an unanswered one is given up: together
	// well below the two seconds in which a configuration must be in force,
	// because a connection may have gone silent.
	operatorWait   = 700 * time.Millisecond
	operatorMargin = 500 * time.Millisecond
	// heartbeatDue is when a heartbeat without an answer is followed by the
	// next: two of them fit the start right.
	heartbeatDue = 550 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat: a later answer brings no right
	// that is worth having.
	heartbeatTimeout = 1200 * time.Millisecond
	// readRetry is the pause after a failed read.
	readRetry = 250 * time.Millisecond
	// storeTimeout bounds one store call: 150 usual answers.
	storeTimeout = 900 * time.Millisecond
	// appendRetry is the pause after a failed append.
	appendRetry = 120 * time.Millisecond
	// storeDownAfter is how long an append may fail before nothing new is
	// accepted.
	storeDownAfter = 250 * time.Millisecond
	// settleIn is how long a node looks around after its start before it takes
	// over shards; all nodes start within a third of it.
	settleIn = 600 * time.Millisecond
	// usualCores stands for the cores of a VM that does not say them: those of
	// the smallest VMs that nodes are meant for.
	usualCores = 0.2
	// rankStep spaces the nodes' attempts to take over a shard.
	rankStep = 250 * time.Millisecond
	// tick is the control loop's timer.
	tick = 50 * time.Millisecond
	// pollMargin is added to a poll's wait.
	pollMargin = 800 * time.Millisecond
	// orderTimeout bounds one order to a worker.
	orderTimeout = 700 * time.Millisecond
	// adviceTimeout bounds one question for permits, which waits behind others
	// of this node.
	adviceTimeout = 2500 * time.Millisecond
	// requestTimeout bounds a caller's request inside the system; callers wait
	// for three seconds.
	requestTimeout = 2500 * time.Millisecond
	// ownerWait is how long a request waits for its shard to have an owner.
	ownerWait = 900 * time.Millisecond
	// ownerRetry is the pause between two looks for an owner.
	ownerRetry = 80 * time.Millisecond
	// passOnTimeout bounds one hop to an owner.
	passOnTimeout = 1800 * time.Millisecond
	// inboxSize bounds the events that wait for the control loop.
	inboxSize = 4096
	// leaseSlackMS is added to the time for which earlier leases may last.
	leaseSlackMS = 300
	// clockDrift is the share by which a worker's clock may be slow.
	clockDrift = 0.0205
	// maxLeaseMS is the longest lease that a shard asks for.
	maxLeaseMS = 6000
)

func (c Config) earlierLease(stale bool) int64 {
	lease := min(c.MaxLeaseMS, maxLeaseMS)
	span := int64(float64(lease)*(1+clockDrift)) + leaseSlackMS
	if stale {
		span += (leaseRight - silentAfter).Milliseconds()
	}
	return span
}

func (c Config) shardConfig(epoch int64, stale bool) shard.Config {
	return shard.Config{
		Epoch: epoch, MaxLeaseMS: c.MaxLeaseMS, EarlierLeaseMS: c.earlierLease(stale),
		StatusKeepMS: c.StatusKeepMS,
	}
}
