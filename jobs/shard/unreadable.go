package shard

// reasonUnreadable is the reason of a reply about a job whose record can't be read.
const reasonUnreadable = "record_unreadable"

// replyUnreadable replies to a request about a job whose record this program can't read,
// such as one of a newer version, and reports whether the job is one. Its state is not known, and
// neither a denial nor another acceptance may be given for it.
func (c *Core) replyUnreadable(ticket uint64, id string) bool {
	if !c.unreadable[id] {
		return false
	}
	c.reply(Reply{Ticket: ticket, Outcome: Unavailable, Reason: reasonUnreadable})
	return true
}
