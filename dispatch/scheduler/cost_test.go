package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSchedule measures the time that Submit, Next and Finish take for one
// request in a pool that is two thirds full, with 250 teams.
func BenchmarkSchedule(b *testing.B) {
	for _, workers := range []int{50, 950} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchSchedule(b, workers) })
	}
}

func benchSchedule(b *testing.B, workers int) {
	var list []Worker
	for w := range workers {
		list = append(list, worker(fmt.Sprintf("w%03d", w), waitSlots))
	}
	s := newTest(b, Options{}, list...)
	s.SetTeams(fleetTeamList())
	now := warmUp(b, s, epoch, 1000)
	var running []Ticket
	step := func(i int) {
		r := request(fmt.Sprintf("team-%03d", i%fleetTeams))
		r.DeclaredRunTime = 100 * time.Millisecond
		if _, refusal := s.Submit(now, r); refusal != nil {
			b.Fatal(refusal)
		}
		for _, st := range s.Next(now).Starts {
			running = append(running, st.Ticket)
		}
	}
	for i := range workers * waitSlots * 2 / 3 {
		step(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		s.Finish(now, running[i], OK)
		i++
		step(i)
		s.NextWake()
	}
}
