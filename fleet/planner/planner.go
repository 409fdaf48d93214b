// Package planner makes one round of planning: it looks at the control state
// and at what is observed of the VMs, and says which records to append to the
// log and which acts to ask of the platform.
//
//	p := planner.New(planner.Options{})
//	plan := p.Round(planner.Input{View: view, Now: now, Scope: "fleet", Epoch: epoch})
//	// append plan.Records, ask for plan.Actions
//
// What a Planner keeps between rounds is a cache. A planner that takes over
// in the middle of a wave resumes from the view alone. Each record's key
// follows from the scope, the epoch, the VM and its sequence, so that
// appending a record again is harmless.
package planner

import (
	"time"

	"wigeonwinch/fleet/buffer"
	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// Observation is what is known of one worker besides the control state.
type Observation = wave.Observation

// PoolDemand is a pool's load as the platform reported it.
type PoolDemand = buffer.Demand

// Input is everything one planning round looks at.
type Input struct {
	View *structs.View
	// Now is the wall time, for maintenance windows and time-outs.
	Now time.Time
	// Scope and Epoch name the lease that is held.
	Scope string
	Epoch structs.Epoch
	// Writer names the node that plans.
	Writer string
	// Observed is the list of VMs as of now.
	Observed []Observation
	Demand   []PoolDemand
	// CutZones are the zones the planner can't hear. They count as out, and
	// nothing is planned there.
	CutZones []string
}

// Plan is what to append and what to ask of the platform.
type Plan struct {
	Records   []structs.Record
	Actions   []Action
	Forecasts []WaveForecast
	Buffers   []BufferReport
}

// BufferReport compares a pool's workers with what its budgets and demand
// need.
type BufferReport = buffer.Report

// ActionKind is an act on a worker.
type ActionKind string

// The acts a plan can ask for.
const (
	ActionDrain  ActionKind = "drain"
	ActionReboot ActionKind = "reboot"
)

// Action is an act on a worker. It is idempotent by VM and Sequence and
// fenced by Epoch.
type Action struct {
	Kind     ActionKind
	VM       string
	Sequence uint64
	Epoch    structs.Epoch
	Scope    string
	// Image is the image to reboot into; empty keeps the VM's image.
	Image string
}

// Default times and sizes of a round.
const (
	defaultActionRepeat = 30 * time.Second
	defaultProposalTime = 30 * time.Second
	defaultMaxRecords   = 200
)

// Options tune the planner. Zero values take the defaults.
type Options struct {
	// Wave holds the times and counts of a VM's life.
	Wave wave.Options
	// Buffer holds the rates that the shared part of the buffer is sized for.
	Buffer buffer.Options
	// Moves holds the thresholds of moves between pools.
	Moves moves.Options
	// ActionRepeat is the time after which an act is asked for again.
	ActionRepeat time.Duration
	// ProposalTime is how long a proposed drain counts as taken while the
	// view does not show it.
	ProposalTime time.Duration
	// MaxRecords bounds the records of one round.
	MaxRecords int
}

func (o Options) withDefaults() Options {
	if o.ActionRepeat == 0 {
		o.ActionRepeat = defaultActionRepeat
	}
	if o.ProposalTime == 0 {
		o.ProposalTime = defaultProposalTime
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	return o
}

// Planner makes planning rounds. It is not safe for concurrent use.
type Planner struct {
	options   Options
	tracker   *wave.Tracker
	estimator *buffer.Estimator
	sizer     *buffer.Sizer
	mover     mover
	proposed  map[string]proposal
	moving    map[string]moving
	asked     map[string]asked
}

// proposal is a planned drain that the view may not show yet.
type proposal struct {
	sequence uint64
	at       time.Time
	wave     string
	moveTo   string
}

// asked is the last act that was asked for.
type asked struct {
	sequence uint64
	kind     ActionKind
	epoch    structs.Epoch
	at       time.Time
}

// New returns a planner with an empty cache.
func New(options Options) *Planner {
	return &Planner{
		options:   options.withDefaults(),
		tracker:   wave.NewTracker(options.Wave),
		estimator: buffer.NewEstimator(),
		sizer:     buffer.NewSizer(options.Buffer),
		mover:     moves.NewMover(options.Moves),
		moving:    make(map[string]moving),
		proposed:  make(map[string]proposal),
		asked:     make(map[string]asked),
	}
}

// Round plans one round. The view is not changed.
func (p *Planner) Round(in Input) Plan {
	r := newRound(p, in)
	p.tracker.Observe(in.View, r.seen, in.Now)
	p.estimator.Add(in.Demand)
	r.countProposals()
	r.forgetMoves()
	r.stopWaves()
	r.advanceVMs()
	r.relieveStrain()
	r.drainRemoved()
	r.recallMoves()
	r.planMoves()
	r.takeForWaves()
	r.recallStragglers()
	r.forecast()
	r.reportBuffers()
	return r.plan
}
