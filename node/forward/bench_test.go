package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

const (
	benchRequests = 4000
	benchWarmUp   = 500
)

// benchView distributes workers, all with the same address, over zones and
// pools.
func benchView(workers, zones, pools int, address string) *structs.View {
	var names []string
	for z := range zones {
		names = append(names, string(rune('a'+z)))
	}
	v := newView(names)
	for i := range workers {
		vm := newWorker(fmt.Sprintf("w%04d", i), names[i%zones], address)
		vm.Pool = fmt.Sprintf("p%02d", i/zones%pools)
		if vm.Pool == "p00" {
			vm.Pool = "fire"
		}
		v.Pools[vm.Pool] = structs.Pool{Name: vm.Pool}
		v.VMs = append(v.VMs, vm)
	}
	return v
}

// benchTarget is one way to reach the backend server.
type benchTarget struct {
	url string
	// withIDs is set when requests carry their own IDs, so that each one is
	// claimed.
	withIDs   bool
	client    *http.Client
	latencies []time.Duration
	allocs    uint64
}

func (s *benchTarget) run(b *testing.B, n int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range n {
		r, err := http.NewRequest(http.MethodPost, s.url+"/fire", strings.NewReader("body"))
		require.NoError(b, err)
		if s.withIDs {
			r.Header.Set(HeaderRequestID, uuid.Must(uuid.NewV7()).String())
		}
		began := time.Now()
		resp, err := s.client.Do(r)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		require.NoError(b, resp.Body.Close())
		s.latencies = append(s.latencies, time.Since(began))
	}
	runtime.ReadMemStats(&after)
	s.allocs += after.Mallocs - before.Mallocs
}

func (s *benchTarget) quantile(q float64) float64 {
	slices.Sort(s.latencies)
	return float64(s.latencies[int(q*float64(len(s.latencies)-1))]) / float64(time.Microsecond)
}

// BenchmarkForward compares requests through the node with direct requests to
// the same backend server on loopback, for fleets of 50 and of 950 workers.
// The targets alternate in short batches, so that a temporary slowdown
// affects all of them.
func BenchmarkForward(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		_, _ = io.Copy(io.Discard, h.Body)
		w.Header().Set(HeaderRequestID, h.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "answer")
	}))
	defer backend.Close()
	address := backend.Listener.Addr().String()
	direct := &benchTarget{url: backend.URL, client: &http.Client{Transport: &http.Transport{}}}
	small := benchNode(b, benchView(50, 4, 5, address))
	large := benchNode(b, benchView(950, 5, 27, address))
	claimed := benchNode(b, benchView(10, 1, 1, address)) // this node is the home node of every ID
	claimed.withIDs = true
	targets := []*benchTarget{direct, small, large, claimed}
	for _, s := range targets {
		s.run(b, benchWarmUp)
		s.latencies, s.allocs = nil, 0
	}
	for b.Loop() {
		const batch = 50
		for range benchRequests / batch {
			for _, s := range targets {
				s.run(b, batch)
			}
		}
	}
	overhead := func(s *benchTarget, q float64) float64 { return s.quantile(q) - direct.quantile(q) }
	b.ReportMetric(overhead(small, 0.5), "overhead_us_p50")
	b.ReportMetric(overhead(small, 0.99), "overhead_us_p99")
	b.ReportMetric(overhead(large, 0.5)/overhead(small, 0.5), "ratio_950_vs_50")
	b.ReportMetric(direct.quantile(0.5), "direct_us_p50")
	b.ReportMetric(claimed.quantile(0.5)-small.quantile(0.5), "claim_here_us_p50")
	b.ReportMetric((float64(small.allocs)-float64(direct.allocs))/float64(len(small.latencies)), "allocs_per_op")
}

func benchNode(b *testing.B, view *structs.View) *benchTarget {
	fleet := &fakeFleet{}
	fleet.view.Store(view)
	m := entryMember("a")
	s := New(Config{Node: m.Node, Zone: "a", Region: "r", Incarnation: 1, Fleet: fleet, Peers: newFakeNet().join(m)})
	server := httptest.NewServer(s.Handler())
	b.Cleanup(server.Close)
	return &benchTarget{url: server.URL, client: &http.Client{Transport: &http.Transport{}}}
}
