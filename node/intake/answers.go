package intake

import "sync/atomic"

// AnswerHold is what the answers to one request take up of the gate's budget for answers.
// Its methods are safe for concurrent use, and do nothing on nil.
type AnswerHold struct {
	gate  *Gate
	bytes atomic.Int64
	users atomic.Int32
}

// HoldAnswer returns a hold of no bytes with one user.
func (g *Gate) HoldAnswer() *AnswerHold {
	h := &AnswerHold{gate: g}
	h.users.Store(1)
	return h
}

// Take takes n more bytes of the budget. It reports false, and takes nothing, if there is no
// room.
func (h *AnswerHold) Take(n int) bool {
	if h == nil {
		return true
	}
	if held := h.gate.answers.Add(int64(n)); held > h.gate.limits.AnswerBytes {
		h.gate.answers.Add(-int64(n))
		h.gate.count(ReasonAnswers, "")
		return false
	}
	h.bytes.Add(int64(n))
	return true
}

// Keep adds a user of the answers. Each user calls Release.
func (h *AnswerHold) Keep() {
	if h != nil {
		h.users.Add(1)
	}
}

// Release returns the bytes to the budget once there is no user left.
func (h *AnswerHold) Release() {
	if h != nil && h.users.Add(-1) == 0 {
		h.gate.answers.Add(-h.bytes.Swap(0))
	}
}
