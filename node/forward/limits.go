package forward

import (
	"time"

	"wigeonwinch/node/defaults"
)

// Limits bounds what callers, peers and workers may use. Zero fields get the
// values of Defaults.
type Limits struct {
	// HeaderBytes bounds the headers of a caller's request.
	HeaderBytes int
	// BodyBytes bounds the body of one request.
	BodyBytes int64
	// BodyBytesTotal bounds the bodies held at once.
	BodyBytesTotal int64
	// AnswerBytes is up to which size an answer is read whole before its
	// first byte goes to the caller. Longer answers stream.
	AnswerBytes int
	// AnswerHeldBytes bounds one answer that is held for duplicates.
	AnswerHeldBytes int
	// AnswersHeldBytes bounds all answers held for duplicates.
	AnswersHeldBytes int
	// AnswerHeld is how long an ended work is held for duplicates.
	AnswerHeld time.Duration
	// RequestIDBytes bounds a request id.
	RequestIDBytes int
	// TeamBytes bounds a team's name.
	TeamBytes int

	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is when an idle connection of a caller is closed.
	IdleTimeout time.Duration
	// ProgressTimeout is how long a transfer may stand still.
	ProgressTimeout time.Duration
	// ConnectTimeout bounds the opening of a connection to a worker or peer.
	ConnectTimeout time.Duration
	// KeepTimeout is when an idle connection to a worker is closed.
	KeepTimeout time.Duration
	// ProvedTimeout is how long after its last use a connection may still
	// carry work that is not repeatable.
	ProvedTimeout time.Duration
	// SuspectTime is how long a worker gets fresh connections only, after one
	// of its connections went silent.
	SuspectTime time.Duration

	// DefaultDeadline applies when neither caller nor service names one.
	DefaultDeadline time.Duration
	// OverrunTime is how much longer than its deadline work that is not
	// repeatable may stay in progress.
	OverrunTime time.Duration
	// InProgress bounds the requests in progress and queued on this node.
	InProgress int
	// QueuePerPool bounds the queue of one pool.
	QueuePerPool int
	// Attempts bounds the sendings of one repeatable request.
	Attempts int
	// RelayAttempts bounds the zones that one request is relayed to.
	RelayAttempts int

	// LeavingTime is how long a sign of leaving counts without another.
	LeavingTime time.Duration
	// CloseTime is how long a closed connection counts as a sign of leaving.
	CloseTime time.Duration

	// ClaimHorizon is how long a claim is kept at least.
	ClaimHorizon time.Duration
	// ClaimSkew bounds the difference between any two clocks.
	ClaimSkew time.Duration
	// ClaimFence is how long a home grants after it verified its epoch.
	ClaimFence time.Duration
	// ClaimTimeout bounds one claim.
	ClaimTimeout time.Duration
	// Claims bounds the claims kept by this node as a home.
	Claims int
	// Works bounds the works that this node has claimed and holds.
	Works int
}

// Defaults returns the limits for a small entry VM.
func Defaults() Limits {
	return Limits{
		HeaderBytes:      32 << 10,
		BodyBytes:        8 << 20,
		BodyBytesTotal:   256 << 20,
		AnswerBytes:      1 << 20,
		AnswerHeldBytes:  256 << 10,
		AnswersHeldBytes: 32 << 20,
		AnswerHeld:       2 * time.Minute,
		RequestIDBytes:   128,
		TeamBytes:        64,
		HeaderTimeout:    5 * time.Second,
		IdleTimeout:      60 * time.Second,
		ProgressTimeout:  10 * time.Second,
		ConnectTimeout:   2 * time.Second,
		KeepTimeout:      15 * time.Second,
		ProvedTimeout:    time.Second,
		SuspectTime:      30 * time.Second,
		DefaultDeadline:  30 * time.Second,
		OverrunTime:      10 * time.Minute,
		InProgress:       50_000,
		QueuePerPool:     20_000,
		Attempts:         3,
		RelayAttempts:    2,
		LeavingTime:      30 * time.Second,
		CloseTime:        5 * time.Second,
		ClaimHorizon:     15 * time.Minute,
		ClaimSkew:        10 * time.Second,
		ClaimFence:       3 * time.Second,
		ClaimTimeout:     time.Second,
		Claims:           400_000,
		Works:            100_000,
	}
}

func (l Limits) withDefaults() Limits {
	d := Defaults()
	l.sizesFrom(d)
	l.timesFrom(d)
	l.claimsFrom(d)
	return l
}

func (l *Limits) sizesFrom(d Limits) {
	defaults.Set(&l.HeaderBytes, d.HeaderBytes)
	defaults.Set(&l.BodyBytes, d.BodyBytes)
	defaults.Set(&l.BodyBytesTotal, d.BodyBytesTotal)
	defaults.Set(&l.AnswerBytes, d.AnswerBytes)
	defaults.Set(&l.AnswerHeldBytes, d.AnswerHeldBytes)
	defaults.Set(&l.AnswersHeldBytes, d.AnswersHeldBytes)
	defaults.Set(&l.AnswerHeld, d.AnswerHeld)
	defaults.Set(&l.RequestIDBytes, d.RequestIDBytes)
	defaults.Set(&l.TeamBytes, d.TeamBytes)
	defaults.Set(&l.InProgress, d.InProgress)
	defaults.Set(&l.QueuePerPool, d.QueuePerPool)
	defaults.Set(&l.Attempts, d.Attempts)
	defaults.Set(&l.RelayAttempts, d.RelayAttempts)
}

func (l *Limits) timesFrom(d Limits) {
	defaults.Set(&l.HeaderTimeout, d.HeaderTimeout)
	defaults.Set(&l.IdleTimeout, d.IdleTimeout)
	defaults.Set(&l.ProgressTimeout, d.ProgressTimeout)
	defaults.Set(&l.ConnectTimeout, d.ConnectTimeout)
	defaults.Set(&l.KeepTimeout, d.KeepTimeout)
	defaults.Set(&l.ProvedTimeout, d.ProvedTimeout)
	defaults.Set(&l.SuspectTime, d.SuspectTime)
	defaults.Set(&l.DefaultDeadline, d.DefaultDeadline)
	defaults.Set(&l.OverrunTime, d.OverrunTime)
	defaults.Set(&l.LeavingTime, d.LeavingTime)
	defaults.Set(&l.CloseTime, d.CloseTime)
}

func (l *Limits) claimsFrom(d Limits) {
	defaults.Set(&l.ClaimHorizon, d.ClaimHorizon)
	defaults.Set(&l.ClaimSkew, d.ClaimSkew)
	defaults.Set(&l.ClaimFence, d.ClaimFence)
	defaults.Set(&l.ClaimTimeout, d.ClaimTimeout)
	defaults.Set(&l.Claims, d.Claims)
	defaults.Set(&l.Works, d.Works)
}
