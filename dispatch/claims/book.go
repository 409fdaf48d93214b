package claims

import (
	"time"

	"github.com/pkg/errors"
)

// ErrSecondRun says that a request that is not repeatable was about to be
// sent twice; the second sending must not happen.
var ErrSecondRun = errors.New("claims: the work was sent before: answer unknown and report the violation")

// BookConfig sets the bounds of a Book.
type BookConfig struct {
	// Self is the dispatching member.
	Self Member
	// MaxWorks bounds the works in progress and the ended ones together.
	MaxWorks int
	// MaxAnswerBytes bounds the answers held for duplicates, in total.
	MaxAnswerBytes int
	// Keep is how long an ended work is held for duplicates.
	Keep time.Duration
}

// State is where a work stands at its dispatching node.
type State uint8

// The states of a work.
const (
	// Claiming waits for the home's verdict or for a worker; nothing was sent.
	Claiming State = iota + 1
	// Sent means that a byte of the work may have reached a worker.
	Sent
	// Answered means that the whole answer arrived.
	Answered
	// Lost means that the work may have run and its answer will not arrive.
	Lost
	// NotRun means that the claim was given back; nothing was sent.
	NotRun
)

// Answer is a whole answer as a duplicate gets it.
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

// bytes returns roughly what the answer takes in memory, in bytes.
func (a *Answer) bytes() int {
	n := len(a.Body)
	for _, row := range a.Header {
		n += len(row.Name) + len(row.Value)
	}
	return n
}

// work is one claimed request at its dispatching node.
type work struct {
	key         Key
	fingerprint uint64
	token       uint64
	state       State
	answer      *Answer
	endedAt     time.Time
}

// Book is the dispatching side: the works that this node claimed, and the
// answers that it holds for duplicates.
type Book struct {
	cfg         BookConfig
	works       map[Key]*work
	ended       []*work // ordered by end
	endedHead   int
	answerBytes int
	nextToken   uint64
}

// NewBook returns an empty book.
func NewBook(cfg BookConfig) *Book {
	return &Book{cfg: cfg, works: make(map[Key]*work)}
}

// Begin is the result of Book.Begin.
type Begin uint8

// The results of Begin.
const (
	// BeginStarted means that the work is new here and may be claimed.
	BeginStarted Begin = iota + 1
	// BeginDuplicate means that the same work was begun here before.
	BeginDuplicate
	// BeginMismatch means that the id was begun here for other work.
	BeginMismatch
	// BeginFull means that the book has no room.
	BeginFull
)

// Begin opens a work. The token is the new one, or the earlier one of a
// duplicate.
func (b *Book) Begin(now time.Time, key Key, fingerprint uint64) (Begin, uint64) {
	b.Tick(now)
	if w, ok := b.works[key]; ok && w.state != NotRun {
		if w.fingerprint != fingerprint {
			return BeginMismatch, 0
		}
		return BeginDuplicate, w.token
	}
	if len(b.works) >= b.cfg.MaxWorks && !b.dropOldest() {
		return BeginFull, 0
	}
	b.nextToken++
	b.works[key] = &work{key: key, fingerprint: fingerprint, token: b.nextToken, state: Claiming}
	return BeginStarted, b.nextToken
}

// MarkSent must succeed before the first byte of the work is sent. It fails
// with ErrSecondRun when that happened before.
func (b *Book) MarkSent(key Key, token uint64) error {
	w, ok := b.works[key]
	if !ok || w.token != token || w.state != Claiming {
		return ErrSecondRun
	}
	w.state = Sent
	return nil
}

// Unsent takes a MarkSent back: no byte of the work can have left. It
// reports whether the work was in the state Sent.
func (b *Book) Unsent(key Key, token uint64) bool {
	w, ok := b.works[key]
	if !ok || w.token != token || w.state != Sent {
		return false
	}
	w.state = Claiming
	return true
}

// Drop closes a work that has not run, so that the id is free again. It
// reports false when the work was sent, and must then be ended as lost.
func (b *Book) Drop(now time.Time, key Key, token uint64) bool {
	w, ok := b.works[key]
	if !ok || w.token != token || w.state != Claiming {
		return false
	}
	w.state = NotRun
	b.hold(now, w)
	return true
}

// Forget removes a work whose claim was not granted, as if it never began.
func (b *Book) Forget(key Key, token uint64) {
	w, ok := b.works[key]
	if ok && w.token == token && w.state == Claiming {
		delete(b.works, key)
	}
}

// hold keeps an ended work for duplicates for some time.
func (b *Book) hold(now time.Time, w *work) {
	w.endedAt = now
	b.ended = append(b.ended, w)
}

// End closes a work that was sent. A nil answer means that it is lost.
func (b *Book) End(now time.Time, key Key, token uint64, answer *Answer) {
	w, ok := b.works[key]
	if !ok || w.token != token || w.state != Sent {
		return
	}
	w.state = Lost
	if answer != nil {
		w.state = Answered
		w.answer = answer
		b.answerBytes += answer.bytes()
	}
	b.hold(now, w)
	for b.answerBytes > b.cfg.MaxAnswerBytes && b.dropOldest() {
		continue
	}
}

// Look is what the book knows of a work.
type Look struct {
	State  State
	Answer *Answer
}

// Look returns what is known of a work. It reports false when the work is
// not in the book, because it was dropped or held for long enough.
func (b *Book) Look(key Key, token uint64) (Look, bool) {
	w, ok := b.works[key]
	if !ok || w.token != token {
		return Look{}, false
	}
	return Look{State: w.state, Answer: w.answer}, true
}

// Tick forgets ended works that were held for long enough.
func (b *Book) Tick(now time.Time) {
	for b.endedHead < len(b.ended) && now.Sub(b.ended[b.endedHead].endedAt) >= b.cfg.Keep {
		b.dropOldest()
	}
}

// dropOldest forgets the work that ended first. It reports false when none
// has ended.
func (b *Book) dropOldest() bool {
	if b.endedHead == len(b.ended) {
		return false
	}
	w := b.ended[b.endedHead]
	b.ended[b.endedHead] = nil
	b.endedHead++
	if b.endedHead*2 > len(b.ended) {
		b.ended = append([]*work(nil), b.ended[b.endedHead:]...)
		b.endedHead = 0
	}
	if w.answer != nil {
		b.answerBytes -= w.answer.bytes()
	}
	if b.works[w.key] == w {
		delete(b.works, w.key)
	}
	return true
}

// Len returns the number of works in the book.
func (b *Book) Len() int { return len(b.works) }

// AnswerBytes returns what the held answers take, in bytes.
func (b *Book) AnswerBytes() int { return b.answerBytes }
