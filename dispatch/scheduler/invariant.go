package scheduler

// Violation is a broken invariant. The action that would break it is refused.
type Violation struct {
	Kind   ViolationKind
	Ticket Ticket
	Worker string
}

// ViolationKind says which invariant broke.
type ViolationKind string

// The kinds of violation.
const (
	// ViolationSlots means a start beyond a worker's slots.
	ViolationSlots ViolationKind = "more in progress than slots"
	// ViolationNotAccepting means a start on a worker that takes nothing new.
	ViolationNotAccepting ViolationKind = "start on a worker that is not accepting"
	// ViolationTicket means a ticket ended twice, or one never started ended.
	ViolationTicket ViolationKind = "ticket is not in progress"
)

// violated records a broken invariant.
func (s *Scheduler) violated(kind ViolationKind, t Ticket, worker string) {
	s.violations++
	if s.opts.OnViolation != nil {
		s.opts.OnViolation(Violation{Kind: kind, Ticket: t, Worker: worker})
	}
}
