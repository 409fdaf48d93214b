// Package demo runs the whole system in one process on loopback: stand-ins
// for the platform and the backend servers, one entry node per availability
// zone, a generated load and planned changes. The load's senders and the backend
// stand-ins count the results, independently of the nodes.
//
//	recording, err := demo.Run(ctx, demo.Options{Manifest: data, Duration: 20 * time.Second, Seed: 1, Progress: os.Stderr})
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/pause"
)

// Options configures a demo.
type Options struct {
	// Manifest is the JSON manifest to run. Its VM addresses are replaced by
	// loopback addresses.
	Manifest []byte
	// Duration is how long the load runs.
	Duration time.Duration
	// Seed seeds the random load, so that a run can be repeated with the same load.
	Seed uint64
	// Progress receives progress lines. Nil discards them.
	Progress io.Writer
	// NodeLog receives the nodes' logs. Nil discards them.
	NodeLog io.Writer
}

// Start times of the planned steps, as fractions of Options.Duration.
const (
	waveAtFraction    = 0.15
	changeAtFraction  = 0.35
	replaceAtFraction = 0.50
)

// readyTimeout bounds the publish of the manifest and the wait until all nodes
// are ready.
const readyTimeout = 30 * time.Second

// drainTimeout bounds one call, and the wait for the calls that are still in
// flight when the load ends.
const drainTimeout = 45 * time.Second

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// Run runs a demo and returns its recording.
func Run(ctx context.Context, opts Options) (*Recording, error) {
	if opts.Progress == nil {
		opts.Progress = io.Discard
	}
	site, err := newSite(opts)
	if err != nil {
		return nil, err
	}
	defer site.close()
	if err := site.publishAndAwaitReady(ctx); err != nil {
		return nil, err
	}
	load := newLoad(site, opts)
	sampler := newSampler(site, load)
	loadCtx, stopLoad := context.WithTimeout(ctx, opts.Duration)
	defer stopLoad()
	sampleCtx, stopSamples := context.WithCancel(ctx)
	defer stopSamples()
	go sampler.run(sampleCtx)
	go site.runPlannedSteps(loadCtx, opts)
	go load.reportProgress(loadCtx, opts.Progress)
	load.run(loadCtx)
	fmt.Fprintln(opts.Progress, "the load has ended; waiting for requests in flight")
	if err := load.waitInFlight(drainTimeout); err != nil {
		return nil, err
	}
	return sampler.finish(), nil
}

// runPlannedSteps publishes the wave, publishes the change and replaces the
// entry node, each at its time. A step that fails is recorded; the later steps
// still run.
func (s *site) runPlannedSteps(ctx context.Context, opts Options) {
	steps := []struct {
		fraction float64
		name     string
		do       func(context.Context) error
	}{
		{waveAtFraction, "publish a maintenance wave for one pool", s.startWave},
		{changeAtFraction, "publish a manifest change", s.publishChange},
		{replaceAtFraction, "replace an entry node", s.replaceNode},
	}
	started := time.Now()
	for _, step := range steps {
		due := time.Duration(step.fraction * float64(opts.Duration))
		if !pause.For(ctx, due-time.Since(started)) {
			return
		}
		fmt.Fprintf(opts.Progress, "%5.1fs %s\n", time.Since(started).Seconds(), step.name)
		if err := step.do(ctx); err != nil {
			s.recordError(errors.Wrap(err, step.name))
		}
	}
}
