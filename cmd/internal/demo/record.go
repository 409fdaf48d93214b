package demo

import (
	"context"
	"sort"
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/pause"
	"wigeonwinch/node/timeline"
)

// sampleInterval is the time between two samples of the site.
const sampleInterval = 250 * time.Millisecond

// Result holds the totals of a demo, which the command line prints as its last
// line. The senders and the backend stand-ins count them, independently of the
// nodes.
type Result struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Lost counts the calls without a complete answer or with an unknown
	// outcome value.
	Lost int `json:"lost"`
	// Doubled counts the non-repeatable requests that ran more than once.
	Doubled int `json:"doubled"`
	// Crossed counts the calls that received the answer to another request.
	Crossed int `json:"crossed"`
	// Cut counts the runs that a reboot of a backend interrupted.
	Cut int `json:"cut"`
	// Violations counts the invariant violations found by the nodes' own checks,
	// plus FalseOutcomes.
	Violations int `json:"violations"`
	// FalseOutcomes counts the calls whose reported outcome contradicts the
	// backends: answered but never run, or not run but run.
	FalseOutcomes         int     `json:"false_words"`
	ConfigInForceMS       float64 `json:"config_in_force_ms"`
	WaveVMsDone           int     `json:"wave_vms_done"`
	WaveVMs               int     `json:"wave_vms"`
	ShortWaitP99MS        float64 `json:"short_wait_p99_ms"`
	LongWaitP99MS         float64 `json:"long_wait_p99_ms"`
	UrgentWaitP99MS       float64 `json:"urgent_wait_p99_ms"`
	LeastAvailablePercent float64 `json:"least_available_percent"`
	Errors                int     `json:"errors"`
}

// Clean reports whether the run saw no errors and no violated guarantee.
func (r Result) Clean() bool {
	return r.Lost+r.Doubled+r.Crossed+r.Cut+r.Violations+r.Errors == 0
}

// PoolSample is the state of one pool at one point in time.
type PoolSample struct {
	Pool      string `json:"pool"`
	Busy      int    `json:"busy"`
	Available int    `json:"available"`
	// MinAvailable is the largest MinAvailable of the budgets of the pool's services:
	// the least number of workers that must stay available.
	MinAvailable int `json:"bound"`
}

// Sample is the state of the site at one point in time.
type Sample struct {
	AtMS      int64        `json:"at_ms"`
	Pools     []PoolSample `json:"pools"`
	WaveDone  int          `json:"wave_done"`
	WaveTotal int          `json:"wave_all"`
}

