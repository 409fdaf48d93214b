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

// benchView spreads workers, all at one address, over zones and pools.
func benchView(workers, zones, pools int, address string) *structs.View {
	var names []string
	for z := range zones {
		names = append(names, string(rune('a'+z)))
	}
	v := viewOf(names)
	for i := range workers {
		vm := worker(fmt.Sprintf("w%04d", i), names[i%zones], address)
		vm.Pool = fmt.Sprintf("p%02d", i/zones%pools)
		if vm.Pool == "p00" {
			vm.Pool = "fire"
		}
		v.Pools[vm.Pool] = structs.Pool{Name: vm.Pool}
		v.VMs = append(v.VMs, vm)
	}
	return v
}

// benchSide is one way to reach the backend server.
type benchSide struct {
	url string
	// ids says that requests carry ids of their own, so that each is claimed.
	ids    bool
	client *http.Client
	took   []time.Duration
	allocs uint64
}

func (s *benchSide) run(b *testing.B, n int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range n {
		r, err := http.NewRequest(http.MethodPost, s.url+"/fire", strings.NewReader("body"))
		require.NoError(b, err)
		if s.ids {
			r.Header.Set(HeaderRequestID, uuid.Must(uuid.NewV7()).String())
		}
		began := time.Now()
		resp, err := s.client.Do(r)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		require.NoError(b, resp.Body.Close())
		s.took = append(s.took, time.Since(began))
	}
	runtime.ReadMemStats(&after)
	s.allocs += after.Mallocs - before.Mallocs
}

func (s *benchSide) quantile(q float64) float64 {
	slices.Sort(s.took)
	return float64(s.took[int(q*float64(len(s.took)-1))]) / float64(time.Microsecond)
}

// BenchmarkForward compares requests through the node with direct ones to the
// same backend server on loopback, for fleets of 50 and of 950 workers. The
// sides take turns in short spells, so that a slow moment meets all of them.
func BenchmarkForward(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		_, _ = io.Copy(io.Discard, h.Body)
		w.Header().Set(HeaderRequestID, h.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "answer")
	}))
	defer backend.Close()
	address := backend.Listener.Addr().String()
	direct := &benchSide{url: backend.URL, client: &http.Client{Transport: &http.Transport{}}}
	small := benchNode(b, benchView(50, 4, 5, address))
	large := benchNode(b, benchView(950, 5, 27, address))
	claimed := benchNode(b, benchView(10, 1, 1, address)) // this node is the home of every id
	claimed.ids = true
	sides := []*benchSide{direct, small, large, claimed}
	for _, s := range sides {
		s.run(b, benchWarmUp)
		s.took, s.allocs = nil, 0
	}
	for b.Loop() {
		const spell = 50
		for range benchRequests / spell {
			for _, s := range sides {
				s.run(b, spell)
			}
		}
	}
	overhead := func(s *benchSide, q float64) float64 { return s.quantile(q) - direct.quantile(q) }
	b.ReportMetric(overhead(small, 0.5), "overhead_us_p50")
	b.ReportMetric(overhead(small, 0.99), "overhead_us_p99")
	b.ReportMetric(overhead(large, 0.5)/overhead(small, 0.5), "ratio_950_vs_50")
	b.ReportMetric(direct.quantile(0.5), "direct_us_p50")
	b.ReportMetric(claimed.quantile(0.5)-small.quantile(0.5), "claim_here_us_p50")
	b.ReportMetric((float64(small.allocs)-float64(direct.allocs))/float64(len(small.took)), "allocs_per_op")
}

func benchNode(b *testing.B, view *structs.View) *benchSide {
	fleet := &fakeFleet{}
	fleet.view.Store(view)
	m := member("a")
	s := New(Config{Node: m.Node, Zone: "a", Region: "r", Incarnation: 1, Fleet: fleet, Peers: newFakeNet().join(m)})
	server := httptest.NewServer(s.Handler())
	b.Cleanup(server.Close)
	return &benchSide{url: server.URL, client: &http.Client{Transport: &http.Transport{}}}
}
