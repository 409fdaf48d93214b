// Package scheduler decides, for one pool on one entry node, which queued
// request starts on which worker.
//
//	s := scheduler.New(scheduler.Options{})
//	s.SetWorkers(now, []scheduler.Worker{{ID: "w1", Slots: 8, TotalSlots: 8, Accepting: true}})
//	ticket, refusal := s.Submit(now, request)
//	for _, start := range s.Next(now).Starts {
//		// send start.Request to start.Worker, then:
//		s.Finish(later, start.Ticket, scheduler.OK)
//	}
//
// It has no clock, I/O or goroutine. It is not safe for concurrent use: the
// caller holds a lock.
package scheduler