// Recording is the data of a demo run from which a report is made.
type Recording struct {
	Result   Result           `json:"result"`
	Samples  []Sample         `json:"samples"`
	Waits    []WaitSample     `json:"waits"`
	Timeline []timeline.Entry `json:"timeline"`
	Errors   []string         `json:"errors,omitempty"`
	// Reasons counts the calls that were not answered and for which the node gave
	// a reason, by outcome and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// sampler samples the state of a site while the load runs.
type sampler struct {
	site      *site
	load      *load
	startTime time.Time

	mu      sync.Mutex
	samples []Sample
}

func newSampler(s *site, l *load) *sampler {
	return &sampler{site: s, load: l, startTime: time.Now()}
}

func (s *sampler) run(ctx context.Context) {
	for pause.For(ctx, sampleInterval) {
		s.takeSample()
	}
}

func (s *sampler) takeSample() {
	view := s.latestView()
	if view == nil {
		return
	}
	sample := Sample{AtMS: time.Since(s.startTime).Milliseconds()}
	for _, name := range sortedPools(view) {
		sample.Pools = append(sample.Pools, s.samplePool(view, name))
	}
	sample.WaveDone, sample.WaveTotal = waveProgress(view, s.site.waveName)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

// latestView returns the view with the highest offset of all running nodes, or
// nil if no node has a view.
func (s *sampler) latestView() *structs.View {
	var latest *structs.View
	for _, n := range s.site.liveNodes() {
		view := n.node.View()
		if view != nil && (latest == nil || view.Offset > latest.Offset) {
			latest = view
		}
	}
	return latest
}

func sortedPools(view *structs.View) []string {
	var names []string
	for name := range view.Pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *sampler) samplePool(view *structs.View, name string) PoolSample {
	p := PoolSample{Pool: name}
	for _, vm := range view.VMs {
		if vm.Pool != name {
			continue
		}
		if vm.State.Available() {
			p.Available++
		}
		if backend, ok := s.site.backends[vm.ID]; ok {
			p.Busy += backend.Busy()
		}
	}
	for _, service := range view.Services {
		if service.Pool == name {
			p.MinAvailable = max(p.MinAvailable, service.Budget.MinAvailable)
		}
	}
	return p
}

// waveProgress returns how many VMs of the wave's first pool are active on the
// wave's image, and how many VMs that pool has. A wave that names no pool covers
// all VMs.
func waveProgress(view *structs.View, name string) (done, all int) {
	wave, ok := view.Waves[name]
	if !ok {
		return 0, 0
	}
	for _, vm := range view.VMs {
		if len(wave.Pools) > 0 && vm.Pool != wave.Pools[0] {
			continue
		}
		all++
		if vm.Image == wave.Image && vm.State == structs.VMActive {
			done++
		}
	}
	return done, all
}

// finish takes a last sample and returns the recording.
func (s *sampler) finish() *Recording {
	s.takeSample()
	site, tally := s.site, s.load.tally
	rec := &Recording{Samples: s.samples, Waits: tally.waits, Timeline: site.timeline(), Reasons: tally.reasons}
	r := tally.counts
	r.Doubled = tally.countDoubled(site.ledger)
	r.FalseOutcomes += tally.countRanDespiteNotRun(site.ledger)
	r.Cut = site.ledger.Interruptions()
	r.Violations = int(site.violations()) + r.FalseOutcomes
	r.ConfigInForceMS = site.slowestInForceMS()
	r.ShortWaitP99MS = p99MS(tally.shortWaits)
	r.LongWaitP99MS = p99MS(tally.longWaits)
	r.UrgentWaitP99MS = p99MS(tally.urgentWaits)
	if last := len(s.samples); last > 0 {
		r.WaveVMsDone, r.WaveVMs = s.samples[last-1].WaveDone, s.samples[last-1].WaveTotal
	}
	r.LeastAvailablePercent = leastAvailablePercent(s.samples)
	for _, err := range site.errs {
		rec.Errors = append(rec.Errors, err.Error())
	}
	r.Errors = len(rec.Errors)
	rec.Result = r
	return rec
}

// leastAvailablePercent returns the lowest ratio of available workers to
// MinAvailable that any pool had, in percent. Below 100 a budget was violated.
func leastAvailablePercent(samples []Sample) float64 {
	least := 1000.0
	for _, sample := range samples {
		for _, p := range sample.Pools {
			if p.MinAvailable > 0 {
				least = min(least, 100*float64(p.Available)/float64(p.MinAvailable))
			}
		}
	}
	return least
}

// timeline returns the merged timelines of all running nodes.
func (s *site) timeline() []timeline.Entry {
	var parts [][]timeline.Entry
	for _, n := range s.liveNodes() {
		parts = append(parts, n.node.Timeline(timeline.Filter{}))
	}
	return timeline.Merge(parts...)
}

// violations returns the number of invariant violations of all nodes, including
// the retired ones.
func (s *site) violations() int64 {
	total := s.retiredViolations
	for _, n := range s.liveNodes() {
		total += n.node.Violations()
	}
	return total
}

func (s *site) slowestInForceMS() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowest := time.Duration(0)
	for _, d := range s.inForceTimes {
		slowest = max(slowest, d)
	}
	return float64(slowest.Microseconds()) / 1000
}
