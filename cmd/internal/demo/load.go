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

// The shape of the load.
const (
	// turnTime is how long one pool's queue has its turn.
	turnTime = 2 * time.Second
	// turnFactor is the demand in a turn, as a multiple of the mean.
	turnFactor = 5.0
	// restFactor is the demand between turns, as a multiple of the mean.
	restFactor = 1.0 / 20
	// meanUse is the mean demand as a share of the pool's slots; a turn asks
	// for more than the pool holds.
	meanUse = 0.24
	// shortRun is the median run time of short work.
	shortRun = 150 * time.Millisecond
	// longRun is the run time of a straggler.
	longRun = 4 * time.Second
	// longShare is the share of stragglers.
	longShare = 0.01
	// writeShare is the share of requests that are not repeatable.
	writeShare = 0.4
	// resendShare is the share of the not repeatable requests that a router
	// sends a second time through another node.
	resendShare = 0.05
	// urgentShare is the share of urgent requests.
	urgentShare = 0.02
	// tick is the span between two decisions of a sender.
	tick = 5 * time.Millisecond
)

// load sends requests the way routers do and counts their ends.
type load struct {
	site  *site
	http  *http.Client
	tally *tally
	seed  uint64
	wg    sync.WaitGroup
	began time.Time
}

func newLoad(s *site, opts Options) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	return &load{
		site:  s,
		http:  &http.Client{Transport: transport},
		tally: newTally(),
		seed:  opts.Seed,
	}
}

// run sends until the context ends; answers may still be under way then.
func (l *load) run(ctx context.Context) {
	l.began = time.Now()
	var senders sync.WaitGroup
	for i, pool := range l.site.manifest.Pools {
		services := l.servicesOf(pool.Name)
		if len(services) == 0 {
			continue
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			l.send(ctx, i, services, l.slotsOf(pool.Name))
		}()
	}
	senders.Wait()
}

// progress prints a line now and then.
func (l *load) progress(ctx context.Context, out io.Writer) {
	for pause.For(ctx, progressEvery) {
		sent, ended := l.tally.progress()
		fmt.Fprintf(out, "%5.1fs %d requests sent, %d ended\n", time.Since(l.began).Seconds(), sent, ended)
	}
}

// wait waits for the answers under way.
func (l *load) wait(limit time.Duration) error {
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(limit):
		return errors.Errorf("%d requests had no end %s after the load", l.tally.open(), limit)
	}
}

func (l *load) servicesOf(pool string) []structs.Service {
	var services []structs.Service
	for _, service := range l.site.manifest.Services {
		if service.Pool == pool {
			services = append(services, service)
		}
	}
	return services
}

func (l *load) slotsOf(pool string) int {
	slots := 0
	for _, vm := range l.site.manifest.VMs {
		if vm.Pool == pool {
			slots += vm.Slots
		}
	}
	return slots
}

// send is the sender of one pool.
func (l *load) send(ctx context.Context, pool int, services []structs.Service, slots int) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(pool)+1))
	meanRun := shortRun + time.Duration(longShare*float64(longRun))
	perSecond := meanUse * float64(slots) / meanRun.Seconds()
	credit := 0.0
	for pause.For(ctx, tick) {
		credit += perSecond * l.factor(pool) * tick.Seconds()
		for credit >= 1 {
			credit--
			l.start(l.draw(rng, services))
		}
	}
}

// factor returns the demand of a pool now, as a multiple of its mean.
func (l *load) factor(pool int) float64 {
	turn := int(time.Since(l.began)/turnTime) % len(l.site.manifest.Pools)
	if turn == pool {
		return turnFactor
	}
	return restFactor
}

// start sends one call, and its resend, each on its own.
func (l *load) start(c call) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.exchange(c)
	}()
	if c.resend == 0 {
		return
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		time.Sleep(c.resend)
		again := c
		again.first = false
		l.exchange(again)
	}()
}
