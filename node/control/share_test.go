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

// resourceUsage is what the control loops of a fleet used in one run.
type resourceUsage struct {
	// coreFraction is the CPU time per node divided by the elapsed time, as a
	// mean over the nodes. It includes the platform's stand-in and the
	// workers' answers to probes.
	coreFraction float64
	// stateMB is the mean memory per node.
	stateMB float64
	// meanBytes and maxBytes are bytes per second, sent and received, between
	// a node and its peers, the platform and workers. The planner has the
	// highest rate.
	meanBytes float64
	maxBytes  float64
	// maxWrites is the highest number of writes to connections per second of a
	// node. Each write is at least one packet, whose headers are not counted
	// in the bytes.
	maxWrites float64
	// snapshotKB is the size of the encoded state.
	snapshotKB float64
}

// usageRunSize is the size of one run.
type usageRunSize struct {
	fleet         fleetSize
	nodes         int
	changesPerDay int
	measuredTime  time.Duration
}

// Addresses of the platform and of the workers.
const (
	platformAddress = "10.9.0.1:9000"
	workersAddress  = "10.9.0.2:9000"
)

// designSize is the fleet size that the control loop is designed for.
func designSize() usageRunSize {
	return usageRunSize{
		fleet:         fleetSize{zones: 10, workers: 950, pools: 27, teams: 250},
		nodes:         30,
		changesPerDay: 1100,
		measuredTime:  10 * time.Minute,
	}
}

func BenchmarkControlNode(b *testing.B) {
	for range b.N {
		full := measureUsage(b, designSize())
		b.ReportMetric(full.coreFraction, "core_fraction")
		b.ReportMetric(full.stateMB, "state_MB")
		b.ReportMetric(full.maxBytes, "bytes_per_s")
		b.ReportMetric(full.meanBytes, "mean_bytes_per_s")
		b.ReportMetric(full.maxWrites, "writes_per_s")
		b.ReportMetric(full.snapshotKB, "snapshot_KB")
		workers, teams, nodes, changes := designSize(), designSize(), designSize(), designSize()
		workers.fleet.workers /= 2
		teams.fleet.teams /= 2
		nodes.nodes /= 3
		changes.changesPerDay *= 8
		reportSlope(b, "worker", full, measureUsage(b, workers), float64(designSize().fleet.workers/2))
		reportSlope(b, "team", full, measureUsage(b, teams), float64(designSize().fleet.teams/2))
		reportSlope(b, "node", full, measureUsage(b, nodes), float64(designSize().nodes-designSize().nodes/3))
		reportSlope(b, "change_a_day", full, measureUsage(b, changes), float64(-7*designSize().changesPerDay))
	}
}

// reportSlope reports what each additional unit of a kind costs a node.
func reportSlope(b *testing.B, name string, full, other resourceUsage, difference float64) {
	b.ReportMetric((full.coreFraction-other.coreFraction)/difference, "core_fraction/"+name)
	b.ReportMetric((full.stateMB-other.stateMB)*1024/difference, "state_KB/"+name)
	b.ReportMetric((full.maxBytes-other.maxBytes)/difference, "bytes_per_s/"+name)
}

func measureUsage(b *testing.B, size usageRunSize) resourceUsage {
	var measured resourceUsage
	runInVirtualTime(b, func(t *testing.T) { measured = runUsage(t, size) })
	return measured
}

