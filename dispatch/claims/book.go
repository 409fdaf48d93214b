package claims

import (
	"time"

	"github.com/pkg/errors"
)

// ErrAlreadySent is returned when a request that is not repeatable would be
// sent to a worker a second time. The caller must not send it.
var ErrAlreadySent = errors.New("claims: request was already sent to a worker: respond with the outcome unknown and report the violation")

// ExecutionTrackerConfig holds the settings for [NewExecutionTracker].
type ExecutionTrackerConfig struct {
	// Self is the dispatching member.
	Self Member
	// MaxExecutions is the maximum number of executions, in progress and
	// finished.
	MaxExecutions int
	// MaxAnswerBytes is the maximum total size of the answers kept for
	// duplicates, in bytes.
	MaxAnswerBytes int
	// Retention is how long a finished execution is kept for duplicates.
	Retention time.Duration
}

// ExecutionState is the state of an execution at its dispatching node.
type ExecutionState uint8

// The states of an execution.
const (
	// Claiming means that the execution waits for the home node's verdict or
	// for a worker; nothing has been sent.
	Claiming ExecutionState = iota + 1
	// Sent means that bytes of the request may have reached a worker.
	Sent
	// Answered means that the complete answer arrived.
	Answered
	// AnswerLost means that the request may have run, but its answer will not
	// arrive.
	AnswerLost
	// NotRun means that the claim was released; nothing was sent.
	NotRun
)

// Answer is a complete answer as returned to a duplicate.
type Answer struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// sizeBytes returns the approximate memory size of the answer, in bytes.
func (a *Answer) sizeBytes() int {
	n := len(a.Body)
	for _, field := range a.Header {
		n += len(field.Name) + len(field.Value)
	}
	return n
}

// execution is one claimed request at the dispatching node.
type execution struct {
	key         Key
	fingerprint uint64
	token       uint64
	state       ExecutionState
	answer      *Answer
	finishedAt  time.Time
}

// ExecutionTracker tracks the executions of the requests that this node claims,
// and keeps the answers of finished ones for duplicates.
type ExecutionTracker struct {
	cfg        ExecutionTrackerConfig
	executions map[Key]*execution
	// finished are the finished executions in the order in which they finished.
	// Those before finishedHead are evicted.
	finished     []*execution
	finishedHead int
	answerBytes  int
	nextToken    uint64
}

// NewExecutionTracker returns an empty [ExecutionTracker].
func NewExecutionTracker(cfg ExecutionTrackerConfig) *ExecutionTracker {
	return &ExecutionTracker{cfg: cfg, executions: make(map[Key]*execution)}
}

// BeginResult is the result of starting an execution.
type BeginResult uint8

// The results of starting an execution.
const (
	// BeginStarted means that a new execution was started; the id may be
	// claimed.
	BeginStarted BeginResult = iota + 1
	// BeginDuplicate means that this node already has an execution of the same
	// request.
	BeginDuplicate
	// BeginMismatch means that this node already has an execution of a
	// different request under the same id.
	BeginMismatch
	// BeginFull means that the maximum number of executions is in progress.
	BeginFull
)

// Begin starts an execution. It returns the token of the new execution, or for
// a duplicate the token of the earlier one.
func (t *ExecutionTracker) Begin(now time.Time, key Key, fingerprint uint64) (BeginResult, uint64) {
	t.Expire(now)
	if e, ok := t.executions[key]; ok && e.state != NotRun {
		if e.fingerprint != fingerprint {
			return BeginMismatch, 0
		}
		return BeginDuplicate, e.token
	}
	if len(t.executions) >= t.cfg.MaxExecutions && !t.evictOldest() {
		return BeginFull, 0
	}
	t.nextToken++
	t.executions[key] = &execution{key: key, fingerprint: fingerprint, token: t.nextToken, state: Claiming}
	return BeginStarted, t.nextToken
}

