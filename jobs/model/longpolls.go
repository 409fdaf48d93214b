package model

import "wigeonwinch/jobs/shard"

// lostPollMS returns how much longer than for an order an owner waits for the answer to a poll.
func (w *World) lostPollMS(p shard.Poll, reason shard.PollError) int64 {
	if w.opts.LongPolls && reason == shard.PollUnanswered {
		return p.WaitMS
	}
	return 0
}

// answerPolls ends the polls that wait for a run to end.
func (k *worker) answerPolls() {
	if !k.world.opts.LongPolls {
		return
	}
	polls := k.waitingPolls
	k.waitingPolls = nil
	for _, p := range polls {
		p.answer()
	}
}
