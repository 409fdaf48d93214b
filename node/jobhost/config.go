// Package jobhost runs the job part of one entry node. A host owns shards,
// keeps their records in the store, sends their orders to the workers, and
// answers callers itself or by forwarding to the owner of the shard.
//
// One goroutine, the control loop, owns all control state. Calls to external
// services run on other goroutines and post their results back to it.
package jobhost

import (
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/peer"
)

// Config holds the settings and dependencies of a Host.
type Config struct {
	Node, Zone, IP string
	// Cores is the CPU capacity of this VM in cores, or 0 if unknown. Shards
	// are placed on the VMs with the most cores per shard.
	Cores float64
	// PeerPort is the port for connections from other nodes.
	PeerPort int
	// Partitions is the number of partitions of each topic in the store.
	Partitions int
	// MaxLeaseMS is the longest lease that workers grant.
	MaxLeaseMS        int64
	StatusRetentionMS int64
	// MaintenanceMS is how long a VM is down for maintenance.
	MaintenanceMS int64
	// ActionsPerSecond is the number of VM actions that the platform accepts
	// per second, or 0 if unknown.
	ActionsPerSecond float64
	// TakeoverGapMS is the minimum time between the actions of two successive
	// fleet controllers on one VM. Values below minTakeoverGap are raised to it.
	TakeoverGapMS int64
	// StateBytes is how many bytes the jobs of all shards may take up in memory; 0 means any
	// number.
	StateBytes int64
	// ForwardedBytes is how many bytes the requests may take up that other nodes forward to
	// this one; 0 means any number.
	ForwardedBytes int64
	// ShutdownGrace is how long a graceful stop may take.
	ShutdownGrace time.Duration
	// PeerKey is the key that all nodes share.
	PeerKey []byte
	// Incarnation is the incarnation of the process. It grows with each process
	// of the node, see NextIncarnation. 0 selects the current time.
	Incarnation int64

	Store   deps.Store
	Workers deps.Workers
	VMs     deps.VMs
	// Advisor grants placement permits. It is nil if there is no such service.
	Advisor deps.PlacementAdvisor
	Codec   deps.Codec
	Events  events.Recorder
	// PeerConnections bounds the connections of other nodes. If it is nil the host
	// creates a port with default limits.
	PeerConnections *intake.Port
	// Peers is the peer mesh. If it is nil the host creates one.
	Peers *peer.Mesh
}

// The intervals, timeouts and limits of a host.
const (
	// heartbeatInterval and silentAfter detect the failure of an owner within
	// about two seconds, a sixth of the recovery bound.
	heartbeatInterval = 400 * time.Millisecond
	silentAfter       = 1600 * time.Millisecond
	// startWindow is how long after sending a confirmed heartbeat its sender
	// may start tasks. It is shorter than silentAfter, so it ends before a
	// successor begins.
	startWindow = 1450 * time.Millisecond
	// leaseExtensionWindow is how long after sending a confirmed heartbeat its
	// sender may extend leases. It outlasts the usual outages of the store,
	// during which no other node can take over.
	leaseExtensionWindow = 5500 * time.Millisecond
	// readInterval is the pause between two reads of the nodes' heartbeats and
	// of the workers' entries. It is a fraction of silentAfter and of the time
	// within which draining workers must get no new work.
	readInterval = 350 * time.Millisecond
	// operatorWait is how long a read of the operator's records waits for new
	// ones. operatorMargin is how much later a read without an answer is
	// abandoned. Their sum is well below the two seconds within which a
	// configuration must be in force, because a connection may have gone
	// silent.
	operatorWait   = 700 * time.Millisecond
	operatorMargin = 500 * time.Millisecond
	// heartbeatAnswerWait is how long a heartbeat may be unanswered before the
	// next one is sent. Two such waits fit into startWindow.
	heartbeatAnswerWait = 550 * time.Millisecond
	// heartbeatTimeout limits one heartbeat. A later answer would confirm a
	// window that has nearly ended.
	heartbeatTimeout = 1200 * time.Millisecond
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 250 * time.Millisecond
	// storeTimeout limits one store call. It is 150 times the usual response
	// time.
	storeTimeout = 900 * time.Millisecond
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 120 * time.Millisecond
	// storeDownAfter is how long appends may fail before new jobs are refused.
	storeDownAfter = 250 * time.Millisecond
	// takeoverStartDelay is how long a node observes the others after its start
	// before it takes over shards. All nodes start within a third of it.
	takeoverStartDelay = 600 * time.Millisecond
	// defaultCores replaces an unknown number of cores. It is that of the
	// smallest VMs that nodes are meant for.
	defaultCores = 0.2
	// takeoverRankDelay separates the attempts of the candidate nodes to take
	// over a shard.
	takeoverRankDelay = 250 * time.Millisecond
	// loopInterval is the timer interval of the control loop.
	loopInterval = 50 * time.Millisecond
	// pollMargin is added to the wait of a poll to get its timeout.
	pollMargin = 800 * time.Millisecond
	// orderTimeout limits one order to a worker.
	orderTimeout = 700 * time.Millisecond
	// adviceTimeout limits one request for placement permits, which queues
	// behind other requests of this node.
	adviceTimeout = 2500 * time.Millisecond
	// requestTimeout limits the handling of a caller's request inside the
	// system. Callers wait for three seconds.
	requestTimeout = 2500 * time.Millisecond
	// ownerWait is how long a request waits for its shard to get an owner.
	ownerWait = 900 * time.Millisecond
	// ownerRetryDelay is the pause between two attempts to reach an owner.
	ownerRetryDelay = 80 * time.Millisecond
	// ownerCheckInterval is the pause between two checks whether the owner to
	// which a request was forwarded has been replaced.
	ownerCheckInterval = 50 * time.Millisecond
	// forwardTimeout limits one request that is forwarded to an owner.
	forwardTimeout = 1800 * time.Millisecond
	// inboxSize limits the events that are queued for the control loop.
	inboxSize = 4096
	// leaseSlackMS is added to the longest remaining time of leases that
	// previous owners granted.
	leaseSlackMS = 300
	// maxLeaseOverrun is the fraction by which a lease may outlast its nominal
	// duration because the worker's clock runs slow by up to 2 percent:
	// 1/(1-0.02) is 1.0204.
	maxLeaseOverrun = 0.0205
	// maxLeaseMS is the longest lease that a shard requests.
	maxLeaseMS = 6000
)

// previousOwner is what is known of the owner of a partition that is taken over.
type previousOwner int

// The states of a previous owner. One that was seen as silent has not confirmed a heartbeat for
// silentAfter before the takeover; one that may be alive may have done so until the takeover.
const (
	ownerEnded previousOwner = iota
	ownerSilent
	ownerMaybeAlive
)

// previousLeaseMS is for how long after a takeover leases of the previous owner may hold.
func (c Config) previousLeaseMS(previous previousOwner) int64 {
	leaseMS := min(c.MaxLeaseMS, maxLeaseMS)
	durationMS := int64(float64(leaseMS)*(1+maxLeaseOverrun)) + leaseSlackMS
	switch previous {
	case ownerSilent:
		durationMS += (leaseExtensionWindow - silentAfter).Milliseconds()
	case ownerMaybeAlive:
		durationMS += leaseExtensionWindow.Milliseconds()
	}
	return durationMS
}

func (c Config) shardConfig(index int, epoch, earlierLeaseMS int64) shard.Config {
	return shard.Config{
		Shard: index, Epoch: epoch, MaxLeaseMS: c.MaxLeaseMS, EarlierLeaseMS: earlierLeaseMS,
		StatusKeepMS: c.StatusRetentionMS,
	}
}
