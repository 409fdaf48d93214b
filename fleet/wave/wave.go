// Package wave decides the next step in the life of each VM that is out of
// service, and which VMs of a maintenance wave to take out next.
//
//	tracker := wave.NewTracker(wave.Options{})
//	step := tracker.Next(vm, observation, wave.Context{Now: now, Members: members})
//	candidates := wave.Order(ledger, pending)
//
// A VM passes active, draining, drained, rebooting, probation and active. It
// is rebooted only after every entry node of its zone has acknowledged the
// drain and nothing is in progress on it. Times are arguments; the package
// reads no clock.
package wave

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Presence is what the platform's list of VMs says of a VM.
type Presence string

// The values of Presence. Absent means that the list does not name the VM.
const (
	PresenceLive       Presence = "live"
	PresenceLeaving    Presence = "leaving"
	PresenceTerminated Presence = "terminated"
	PresenceAbsent     Presence = "absent"
)

// Observation is what is known of one worker besides the control state.
type Observation struct {
	VM       string
	Present  Presence
	Boot     uint64 // counts the VM's starts
	Image    string // image it last started, empty when not known
	ProbeOK  bool   // the last probe was answered well
	Failures int    // probes that failed in a row
	// InProgress is the number of requests running on the worker.
	InProgress int
	// BusyAt is the time as of which InProgress holds; zero when nothing is
	// known of it.
	BusyAt time.Time
}

// Gone says that the VM no longer exists: the list shows it as terminated, or
// the list lacks it and that many of its probes failed in a row. The list
// lags, so that a VM it lacks may be new or may still work.
func (o Observation) Gone(probes int) bool {
	if o.Present == PresenceAbsent {
		return o.Failures >= probes
	}
	return o.Present == PresenceTerminated
}

// Default times and counts of a VM's life.
const (
	defaultPatience       = 2 * time.Minute
	defaultRetryMin       = 5 * time.Minute
	defaultRetryMax       = time.Hour
	defaultRebootTimeout  = 15 * time.Minute
	defaultRebootSettle   = 3 * time.Minute
	defaultProbation      = time.Minute
	defaultProbationGrace = 2 * time.Minute
	defaultProbationLimit = 15 * time.Minute
	defaultFailureProbes  = 3
	defaultMinFailures    = 3
	defaultMaxFailed      = 10 // percent
	defaultOutDuration    = 10 * time.Minute
	defaultDrainDuration  = 30 * time.Second
	drainSmoothing        = 0.1
	drainsPerPatience     = 4
	outDurationSmoothing  = 0.1
	percent               = 100
	retryDoublingsAtMost  = 8
	minutesPerHour        = 60
	minutesPerDay         = 24 * minutesPerHour
)

// Options are the times and counts of a VM's life. Zero values take the
// defaults.
type Options struct {
	// Patience is how long a drain may last at most before another VM of the
	// pool may be taken in its place. It is less where drains are usually
	// short.
	Patience time.Duration
	// RetryMin and RetryMax bound the pause before a drain that was called
	// back is tried again; the pause doubles each time.
	RetryMin time.Duration
	RetryMax time.Duration
	// RebootTimeout is how long a reboot may last before the VM counts as
	// failed.
	RebootTimeout time.Duration
	// RebootSettle is how long a VM must answer probes before a planner that
	// took over in the middle of a reboot believes that it is over.
	RebootSettle time.Duration
	// Probation is how long a VM must answer probes before it returns.
	Probation time.Duration
	// ProbationGrace is how long a returned VM may fail its probes while its
	// services start.
	ProbationGrace time.Duration
	// ProbationLimit is how long probation may last before the VM counts as
	// failed.
	ProbationLimit time.Duration
	// FailureProbes is how many probes in a row must fail.
	FailureProbes int
	// MinFailures is how many VMs must fail probation before a wave can stop.
	MinFailures int
}

func (o Options) withDefaults() Options {
	setDuration(&o.Patience, defaultPatience)
	setDuration(&o.RetryMin, defaultRetryMin)
	setDuration(&o.RetryMax, defaultRetryMax)
	setDuration(&o.RebootTimeout, defaultRebootTimeout)
	setDuration(&o.RebootSettle, defaultRebootSettle)
	setDuration(&o.Probation, defaultProbation)
	setDuration(&o.ProbationGrace, defaultProbationGrace)
	setDuration(&o.ProbationLimit, defaultProbationLimit)
	setInt(&o.FailureProbes, defaultFailureProbes)
	setInt(&o.MinFailures, defaultMinFailures)
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// MustStop says that too many returning VMs failed probation.
func (o Options) MustStop(status structs.WaveStatus) bool {
	least := o.MinFailures
	setInt(&least, defaultMinFailures)
	limit := status.MaxFailedPercent
	setInt(&limit, defaultMaxFailed)
	tried := status.Returned + status.FailedProbation
	return status.FailedProbation >= least && status.FailedProbation*percent > limit*tried
}

// Open says that planned maintenance may start at the given time.
func Open(window structs.Window, now time.Time) bool {
	utc := now.UTC()
	minute := utc.Hour()*minutesPerHour + utc.Minute()
	if window.StartMinute <= window.EndMinute {
		return minute >= window.StartMinute && minute < window.EndMinute
	}
	return minute >= window.StartMinute || minute < window.EndMinute
}

// OpenTime returns the time within a day for which a window is open.
func OpenTime(window structs.Window) time.Duration {
	minutes := window.EndMinute - window.StartMinute
	if minutes < 0 {
		minutes += minutesPerDay
	}
	return time.Duration(minutes) * time.Minute
}
