package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/pause"
)

// Parameters of the load. Each pool's demand has a peak phase and an off-peak phase;
// the pools peak one after another.
const (
	// peakDuration is how long a pool's peak phase lasts before the next pool's begins.
	peakDuration = 2 * time.Second
	// peakFactor is the demand in the peak phase, as a multiple of the mean.
	peakFactor = 5.0
	// offPeakFactor is the demand in the off-peak phase, as a multiple of the mean.
	offPeakFactor = 1.0 / 20
	// meanUtilization is the mean demand as a share of the pool's slots. In
	// the peak phase the demand exceeds the pool's capacity.
	meanUtilization = 0.24
	// shortRunTime is the median run time of short requests.
	shortRunTime = 150 * time.Millisecond
	// longRunTime is the run time of a straggler.
	longRunTime = 4 * time.Second
	// longShare is the share of requests that are stragglers.
	longShare = 0.01
	// nonRepeatableShare is the share of requests that must not run more than once.
	nonRepeatableShare = 0.4
	// resendShare is the share of the non-repeatable requests that a router
	// sends a second time through another node.
	resendShare = 0.05
	// urgentShare is the share of urgent requests.
	urgentShare = 0.02
	// sendInterval is how often a sender checks whether calls are due.
	sendInterval = 5 * time.Millisecond
)

// load sends requests as routers do and counts their results.
type load struct {
	site      *site
	client    *http.Client
	tally     *tally
	seed      uint64
	inFlight  sync.WaitGroup
	startTime time.Time
}

func newLoad(s *site, opts Options) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	return &load{
		site:   s,
		client: &http.Client{Transport: transport},
		tally:  newTally(),
		seed:   opts.Seed,
	}
}

// run starts one sender per pool that has services and returns after the context
// ends; calls may still be in flight then.
func (l *load) run(ctx context.Context) {
	l.startTime = time.Now()
	var senders sync.WaitGroup
	for i, pool := range l.site.manifest.Pools {
		services := l.poolServices(pool.Name)
		if len(services) == 0 {
			continue
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			l.runSender(ctx, i, services, l.poolSlots(pool.Name))
		}()
	}
	senders.Wait()
}

// reportProgress prints a progress line every progressInterval until the context
// ends.
func (l *load) reportProgress(ctx context.Context, out io.Writer) {
	for pause.For(ctx, progressInterval) {
		sent, ended := l.tally.progress()
		fmt.Fprintf(out, "%5.1fs %d requests sent, %d ended\n", time.Since(l.startTime).Seconds(), sent, ended)
	}
}

// waitInFlight waits until no call is in flight, for at most limit.
func (l *load) waitInFlight(limit time.Duration) error {
	done := make(chan struct{})
	go func() {
		l.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(limit):
		return errors.Errorf("%d requests were still in flight %s after the load ended", l.tally.unfinished(), limit)
	}
}

func (l *load) poolServices(pool string) []structs.Service {
	var services []structs.Service
	for _, service := range l.site.manifest.Services {
		if service.Pool == pool {
			services = append(services, service)
		}
	}
	return services
}

func (l *load) poolSlots(pool string) int {
	slots := 0
	for _, vm := range l.site.manifest.VMs {
		if vm.Pool == pool {
			slots += vm.Slots
		}
	}
	return slots
}

// runSender starts the calls of one pool at its current demand until the context
// ends.
func (l *load) runSender(ctx context.Context, pool int, services []structs.Service, slots int) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(pool)+1))
	meanRun := shortRunTime + time.Duration(longShare*float64(longRunTime))
	callsPerSecond := meanUtilization * float64(slots) / meanRun.Seconds()
	credit := 0.0
	for pause.For(ctx, sendInterval) {
		credit += callsPerSecond * l.demandFactor(pool) * sendInterval.Seconds()
		for credit >= 1 {
			credit--
			l.startCall(l.randomCall(rng, services))
		}
	}
}

// demandFactor returns the current demand of a pool, as a multiple of its mean.
func (l *load) demandFactor(pool int) float64 {
	peakPool := int(time.Since(l.startTime)/peakDuration) % len(l.site.manifest.Pools)
	if peakPool == pool {
		return peakFactor
	}
	return offPeakFactor
}

// startCall sends a call, and its duplicate if it has one, in separate
// goroutines.
func (l *load) startCall(c call) {
	l.inFlight.Add(1)
	go func() {
		defer l.inFlight.Done()
		l.sendAndRecord(c)
	}()
	if c.resendAfter == 0 {
		return
	}
	l.inFlight.Add(1)
	go func() {
		defer l.inFlight.Done()
		time.Sleep(c.resendAfter)
		resent := c
		resent.firstSend = false
		l.sendAndRecord(resent)
	}()
}
