package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	clients = 30
	// finishTime is the time that jobs have after the end of traffic and faults.
	finishTime = 14 * time.Second
	// lastCalmTime lets the judge see a calm stretch at the end of each run.
	lastCalmTime  = calmBeforeIdle + idleTime + time.Second
	judgeInterval = 100 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Dir        string
	Submitted  int
	Accepted   int
	Cancelled  int
	Faults     int
	Violations []Violation
	// Delay is the largest delay of the judge's look at the run: a hint that the machine
	// was overloaded.
	Delay time.Duration
	// Exits lists nodes whose process ended by itself.
	Exits []string
}

// OK reports whether all promises were kept.
func (r Report) OK() bool { return len(r.Violations) == 0 && len(r.Exits) == 0 }

// Write writes the report as text.
func (r Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d: %d jobs submitted, %d accepted, %d cancelled; %d faults; %d violations; largest delay %s\n",
		r.Seed, r.Submitted, r.Accepted, r.Cancelled, r.Faults, len(r.Violations), r.Delay.Round(time.Millisecond))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "  %s\n", v)
	}
	for _, name := range r.Exits {
		_, _ = fmt.Fprintf(w, "  %s ended by itself\n", name)
	}
	if !r.OK() {
		_, _ = fmt.Fprintf(w, "  logs: %s\n", r.Dir)
	}
}

// Run runs the soak once: it starts the program and the stand-ins, lets clients and
// faults loose on them for the duration, and waits for the jobs that are left.
func Run(ctx context.Context, o Options) (Report, error) {
	c, err := StartCluster(o)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	plan := Plan(o.random(streamPlan), o)
	delay := c.play(ctx, plan)
	c.judge.Finish()
	report := Report{Seed: o.Seed, Dir: o.Dir, Faults: len(plan), Delay: delay, Violations: c.judge.Violations()}
	report.Submitted, report.Accepted, report.Cancelled = c.judge.Counts()
	for _, n := range c.nodes {
		if n.current().hasExited() {
			report.Exits = append(report.Exits, n.name)
		}
	}
	return report, ctx.Err()
}

// play lets clients and faults loose and returns when the jobs have finished or
// their time is up. It returns the largest delay of the judge.
func (c *Cluster) play(ctx context.Context, plan []Fault) (delay time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var judging sync.WaitGroup
	judging.Go(func() { delay = c.watch(ctx) })

	trafficEnds := time.Now().Add(c.options.Duration)
	var faults, traffic sync.WaitGroup
	for i := range clients {
		client := c.NewClient(c.options.random(streamClients + uint64(i)))
		traffic.Go(func() { client.Run(ctx, trafficEnds) })
	}
	faults.Go(func() { c.Inject(ctx, plan) })
	keyTraffic, endKeyTraffic := context.WithDeadline(ctx, trafficEnds)
	defer endKeyTraffic()
	faults.Go(func() { c.rotateKeys(keyTraffic) })
	faults.Go(func() { c.NewClient(c.options.random(streamKeys)).Probe(keyTraffic) })
	sleep(ctx, time.Until(trafficEnds))
	faults.Wait()
	c.record.Printf("the traffic and the faults have ended")
	timeout := time.AfterFunc(finishTime, cancel)
	defer timeout.Stop()
	sleep(ctx, lastCalmTime)
	traffic.Wait()
	cancel()
	judging.Wait()
	return delay
}

// maxOwnDelay is the delay of the judge above which this process, which has the workers
// in it, counts as disturbed.
const maxOwnDelay = 500 * time.Millisecond

// watch lets the judge look at what runs, and returns its largest delay.
func (c *Cluster) watch(ctx context.Context) (delay time.Duration) {
	for ctx.Err() == nil {
		began := time.Now()
		sleep(ctx, judgeInterval)
		late := time.Since(began) - judgeInterval
		delay = max(delay, late)
		if late > maxOwnDelay {
			c.record.Printf("the soak itself, and the workers in it, stood still for %s", late)
			c.calm.Begin(everything)()
		}
		c.judge.Check()
	}
	return delay
}
