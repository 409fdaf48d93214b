package scheduler

// Violation describes an action that would have broken an invariant. The
// scheduler does not carry out that action.
type Violation struct {
	Kind   ViolationKind
	Ticket Ticket
	Worker string
}

// ViolationKind identifies the invariant.
type ViolationKind string

// The kinds of violation.
const (
	// ViolationSlots means a start that exceeds a worker's slots.
	ViolationSlots ViolationKind = "more in progress than slots"
	// ViolationNotAccepting means a start on a worker that accepts no new
	// requests.
	ViolationNotAccepting ViolationKind = "start on a worker that is not accepting"
	// ViolationTicket means that a ticket was ended twice or before its request
	// started.
	ViolationTicket ViolationKind = "ticket is not in progress"
)

// reportViolation counts a broken invariant and reports it to OnViolation.
func (s *Scheduler) reportViolation(kind ViolationKind, t Ticket, worker string) {
	s.violations++
	if s.opts.OnViolation != nil {
		s.opts.OnViolation(Violation{Kind: kind, Ticket: t, Worker: worker})
	}
}
