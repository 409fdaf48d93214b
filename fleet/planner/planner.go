// Package planner plans fleet maintenance and moves of VMs between pools, one
// round at a time. A round reads the control state and the observations of the
// VMs, and returns the records to append to the log and the actions to request
// from the platform.
//
//	p := planner.New(planner.Options{})
//	plan := p.Round(planner.Input{View: view, Now: now, Scope: "fleet", Epoch: epoch})
//	// append plan.Records, request plan.Actions
//
// The state that a Planner keeps between rounds is a cache. After a takeover
// in the middle of a wave, a new Planner resumes from the view alone. The key
// of each record is derived from the scope, the epoch, the VM and its sequence
// number, so that appending a record again is harmless.
package planner

import (
	"time"

	"wigeonwinch/fleet/buffer"
	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// Observation is the observed state of one worker that is not part of the
// control state.
type Observation = wave.Observation

// PoolDemand is the load of a pool as reported by the platform.
type PoolDemand = buffer.Demand

// Input holds everything that one planning round depends on.
type Input struct {
	View *structs.View
	// Now is the wall clock time, used for maintenance windows and timeouts.
	Now time.Time
	// Scope and Epoch identify the lease held by this node.
	Scope string
	Epoch structs.Epoch
	// Writer is the name of the node that plans.
	Writer string
	// Observations holds the current observations of the VMs.
	Observations []Observation
	Demand       []PoolDemand
	// UnreachableZones are the zones that the planner cannot reach. Their VMs
	// count as unavailable, and nothing is planned in them.
	UnreachableZones []string
}

// Plan is the result of a round: the records to append to the log, the actions
// to request from the platform, and reports for the status.
type Plan struct {
	Records   []structs.Record
	Actions   []Action
	Forecasts []WaveForecast
	Buffers   []BufferReport
}

// BufferReport compares the number of a pool's workers with the number that
// its budgets and demand require.
type BufferReport = buffer.Report

// ActionKind is the kind of an action on a worker.
type ActionKind string

// Actions that a plan can request.
const (
	ActionDrain  ActionKind = "drain"
	ActionReboot ActionKind = "reboot"
)

// Action is an action on a worker. It is idempotent by VM and Sequence and
// fenced by Epoch.
type Action struct {
	Kind     ActionKind
	VM       string
	Sequence uint64
	Epoch    structs.Epoch
	Scope    string
	// Image is the image to boot; empty keeps the VM's image.
	Image string
}

// Default timeouts and limits of a round.
const (
	defaultActionRepeatInterval = 30 * time.Second
	defaultProposalTimeout      = 30 * time.Second
	defaultMaxRecords           = 200
)

// Options configure the planner. Zero values select the defaults.
type Options struct {
	// Wave holds the timeouts and thresholds of a VM's maintenance.
	Wave wave.Options
	// Buffer holds the rates that determine the size of the shared part of the
	// buffer.
	Buffer buffer.Options
	// Moves holds the thresholds for moves between pools.
	Moves moves.Options
	// ActionRepeatInterval is the interval after which an action is requested
	// again.
	ActionRepeatInterval time.Duration
	// ProposalTimeout is the timeout after which a proposed drain that the view
	// does not show is no longer counted against the budgets. A proposed move
	// is given up after the same time.
	ProposalTimeout time.Duration
	// MaxRecords is the number of records at which a round stops planning
	// drains.
	MaxRecords int
}

func (o Options) withDefaults() Options {
	if o.ActionRepeatInterval == 0 {
		o.ActionRepeatInterval = defaultActionRepeatInterval
	}
	if o.ProposalTimeout == 0 {
		o.ProposalTimeout = defaultProposalTimeout
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	return o
}

// Planner plans rounds. It is not safe for concurrent use.
type Planner struct {
	options          Options
	tracker          *wave.Tracker
	estimator        *buffer.Estimator
	sizer            *buffer.Sizer
	mover            mover
	proposedDrains   map[string]drainProposal
	plannedMoves     map[string]plannedMove
	requestedActions map[string]actionRequest
}

// drainProposal is a proposed drain that the view may not show yet.
type drainProposal struct {
	sequence   uint64
	proposedAt time.Time
	wave       string
	moveTo     string
}

// actionRequest is the last action requested for a VM.
type actionRequest struct {
	sequence    uint64
	kind        ActionKind
	epoch       structs.Epoch
	requestedAt time.Time
}

// New returns a Planner with an empty cache.
func New(options Options) *Planner {
	return &Planner{
		options:          options.withDefaults(),
		tracker:          wave.NewTracker(options.Wave),
		estimator:        buffer.NewEstimator(),
		sizer:            buffer.NewSizer(options.Buffer),
		mover:            moves.NewMover(options.Moves),
		plannedMoves:     make(map[string]plannedMove),
		proposedDrains:   make(map[string]drainProposal),
		requestedActions: make(map[string]actionRequest),
	}
}

// Round plans one round. It does not modify the view.
func (p *Planner) Round(in Input) Plan {
	r := newRound(p, in)
	p.tracker.Observe(in.View, r.observations, in.Now)
	p.estimator.Add(in.Demand)
	r.countProposedDrains()
	r.pruneMoves()
	r.stopWaves()
	r.advanceVMs()
	r.cancelDrainsInStrainedPools()
	r.drainRemoved()
	r.cancelMoveDrains()
	r.planMoves()
	r.drainForWaves()
	r.cancelStragglingDrains()
	r.forecastWaves()
	r.reportBuffers()
	return r.plan
}
