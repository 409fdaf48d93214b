package claims

import (
	"time"

	"github.com/pkg/errors"
)

// ErrAlreadySent is returned when a request that is not repeatable would be
// sent to a worker a second time. The caller must not send it.
var ErrAlreadySent = errors.New("claims: request was sent to a worker before: answer unknown and report the violation")

// BookConfig holds the settings for [NewBook].
type BookConfig struct {
	// Self is the dispatching member.
	Self Member
	// MaxWorks is the maximum number of executions, in progress and finished.
	MaxWorks int
	// MaxAnswerBytes is the maximum total size of the answers kept for
	// duplicates, in bytes.
	MaxAnswerBytes int
	// Keep is how long a finished execution is kept for duplicates.
	Keep time.Duration
}

// State is the state of an execution at its dispatching node.
type State uint8

// The states of an execution.
const (
	// Claiming means that the execution waits for the home node's verdict or
	// for a worker; nothing has been sent.
	Claiming State = iota + 1
	// Sent means that bytes of the request may have reached a worker.
	Sent
	// Answered means that the complete answer arrived.
	Answered
	// Lost means that the request may have run, but its answer will not arrive.
	Lost
	// NotRun means that the claim was released; nothing was sent.
	NotRun
)

// Answer is a complete answer as returned to a duplicate.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header []HeaderRow `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// HeaderRow is one header field of an answer.
type HeaderRow struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// sizeBytes returns the approximate memory size of the answer, in bytes.
func (a *Answer) sizeBytes() int {
	n := len(a.Body)
	for _, row := range a.Header {
		n += len(row.Name) + len(row.Value)
	}
	return n
}

// execution is one claimed request at the dispatching node.
type execution struct {
	key         Key
	fingerprint uint64
	token       uint64
	state       State
	answer      *Answer
	finishedAt  time.Time
}

// Book tracks the executions of the requests that this node claims, and keeps
// the answers of finished ones for duplicates.
type Book struct {
	cfg        BookConfig
	executions map[Key]*execution
	// finished are the finished executions in the order in which they finished.
	// Those before finishedHead are evicted.
	finished     []*execution
	finishedHead int
	answerBytes  int
	nextToken    uint64
}

// NewBook returns an empty [Book].
func NewBook(cfg BookConfig) *Book {
	return &Book{cfg: cfg, executions: make(map[Key]*execution)}
}

// Begin is the result of starting an execution.
type Begin uint8

// The results of starting an execution.
const (
	// BeginStarted means that a new execution was started; the id may be
	// claimed.
	BeginStarted Begin = iota + 1
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
func (b *Book) Begin(now time.Time, key Key, fingerprint uint64) (Begin, uint64) {
	b.Expire(now)
	if e, ok := b.executions[key]; ok && e.state != NotRun {
		if e.fingerprint != fingerprint {
			return BeginMismatch, 0
		}
		return BeginDuplicate, e.token
	}
	if len(b.executions) >= b.cfg.MaxWorks && !b.evictOldest() {
		return BeginFull, 0
	}
	b.nextToken++
	b.executions[key] = &execution{key: key, fingerprint: fingerprint, token: b.nextToken, state: Claiming}
	return BeginStarted, b.nextToken
}

// MarkSent records that the request is about to be sent. It must succeed before
// the first byte is sent. It fails with ErrAlreadySent unless the execution is
// in the state Claiming.
func (b *Book) MarkSent(key Key, token uint64) error {
	e, ok := b.executions[key]
	if !ok || e.token != token || e.state != Claiming {
		return ErrAlreadySent
	}
	e.state = Sent
	return nil
}

// Unsent reverts MarkSent when no byte of the request can have been sent. It
// reports whether the execution was in the state Sent.
func (b *Book) Unsent(key Key, token uint64) bool {
	e, ok := b.executions[key]
	if !ok || e.token != token || e.state != Sent {
		return false
	}
	e.state = Claiming
	return true
}

// Drop finishes an execution whose request was not sent, so that the id can be
// used again. It reports false when the request was sent; the caller must then
// end the execution as lost.
func (b *Book) Drop(now time.Time, key Key, token uint64) bool {
	e, ok := b.executions[key]
	if !ok || e.token != token || e.state != Claiming {
		return false
	}
	e.state = NotRun
	b.retain(now, e)
	return true
}

// Forget removes an execution whose claim was not granted. Duplicates do not
// find it afterwards.
func (b *Book) Forget(key Key, token uint64) {
	e, ok := b.executions[key]
	if ok && e.token == token && e.state == Claiming {
		delete(b.executions, key)
	}
}

// retain keeps a finished execution for duplicates until it expires or is
// evicted.
func (b *Book) retain(now time.Time, e *execution) {
	e.finishedAt = now
	b.finished = append(b.finished, e)
}

// End finishes an execution whose request was sent. A nil answer means that the
// answer is lost.
func (b *Book) End(now time.Time, key Key, token uint64, answer *Answer) {
	e, ok := b.executions[key]
	if !ok || e.token != token || e.state != Sent {
		return
	}
	e.state = Lost
	if answer != nil {
		e.state = Answered
		e.answer = answer
		b.answerBytes += answer.sizeBytes()
	}
	b.retain(now, e)
	for b.answerBytes > b.cfg.MaxAnswerBytes && b.evictOldest() {
		continue
	}
}

// Look is the status of an execution. Answer is nil unless the state is
// Answered.
type Look struct {
	State  State
	Answer *Answer
}

// Look returns the status of an execution. It reports false when the execution
// is not known: it was removed, replaced, evicted or has expired.
func (b *Book) Look(key Key, token uint64) (Look, bool) {
	e, ok := b.executions[key]
	if !ok || e.token != token {
		return Look{}, false
	}
	return Look{State: e.state, Answer: e.answer}, true
}

// Expire evicts the finished executions whose retention has ended.
func (b *Book) Expire(now time.Time) {
	for b.finishedHead < len(b.finished) && now.Sub(b.finished[b.finishedHead].finishedAt) >= b.cfg.Keep {
		b.evictOldest()
	}
}

// evictOldest evicts the execution that finished first. It reports false when
// there is no finished execution.
func (b *Book) evictOldest() bool {
	if b.finishedHead == len(b.finished) {
		return false
	}
	e := b.finished[b.finishedHead]
	b.finished[b.finishedHead] = nil
	b.finishedHead++
	if b.finishedHead*2 > len(b.finished) {
		b.finished = append([]*execution(nil), b.finished[b.finishedHead:]...)
		b.finishedHead = 0
	}
	if e.answer != nil {
		b.answerBytes -= e.answer.sizeBytes()
	}
	if b.executions[e.key] == e {
		delete(b.executions, e.key)
	}
	return true
}

// Len returns the number of executions, in progress and finished.
func (b *Book) Len() int { return len(b.executions) }

// AnswerBytes returns the total size of the answers kept, in bytes.
func (b *Book) AnswerBytes() int { return b.answerBytes }
