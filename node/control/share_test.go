package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/client"
	"wigeonwinch/infra/standin"
)

// share is what one run of the control part of a fleet used.
type share struct {
	// coreFraction is processor time over time, for one node on average. The
	// platform's stand-in and the workers' answers to probes are included.
	coreFraction float64
	// stateMB is the memory that one node holds, on average.
	stateMB float64
	// meanBytes and maxBytes are bytes per second on a node's links, sent and
	// received, to peers, platform and workers. The planner has the most.
	meanBytes float64
	maxBytes  float64
	// maxWrites is the most writes to connections that a node made a second;
	// each is at least one packet with headers that bytes leave out.
	maxWrites float64
	// snapshotKB is the size of the encoded state.
	snapshotKB float64
}

// shareSize is the size of one run.
type shareSize struct {
	fleet        fleetSize
	nodes        int
	changesADay  int
	measuredTime time.Duration
}

// The platform's and the workers' hosts.
const (
	platformAddress = "10.9.0.1:9000"
	workersAddress  = "10.9.0.2:9000"
)

// planSize is the size to design for.
func planSize() shareSize {
	return shareSize{
		fleet:        fleetSize{zones: 10, workers: 950, pools: 27, teams: 250},
		nodes:        30,
		changesADay:  1100,
		measuredTime: 10 * time.Minute,
	}
}

func BenchmarkControlNode(b *testing.B) {
	for range b.N {
		full := measureShare(b, planSize())
		b.ReportMetric(full.coreFraction, "core_fraction")
		b.ReportMetric(full.stateMB, "state_MB")
		b.ReportMetric(full.maxBytes, "bytes_per_s")
		b.ReportMetric(full.meanBytes, "mean_bytes_per_s")
		b.ReportMetric(full.maxWrites, "writes_per_s")
		b.ReportMetric(full.snapshotKB, "snapshot_KB")
		workers, teams, nodes, changes := planSize(), planSize(), planSize(), planSize()
		workers.fleet.workers /= 2
		teams.fleet.teams /= 2
		nodes.nodes /= 3
		changes.changesADay *= 8
		reportSlope(b, "worker", full, measureShare(b, workers), float64(planSize().fleet.workers/2))
		reportSlope(b, "team", full, measureShare(b, teams), float64(planSize().fleet.teams/2))
		reportSlope(b, "node", full, measureShare(b, nodes), float64(planSize().nodes-planSize().nodes/3))
		reportSlope(b, "change_a_day", full, measureShare(b, changes), float64(-7*planSize().changesADay))
	}
}

// reportSlope reports what one more of a thing costs a node.
func reportSlope(b *testing.B, name string, full, other share, difference float64) {
	b.ReportMetric((full.coreFraction-other.coreFraction)/difference, "core_fraction/"+name)
	b.ReportMetric((full.stateMB-other.stateMB)*1024/difference, "state_KB/"+name)
	b.ReportMetric((full.maxBytes-other.maxBytes)/difference, "bytes_per_s/"+name)
}

func measureShare(b *testing.B, size shareSize) share {
	var measured share
	inBubble(b, func(t *testing.T) { measured = runShare(t, size) })
	return measured
}

func runShare(t *testing.T, size shareSize) share {
	c := newCluster(t, standin.LogOptions{Retain: 20000}, sharePlaces(size)...)
	defer c.finish()
	stopServers := serveOutside(c)
	defer stopServers()
	memoryBefore := heapMB()
	for _, p := range c.places {
		startShareNode(c, p)
	}
	time.Sleep(5 * time.Second)
	n := c.node(1)
	publishFleet(t, n, size.fleet)
	for _, vm := range n.View().VMs {
		c.fleet.Add(infra.ListedVM{ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Boot: 1, Image: "image-1"}, fakeMachine{})
	}
	publishWave(t, n)
	time.Sleep(2 * time.Minute)
	before := trafficOf(c)
	cpuBefore := processorTime()
	began := time.Now()
	changeRegularly(c, size)
	took := time.Since(began).Seconds()
	result := share{
		coreFraction: (processorTime() - cpuBefore).Seconds() / took / float64(size.nodes),
		stateMB:      (heapMB() - memoryBefore) / float64(size.nodes),
	}
	result.addTraffic(before, trafficOf(c), took)
	for _, part := range snapshotOf(n) {
		result.snapshotKB += float64(len(part.Snapshot.Data)) / 1024
	}
	return result
}