// MarkSent records that the request is about to be sent. It must succeed before
// the first byte is sent. It fails with ErrAlreadySent unless the execution is
// in the state Claiming.
func (t *ExecutionTracker) MarkSent(key Key, token uint64) error {
	e, ok := t.executions[key]
	if !ok || e.token != token || e.state != Claiming {
		return ErrAlreadySent
	}
	e.state = Sent
	return nil
}

// UnmarkSent reverts MarkSent when no byte of the request can have been sent.
// It reports whether the execution was in the state Sent.
func (t *ExecutionTracker) UnmarkSent(key Key, token uint64) bool {
	e, ok := t.executions[key]
	if !ok || e.token != token || e.state != Sent {
		return false
	}
	e.state = Claiming
	return true
}

// EndNotRun finishes an execution whose request was not sent, so that the id
// can be used again. It reports false when the request was sent; the caller
// must then end the execution as lost.
func (t *ExecutionTracker) EndNotRun(now time.Time, key Key, token uint64) bool {
	e, ok := t.executions[key]
	if !ok || e.token != token || e.state != Claiming {
		return false
	}
	e.state = NotRun
	t.retain(now, e)
	return true
}

// Discard removes an execution whose claim was not granted. Duplicates do not
// find it afterwards.
func (t *ExecutionTracker) Discard(key Key, token uint64) {
	e, ok := t.executions[key]
	if ok && e.token == token && e.state == Claiming {
		delete(t.executions, key)
	}
}

// retain keeps a finished execution for duplicates until it expires or is
// evicted.
func (t *ExecutionTracker) retain(now time.Time, e *execution) {
	e.finishedAt = now
	t.finished = append(t.finished, e)
}

// End finishes an execution whose request was sent. A nil answer means that the
// answer is lost.
func (t *ExecutionTracker) End(now time.Time, key Key, token uint64, answer *Answer) {
	e, ok := t.executions[key]
	if !ok || e.token != token || e.state != Sent {
		return
	}
	e.state = AnswerLost
	if answer != nil {
		e.state = Answered
		e.answer = answer
		t.answerBytes += answer.sizeBytes()
	}
	t.retain(now, e)
	for t.answerBytes > t.cfg.MaxAnswerBytes && t.evictOldest() {
		continue
	}
}

// ExecutionStatus is the status of an execution. Answer is nil unless the state
// is Answered.
type ExecutionStatus struct {
	State  ExecutionState
	Answer *Answer
}

// Lookup returns the status of an execution. It reports false when the
// execution is not known: it was removed, replaced, evicted or has expired.
func (t *ExecutionTracker) Lookup(key Key, token uint64) (ExecutionStatus, bool) {
	e, ok := t.executions[key]
	if !ok || e.token != token {
		return ExecutionStatus{}, false
	}
	return ExecutionStatus{State: e.state, Answer: e.answer}, true
}

// Expire evicts the finished executions whose retention has ended.
func (t *ExecutionTracker) Expire(now time.Time) {
	for t.finishedHead < len(t.finished) && now.Sub(t.finished[t.finishedHead].finishedAt) >= t.cfg.Retention {
		t.evictOldest()
	}
}

// evictOldest evicts the execution that finished first. It reports false when
// there is no finished execution.
func (t *ExecutionTracker) evictOldest() bool {
	if t.finishedHead == len(t.finished) {
		return false
	}
	e := t.finished[t.finishedHead]
	t.finished[t.finishedHead] = nil
	t.finishedHead++
	if t.finishedHead*2 > len(t.finished) {
		t.finished = append([]*execution(nil), t.finished[t.finishedHead:]...)
		t.finishedHead = 0
	}
	if e.answer != nil {
		t.answerBytes -= e.answer.sizeBytes()
	}
	if t.executions[e.key] == e {
		delete(t.executions, e.key)
	}
	return true
}

// Len returns the number of executions, in progress and finished.
func (t *ExecutionTracker) Len() int { return len(t.executions) }

// AnswerBytes returns the total size of the answers kept, in bytes.
func (t *ExecutionTracker) AnswerBytes() int { return t.answerBytes }