func runUsage(t *testing.T, size usageRunSize) resourceUsage {
	c := newCluster(t, standin.LogOptions{Retain: 20000}, usageRunNodes(size)...)
	defer c.stopAndCheck()
	stopServers := servePlatformAndWorkers(c)
	defer stopServers()
	memoryBefore := heapMB()
	for _, p := range c.specs {
		startUsageNode(c, p)
	}
	time.Sleep(5 * time.Second)
	n := c.node(1)
	publishFleet(t, n, size.fleet)
	for _, vm := range n.View().VMs {
		c.fleet.Add(infra.ListedVM{ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Boot: 1, Image: "image-1"}, fakeMachine{})
	}
	publishWave(t, n)
	time.Sleep(2 * time.Minute)
	before := trafficByHost(c)
	cpuBefore := cpuTime()
	began := time.Now()
	publishChangesAtDailyRate(c, size)
	elapsed := time.Since(began).Seconds()
	result := resourceUsage{
		coreFraction: (cpuTime() - cpuBefore).Seconds() / elapsed / float64(size.nodes),
		stateMB:      (heapMB() - memoryBefore) / float64(size.nodes),
	}
	result.addTraffic(before, trafficByHost(c), elapsed)
	for _, part := range snapshotParts(n) {
		result.snapshotKB += float64(len(part.Snapshot.Data)) / 1024
	}
	return result
}

func usageRunNodes(size usageRunSize) []nodeSpec {
	var specs []nodeSpec
	for i := range size.nodes {
		specs = append(specs, newNodeSpec(i+1, zoneName(i%size.fleet.zones)))
	}
	return specs
}

// publishWave publishes a wave over one pool, so that maintenance is in
// progress while measuring.
func publishWave(t *testing.T, n *testNode) {
	wave := structs.Wave{Name: "wave", Image: "image-2", Pools: []string{"pool-01"}}
	publishChanges(t, n, []structs.Change{{Kind: structs.ItemWave, Name: wave.Name, Wave: &wave}})
}

// publishChangesAtDailyRate publishes changes at the rate of changesPerDay.
func publishChangesAtDailyRate(c *cluster, size usageRunSize) {
	gap := 24 * time.Hour / time.Duration(size.changesPerDay)
	end := time.Now().Add(size.measuredTime)
	for i := 0; time.Now().Before(end); i++ {
		n := c.node(1 + i%size.nodes)
		verdict, err := n.appendWithin(10*time.Second, teamWeight(n.View(), "team-000", 1+i%90))
		require.NoError(c.t, err)
		require.Equal(c.t, structs.VoidNone, verdict.Void, verdict.Detail)
		time.Sleep(gap)
	}
}

func startUsageNode(c *cluster, p nodeSpec) {
	dial := c.network.Dialer(p.host)
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
	platformClient, err := client.New(platformAddress, client.Options{Transport: transport})
	require.NoError(c.t, err)
	prober := &httpProber{client: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dial(ctx, network, workersAddress)
		},
	}}}
	c.start(p, 1, func(cfg *Config) {
		cfg.Log = platformClient
		cfg.VMList = platformClient
		cfg.Workers = platformClient
		cfg.Prober = prober
		cfg.Intervals.LeaseTTL = 20 * time.Second
	})
	c.closers = append(c.closers, transport.CloseIdleConnections)
}

// httpProber probes workers over HTTP.
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

// servePlatformAndWorkers starts the platform's stand-in and the workers' HTTP
// server on the network.
func servePlatformAndWorkers(c *cluster) (stop func()) {
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

// hostTraffic is the traffic of one host so far.
type hostTraffic struct{ bytes, writes uint64 }

func trafficByHost(c *cluster) map[string]hostTraffic {
	traffic := make(map[string]hostTraffic)
	for _, p := range c.specs {
		traffic[p.host] = hostTraffic{bytes: c.network.Bytes(p.host), writes: c.network.Writes(p.host)}
	}
	return traffic
}

func (s *resourceUsage) addTraffic(before, after map[string]hostTraffic, seconds float64) {
	for host, now := range after {
		rate := float64(now.bytes-before[host].bytes) / seconds
		s.maxBytes = max(s.maxBytes, rate)
		s.meanBytes += rate / float64(len(after))
		s.maxWrites = max(s.maxWrites, float64(now.writes-before[host].writes)/seconds)
	}
}

func snapshotParts(n *testNode) []structs.Record {
	var parts []structs.Record
	n.postAndWait(context.Background(), func() { parts, _ = n.state.SnapshotRecords(fmt.Sprint("size", n.state.Next()), "size") })
	return parts
}

// heapMB returns the heap memory in use after a garbage collection, in MB.
func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// cpuTime returns the CPU time of this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