func sharePlaces(size shareSize) []place {
	var places []place
	for i := range size.nodes {
		places = append(places, at(i+1, zoneName(i%size.fleet.zones)))
	}
	return places
}

// publishWave publishes a wave over two pools, so that its part of a day's
// maintenance runs while measuring.
func publishWave(t *testing.T, n *testNode) {
	wave := structs.Wave{Name: "wave", Image: "image-2", Pools: []string{"pool-01"}}
	publishChanges(t, n, []structs.Change{{Kind: structs.ItemWave, Name: wave.Name, Wave: &wave}})
}

// changeRegularly publishes changes at the day's rate.
func changeRegularly(c *cluster, size shareSize) {
	gap := 24 * time.Hour / time.Duration(size.changesADay)
	end := time.Now().Add(size.measuredTime)
	for i := 0; time.Now().Before(end); i++ {
		n := c.node(1 + i%size.nodes)
		verdict, err := n.appendFor(10*time.Second, teamWeight(n.View(), "team-000", 1+i%90))
		require.NoError(c.t, err)
		require.Equal(c.t, structs.VoidNone, verdict.Void, verdict.Detail)
		time.Sleep(gap)
	}
}

func startShareNode(c *cluster, p place) {
	dial := c.network.Dialer(p.host)
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
	reach, err := client.New(platformAddress, client.Options{Transport: transport})
	require.NoError(c.t, err)
	prober := &httpProber{client: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dial(ctx, network, workersAddress)
		},
	}}}
	c.start(p, 1, func(cfg *Config) {
		cfg.Log = reach
		cfg.VMs = reach
		cfg.Workers = reach
		cfg.Probe = prober
		cfg.Intervals.LeaseTTL = 20 * time.Second
	})
	c.closers = append(c.closers, transport.CloseIdleConnections)
}

// httpProber asks a worker over HTTP.
type httpProber struct{ client *http.Client }

func (p *httpProber) Probe(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("worker answered %d", resp.StatusCode)
	}
	return nil
}

// serveOutside starts the platform and the workers on the network.
func serveOutside(c *cluster) (stop func()) {
	platformServer := &http.Server{Handler: standin.Handler(c.log, c.fleet)}
	workers := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})}
	for address, server := range map[string]*http.Server{platformAddress: platformServer, workersAddress: workers} {
		listener := c.network.Listen(address)
		go func() { _ = server.Serve(listener) }()
	}
	return func() {
		_ = platformServer.Close()
		_ = workers.Close()
	}
}

// hostTraffic is what one host has moved.
type hostTraffic struct{ bytes, writes uint64 }

func trafficOf(c *cluster) map[string]hostTraffic {
	traffic := make(map[string]hostTraffic)
	for _, p := range c.places {
		traffic[p.host] = hostTraffic{bytes: c.network.Bytes(p.host), writes: c.network.Writes(p.host)}
	}
	return traffic
}

func (s *share) addTraffic(before, after map[string]hostTraffic, seconds float64) {
	for host, now := range after {
		rate := float64(now.bytes-before[host].bytes) / seconds
		s.maxBytes = max(s.maxBytes, rate)
		s.meanBytes += rate / float64(len(after))
		s.maxWrites = max(s.maxWrites, float64(now.writes-before[host].writes)/seconds)
	}
}

func snapshotOf(n *testNode) []structs.Record {
	var parts []structs.Record
	n.ask(context.Background(), func() { parts, _ = n.fold.SnapshotRecords(fmt.Sprint("size", n.fold.Next()), "size") })
	return parts
}

// heapMB is the memory in use after a collection, in MB.
func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// processorTime is the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
