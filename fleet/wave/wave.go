// Package wave decides the next step in the lifecycle of each VM, and the order
// in which the VMs of a maintenance wave are drained.
//
//	tracker := wave.NewTracker(wave.Options{})
//	step := tracker.Next(vm, observation, wave.Context{Now: now, Members: members})
//	candidates := wave.Order(ledger, pending)
//
// During maintenance a VM passes through the states active, draining, drained,
// rebooting, probation and active. It is rebooted only after every entry node of
// its zone has acknowledged the drain and no request is in progress on it. Times
// are arguments; the package does not read a clock.
package wave

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Presence is the status of a VM in the platform's list of VMs.
type Presence string

// The values of Presence. Absent means that the list does not contain the VM.
const (
	PresenceLive       Presence = "live"
	PresenceLeaving    Presence = "leaving"
	PresenceTerminated Presence = "terminated"
	PresenceAbsent     Presence = "absent"
)

// Observation holds the observed condition of one worker, which is not part of
// the control state.
type Observation struct {
	VM                  string
	Presence            Presence
	BootCount           uint64 // number of times the VM has booted
	Image               string // image that the VM last booted; empty if unknown
	ProbeOK             bool   // the last probe succeeded
	ConsecutiveFailures int    // number of consecutive failed probes
	// InProgress is the number of requests running on the worker.
	InProgress int
	// InProgressAt is the time at which InProgress was measured; zero if it is
	// unknown.
	InProgressAt time.Time
}

// Gone reports whether the VM no longer exists: the list shows it as terminated,
// or does not contain it and at least failureThreshold probes failed in a row.
// The list lags, so a VM that it does not contain may be new or still working.
func (o Observation) Gone(failureThreshold int) bool {
	if o.Presence == PresenceAbsent {
		return o.ConsecutiveFailures >= failureThreshold
	}
	return o.Presence == PresenceTerminated
}

// The defaults of Options, and the constants of the estimates.
const (
	defaultStragglerTimeout = 2 * time.Minute
	defaultMinRetryDelay    = 5 * time.Minute
	defaultMaxRetryDelay    = time.Hour
	defaultRebootTimeout    = 15 * time.Minute
	defaultRebootSettle     = 3 * time.Minute
	defaultProbation        = time.Minute
	defaultProbationGrace   = 2 * time.Minute
	defaultProbationLimit   = 15 * time.Minute
	defaultFailureThreshold = 3
	defaultMinFailedVMs     = 3
	defaultMaxFailedPercent = 10
	defaultDowntime         = 10 * time.Minute
	defaultDrainDuration    = 30 * time.Second
	drainSmoothing          = 0.1
	stragglerFactor         = 4
	downtimeSmoothing       = 0.1
	percent                 = 100
	maxRetryDoublings       = 8
	minutesPerHour          = 60
	minutesPerDay           = 24 * minutesPerHour
)

// Options are the timeouts and thresholds of the VM lifecycle. Zero values are
// replaced by the defaults.
type Options struct {
	// StragglerTimeout is the upper limit of the straggler threshold: a drain
	// that lasts longer may be canceled, and another VM of the pool drained in
	// its place. The threshold is shorter if drains usually are.
	StragglerTimeout time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay before a VM whose drain
	// was canceled is drained again. The delay doubles with each cancellation.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// RebootTimeout is how long a reboot may last before the VM is marked as
	// failed.
	RebootTimeout time.Duration
	// RebootSettle is how long a VM must answer probes before a planner that
	// took over during the reboot considers the reboot finished.
	RebootSettle time.Duration
	// Probation is how long a VM must answer probes before it returns to
	// service.
	Probation time.Duration
	// ProbationGrace is how long a VM in probation may fail its probes while
	// its services start.
	ProbationGrace time.Duration
	// ProbationLimit is how long probation may last before the VM is marked as
	// failed.
	ProbationLimit time.Duration
	// FailureThreshold is the number of consecutive failed probes after which a
	// VM is marked as failed.
	FailureThreshold int
	// MinFailedVMs is the number of VMs that must fail probation before a wave
	// can be stopped.
	MinFailedVMs int
}

func (o Options) withDefaults() Options {
	setDuration(&o.StragglerTimeout, defaultStragglerTimeout)
	setDuration(&o.MinRetryDelay, defaultMinRetryDelay)
	setDuration(&o.MaxRetryDelay, defaultMaxRetryDelay)
	setDuration(&o.RebootTimeout, defaultRebootTimeout)
	setDuration(&o.RebootSettle, defaultRebootSettle)
	setDuration(&o.Probation, defaultProbation)
	setDuration(&o.ProbationGrace, defaultProbationGrace)
	setDuration(&o.ProbationLimit, defaultProbationLimit)
	setInt(&o.FailureThreshold, defaultFailureThreshold)
	setInt(&o.MinFailedVMs, defaultMinFailedVMs)
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

// MustStop reports whether the wave must stop because too many of its VMs
// failed probation.
func (o Options) MustStop(status structs.WaveStatus) bool {
	minFailed := o.MinFailedVMs
	setInt(&minFailed, defaultMinFailedVMs)
	maxFailedPercent := status.MaxFailedPercent
	setInt(&maxFailedPercent, defaultMaxFailedPercent)
	finished := status.Returned + status.FailedProbation
	return status.FailedProbation >= minFailed && status.FailedProbation*percent > maxFailedPercent*finished
}

// WindowOpen reports whether the maintenance window is open at the given time,
// in UTC.
func WindowOpen(window structs.Window, now time.Time) bool {
	utc := now.UTC()
	minute := utc.Hour()*minutesPerHour + utc.Minute()
	if window.StartMinute <= window.EndMinute {
		return minute >= window.StartMinute && minute < window.EndMinute
	}
	return minute >= window.StartMinute || minute < window.EndMinute
}

// WindowDuration returns the time per day for which a window is open.
func WindowDuration(window structs.Window) time.Duration {
	minutes := window.EndMinute - window.StartMinute
	if minutes < 0 {
		minutes += minutesPerDay
	}
	return time.Duration(minutes) * time.Minute
}
