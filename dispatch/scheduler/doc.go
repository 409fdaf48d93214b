// Package scheduler assigns the queued requests of one pool on one entry node
// to workers.
//
//	s := scheduler.New(scheduler.Options{})
//	s.SetWorkers(now, []scheduler.Worker{{ID: "w1", Slots: 8, TotalSlots: 8, Accepting: true}})
//	ticket, refusal := s.Submit(now, request)
//	for _, start := range s.Next(now).Starts {
//		// send start.Request to start.Worker, then:
//		s.Finish(later, start.Ticket, scheduler.OK)
//	}
//
// The package reads no clock, does no I/O and starts no goroutine. A Scheduler
// is not safe for concurrent use; callers must hold a lock.
package scheduler
