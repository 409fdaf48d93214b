package shard

// question is a request about a job that this owner does not have. The memory of an
// owner that was suspended or cut off does not answer it: its successor may have
// accepted the job. It is answered after an append that was sent after the
// question, because the store accepts an append only from the newest owner.
type question struct {
	ticket uint64
	answer func()
}

// askStore answers a question after the next append. If this owner's right to decide
// has expired, the caller has to ask the owner again, whoever that is then.
func (c *Core) askStore(ticket uint64, answer func()) {
	if !c.mayProveOwnership() {
		c.reply(Reply{Ticket: ticket, Outcome: Superseded})
		return
	}
	c.questions = append(c.questions, question{ticket, answer})
}

// mayProveOwnership reports whether an append is likely to succeed soon.
func (c *Core) mayProveOwnership() bool { return !c.storeDown && c.now < c.startsUntil }

// abandonQuestions sends the callers back that wait for an append which is unlikely to
// succeed soon.
func (c *Core) abandonQuestions() {
	if c.mayProveOwnership() {
		return
	}
	for _, r := range c.returnQuestions() {
		c.reply(r)
	}
}

// returnQuestions returns replies to the callers of all open questions. An append in
// flight that still succeeds answers nobody.
func (c *Core) returnQuestions() []Reply {
	var replies []Reply
	for _, q := range append(c.askedStore, c.questions...) {
		replies = append(replies, Reply{Ticket: q.ticket, Outcome: Superseded})
	}
	c.askedStore, c.questions = nil, nil
	return replies
}

// takeQuestions adds the open questions to a batch.
func (c *Core) takeQuestions(b *Batch) {
	if len(c.questions) == 0 {
		return
	}
	b.NeedsAppend = true
	c.askedStore, c.questions = c.questions, nil
	b.onCommit = append(b.onCommit, c.answerAsked)
}

func (c *Core) answerAsked() {
	asked := c.askedStore
	c.askedStore = nil
	for _, q := range asked {
		q.answer()
	}
}

// Lookup looks for a job that JobStatus does not know. The reply has its state if it was
// stored meanwhile, or else says that it is unknown.
func (c *Core) Lookup(now int64, ticket uint64, id string) { c.LookupAs(operator, now, ticket, id) }

// Yield leaves a job to the shard that asks, unless this one has it: for a while it
// accepts no submission of the job. The reply is Unknown if the job is left,
// Accepted if this shard has it, and Unavailable while it is being stored or if its record
// can't be read.
func (c *Core) Yield(now int64, ticket uint64, id string) {
	c.now = now
	if c.replyUnreadable(ticket, id) {
		return
	}
	if c.knows(id) {
		outcome := Accepted
		if j := c.jobs[id]; j != nil && !j.stored {
			outcome = Unavailable
		}
		c.reply(Reply{Ticket: ticket, Outcome: outcome, Reason: "being_stored"})
		return
	}
	if !c.decline(ticket, id) {
		return
	}
	c.askStore(ticket, func() { c.reply(Reply{Ticket: ticket, Outcome: Unknown}) })
}
