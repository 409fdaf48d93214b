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

// sampleEvery is the span between two samples of the site.
const sampleEvery = 250 * time.Millisecond

// Result is the last line of a demo, counted by the senders and the backend
// stand-ins.
type Result struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Lost counts the calls without a truthful end.
	Lost int `json:"lost"`
	// Doubled counts the not repeatable requests that ran more than once.
	Doubled int `json:"doubled"`
	// Crossed counts the calls that got another request's answer.
	Crossed int `json:"crossed"`
	// Cut counts the runs that a planned stop ended early.
	Cut int `json:"cut"`
	// Violations counts broken invariants, by the nodes' own checks and by
	// the comparison of their words with the backends'.
	Violations       int     `json:"violations"`
	FalseWords       int     `json:"false_words"`
	ConfigInForceMS  float64 `json:"config_in_force_ms"`
	WaveVMsDone      int     `json:"wave_vms_done"`
	WaveVMs          int     `json:"wave_vms"`
	ShortWaitP99MS   float64 `json:"short_wait_p99_ms"`
	LongWaitP99MS    float64 `json:"long_wait_p99_ms"`
	UrgentWaitP99MS  float64 `json:"urgent_wait_p99_ms"`
	LeastAvailablePc float64 `json:"least_available_percent"`
	Errors           int     `json:"errors"`
}

// Clean says whether everything that must hold held.
func (r Result) Clean() bool {
	return r.Lost+r.Doubled+r.Crossed+r.Cut+r.Violations+r.Errors == 0
}

// PoolSample is one pool at one time.
type PoolSample struct {
	Pool      string `json:"pool"`
	Busy      int    `json:"busy"`
	Available int    `json:"available"`
	// Bound is the least number of workers its budgets allow.
	Bound int `json:"bound"`
}

// Sample is the site at one time.
type Sample struct {
	AtMS     int64        `json:"at_ms"`
	Pools    []PoolSample `json:"pools"`
	WaveDone int          `json:"wave_done"`
	WaveAll  int          `json:"wave_all"`
}

// Recording is what a demo leaves for a report.
type Recording struct {
	Result   Result           `json:"result"`
	Samples  []Sample         `json:"samples"`
	Waits    []WaitSample     `json:"waits"`
	Timeline []timeline.Entry `json:"timeline"`
	Errors   []string         `json:"errors,omitempty"`
	// Reasons counts the ends other than answered by outcome and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// sampler watches a site while the load runs.
type sampler struct {
	site  *site
	load  *load
	began time.Time

	mu      sync.Mutex
	samples []Sample
}

func newSampler(s *site, l *load) *sampler {
	return &sampler{site: s, load: l, began: time.Now()}
}

func (s *sampler) run(ctx context.Context) {
	for pause.For(ctx, sampleEvery) {
		s.take()
	}
}

func (s *sampler) take() {
	view := s.latestView()
	if view == nil {
		return
	}
	sample := Sample{AtMS: time.Since(s.began).Milliseconds()}
	for _, name := range sortedPools(view) {
		sample.Pools = append(sample.Pools, s.pool(view, name))
	}
	sample.WaveDone, sample.WaveAll = waveProgress(view, s.site.waveName)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

func (s *sampler) latestView() *structs.View {
	var latest *structs.View
	for _, n := range s.site.live() {
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

func (s *sampler) pool(view *structs.View, name string) PoolSample {
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
			p.Bound = max(p.Bound, service.Budget.MinAvailable)
		}
	}
	return p
}

// waveProgress counts the VMs of a wave that are active on its image.
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

// finish makes the recording.
func (s *sampler) finish() *Recording {
	s.take()
	site, tally := s.site, s.load.tally
	rec := &Recording{Samples: s.samples, Waits: tally.waits, Timeline: site.timeline(), Reasons: tally.reasons}
	r := tally.counts
	r.Doubled = tally.doubled(site.ledger)
	r.FalseWords += tally.ranAfterAll(site.ledger)
	r.Cut = site.ledger.Interruptions()
	r.Violations = int(site.violations()) + r.FalseWords
	r.ConfigInForceMS = site.slowestInForceMS()
	r.ShortWaitP99MS = p99MS(tally.short)
	r.LongWaitP99MS = p99MS(tally.long)
	r.UrgentWaitP99MS = p99MS(tally.urgent)
	if last := len(s.samples); last > 0 {
		r.WaveVMsDone, r.WaveVMs = s.samples[last-1].WaveDone, s.samples[last-1].WaveAll
	}
	r.LeastAvailablePc = leastAvailable(s.samples)
	for _, err := range site.failures {
		rec.Errors = append(rec.Errors, err.Error())
	}
	r.Errors = len(rec.Errors)
	rec.Result = r
	return rec
}

// leastAvailable returns the least share of its budget's bound that any pool
// had available, in percent; below 100 a budget was broken.
func leastAvailable(samples []Sample) float64 {
	least := 1000.0
	for _, sample := range samples {
		for _, p := range sample.Pools {
			if p.Bound > 0 {
				least = min(least, 100*float64(p.Available)/float64(p.Bound))
			}
		}
	}
	return least
}

func (s *site) timeline() []timeline.Entry {
	var parts [][]timeline.Entry
	for _, n := range s.live() {
		parts = append(parts, n.node.Timeline(timeline.Filter{}))
	}
	return timeline.Merge(parts...)
}

func (s *site) violations() int64 {
	total := s.retired
	for _, n := range s.live() {
		total += n.node.Violations()
	}
	return total
}

func (s *site) slowestInForceMS() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowest := time.Duration(0)
	for _, d := range s.inForce {
		slowest = max(slowest, d)
	}
	return float64(slowest.Microseconds()) / 1000
}
