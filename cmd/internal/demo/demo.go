// Package demo runs the whole system in one process on loopback: stand-ins
// for the platform and the backend servers, one entry node per availability
// zone, a load and planned changes. The figures are counted by the senders
// and the backend stand-ins, not by the nodes.
//
//	result, err := demo.Run(ctx, demo.Options{Manifest: data, For: 20 * time.Second, Seed: 1, Progress: os.Stderr})
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/pause"
)

// Options tunes a demo.
type Options struct {
	// Manifest is the manifest to run. Addresses are replaced by loopback ones.
	Manifest []byte
	// For is how long the load runs.
	For time.Duration
	// Seed makes the load repeatable.
	Seed uint64
	// Progress takes a line now and then.
	Progress io.Writer
	// NodeLog takes the nodes' logs. Nil drops them.
	NodeLog io.Writer
}

// Points of the run at which something planned happens, as shares of it.
const (
	waveAt    = 0.15
	changeAt  = 0.35
	replaceAt = 0.50
)

// settleTime bounds the wait for the nodes to become ready.
const settleTime = 30 * time.Second

// drainTime bounds the wait for the last answers after the load has ended.
const drainTime = 45 * time.Second

// progressEvery is the span between two lines of progress.
const progressEvery = 2 * time.Second

// Run runs a demo to its end.
func Run(ctx context.Context, opts Options) (*Recording, error) {
	if opts.Progress == nil {
		opts.Progress = io.Discard
	}
	site, err := newSite(opts)
	if err != nil {
		return nil, err
	}
	defer site.close()
	if err := site.settle(ctx); err != nil {
		return nil, err
	}
	load := newLoad(site, opts)
	sampler := newSampler(site, load)
	loadCtx, stopLoad := context.WithTimeout(ctx, opts.For)
	defer stopLoad()
	sampleCtx, stopSamples := context.WithCancel(ctx)
	defer stopSamples()
	go sampler.run(sampleCtx)
	go site.planned(loadCtx, opts)
	go load.progress(loadCtx, opts.Progress)
	load.run(loadCtx)
	fmt.Fprintln(opts.Progress, "the load has ended; waiting for the last answers")
	if err := load.wait(drainTime); err != nil {
		return nil, err
	}
	return sampler.finish(), nil
}

// planned carries out the wave, the change and the replacement.
func (s *site) planned(ctx context.Context, opts Options) {
	steps := []struct {
		at   float64
		name string
		do   func(context.Context) error
	}{
		{waveAt, "publish a maintenance wave over one pool", s.startWave},
		{changeAt, "publish a change", s.publishChange},
		{replaceAt, "replace an entry node", s.replaceNode},
	}
	started := time.Now()
	for _, step := range steps {
		due := time.Duration(step.at * float64(opts.For))
		if !pause.For(ctx, due-time.Since(started)) {
			return
		}
		fmt.Fprintf(opts.Progress, "%5.1fs %s\n", time.Since(started).Seconds(), step.name)
		if err := step.do(ctx); err != nil {
			s.fail(errors.Wrap(err, step.name))
		}
	}
}
