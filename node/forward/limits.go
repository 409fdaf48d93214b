package forward

import (
	"time"

	"wigeonwinch/node/defaults"
)

// Limits bounds the resources that callers, peers and workers may use. Zero
// fields get the values of Defaults.
type Limits struct {
	// HeaderBytes is the maximum size of a caller's request headers.
	HeaderBytes int
	// BodyBytes is the maximum size of one request body.
	BodyBytes int64
	// BodyBytesTotal is the maximum total size of the request bodies in
	// memory, unless Config.Gate bounds it.
	BodyBytesTotal int64
	// AnswerBytes is the maximum size of an answer that is read completely
	// before its first byte is sent to the caller. Longer answers are
	// streamed.
	AnswerBytes int
	// RetainedAnswerBytes is the maximum size of one answer retained for
	// duplicates.
	RetainedAnswerBytes int
	// RetainedAnswerBytesTotal is the maximum total size of the answers
	// retained for duplicates.
	RetainedAnswerBytesTotal int
	// AnswerRetention is how long a finished execution is retained for
	// duplicates.
	AnswerRetention time.Duration
	// RequestIDBytes is the maximum length of a request ID.
	RequestIDBytes int
	// TeamBytes is the maximum length of a team name.
	TeamBytes int

	// HeaderTimeout is the maximum time to read a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection of a caller stays open.
	IdleTimeout time.Duration
	// ProgressTimeout is how long a transfer may make no progress.
	ProgressTimeout time.Duration
	// ConnectTimeout is the maximum time to open a connection to a worker or
	// peer.
	ConnectTimeout time.Duration
	// WorkerIdleTimeout is how long an idle connection to a worker stays
	// open.
	WorkerIdleTimeout time.Duration
	// SingleSendIdleTimeout is how long after its last use a connection may
	// still carry a non-repeatable request, which is sent only once.
	SingleSendIdleTimeout time.Duration
	// SuspectTTL is how long requests to a worker use new connections only,
	// after one of its connections stopped responding.
	SuspectTTL time.Duration

	// DefaultDeadline applies when neither the caller nor the service sets
	// one.
	DefaultDeadline time.Duration
	// MaxOverrun is how long after its deadline a non-repeatable request may
	// stay in progress.
	MaxOverrun time.Duration
	// InProgress is the maximum number of requests in progress and queued on
	// this node.
	InProgress int
	// QueuePerPool is the maximum queue length of one pool.
	QueuePerPool int
	// Attempts is the maximum number of attempts for one repeatable request.
	Attempts int
	// RelayAttempts is the maximum number of zones to which one request is
	// relayed.
	RelayAttempts int

	// LeavingTTL is how long a signal that a worker is leaving stays valid
	// unless it is repeated.
	LeavingTTL time.Duration
	// ClosedTTL is how long a closed connection counts as a signal that the
	// worker is leaving.
	ClosedTTL time.Duration

	// ClaimHorizon is the minimum time for which a claim is kept.
	ClaimHorizon time.Duration
	// ClaimSkew is the maximum difference between any two clocks.
	ClaimSkew time.Duration
	// ClaimFence is how long a home node may grant claims after it last
	// verified its epoch.
	ClaimFence time.Duration
	// ClaimTimeout is the maximum time for one claim.
	ClaimTimeout time.Duration
	// Claims is the maximum number of claims that this node keeps as a home
	// node.
	Claims int
	// Executions is the maximum number of executions of claimed requests that
	// this node tracks.
	Executions int
}

// Defaults returns the limits for a small entry VM.
func Defaults() Limits {
	return Limits{
		HeaderBytes:              32 << 10,
		BodyBytes:                8 << 20,
		BodyBytesTotal:           256 << 20,
		AnswerBytes:              1 << 20,
		RetainedAnswerBytes:      256 << 10,
		RetainedAnswerBytesTotal: 32 << 20,
		AnswerRetention:          2 * time.Minute,
		RequestIDBytes:           128,
		TeamBytes:                64,
		HeaderTimeout:            5 * time.Second,
		IdleTimeout:              60 * time.Second,
		ProgressTimeout:          10 * time.Second,
		ConnectTimeout:           2 * time.Second,
		WorkerIdleTimeout:        15 * time.Second,
		SingleSendIdleTimeout:    time.Second,
		SuspectTTL:               30 * time.Second,
		DefaultDeadline:          30 * time.Second,
		MaxOverrun:               10 * time.Minute,
		InProgress:               50_000,
		QueuePerPool:             20_000,
		Attempts:                 3,
		RelayAttempts:            2,
		LeavingTTL:               30 * time.Second,
		ClosedTTL:                5 * time.Second,
		ClaimHorizon:             15 * time.Minute,
		ClaimSkew:                10 * time.Second,
		ClaimFence:               3 * time.Second,
		ClaimTimeout:             time.Second,
		Claims:                   400_000,
		Executions:               100_000,
	}
}

func (l Limits) withDefaults() Limits {
	d := Defaults()
	l.setSizeDefaults(d)
	l.setTimeDefaults(d)
	l.setClaimDefaults(d)
	return l
}

func (l *Limits) setSizeDefaults(d Limits) {
	defaults.Set(&l.HeaderBytes, d.HeaderBytes)
	defaults.Set(&l.BodyBytes, d.BodyBytes)
	defaults.Set(&l.BodyBytesTotal, d.BodyBytesTotal)
	defaults.Set(&l.AnswerBytes, d.AnswerBytes)
	defaults.Set(&l.RetainedAnswerBytes, d.RetainedAnswerBytes)
	defaults.Set(&l.RetainedAnswerBytesTotal, d.RetainedAnswerBytesTotal)
	defaults.Set(&l.AnswerRetention, d.AnswerRetention)
	defaults.Set(&l.RequestIDBytes, d.RequestIDBytes)
	defaults.Set(&l.TeamBytes, d.TeamBytes)
	defaults.Set(&l.InProgress, d.InProgress)
	defaults.Set(&l.QueuePerPool, d.QueuePerPool)
	defaults.Set(&l.Attempts, d.Attempts)
	defaults.Set(&l.RelayAttempts, d.RelayAttempts)
}

func (l *Limits) setTimeDefaults(d Limits) {
	defaults.Set(&l.HeaderTimeout, d.HeaderTimeout)
	defaults.Set(&l.IdleTimeout, d.IdleTimeout)
	defaults.Set(&l.ProgressTimeout, d.ProgressTimeout)
	defaults.Set(&l.ConnectTimeout, d.ConnectTimeout)
	defaults.Set(&l.WorkerIdleTimeout, d.WorkerIdleTimeout)
	defaults.Set(&l.SingleSendIdleTimeout, d.SingleSendIdleTimeout)
	defaults.Set(&l.SuspectTTL, d.SuspectTTL)
	defaults.Set(&l.DefaultDeadline, d.DefaultDeadline)
	defaults.Set(&l.MaxOverrun, d.MaxOverrun)
	defaults.Set(&l.LeavingTTL, d.LeavingTTL)
	defaults.Set(&l.ClosedTTL, d.ClosedTTL)
}

func (l *Limits) setClaimDefaults(d Limits) {
	defaults.Set(&l.ClaimHorizon, d.ClaimHorizon)
	defaults.Set(&l.ClaimSkew, d.ClaimSkew)
	defaults.Set(&l.ClaimFence, d.ClaimFence)
	defaults.Set(&l.ClaimTimeout, d.ClaimTimeout)
	defaults.Set(&l.Claims, d.Claims)
	defaults.Set(&l.Executions, d.Executions)
}
