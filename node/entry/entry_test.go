package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/standin"
	"wigeonwinch/node/entry"
	"wigeonwinch/node/settings"
	"wigeonwinch/node/telemetry"
)

// patience bounds every wait; it is no measure of anything.
const patience = 60 * time.Second

// world is one node with its stand-ins.
type world struct {
	log      *standin.Log
	fleet    *standin.Fleet
	ledger   *standin.Ledger
	manifest *structs.Manifest
	address  string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	w := &world{
		log:      standin.NewLog(standin.LogOptions{}),
		fleet:    standin.NewFleet(standin.FleetOptions{}),
		ledger:   standin.NewLedger(),
		manifest: m,
	}
	w.startBackends(t)
	server := httptest.NewServer(standin.Handler(w.log, w.fleet))
	t.Cleanup(server.Close)
	w.address = strings.TrimPrefix(server.URL, "http://")
	return w
}

func (w *world) startBackends(t *testing.T) {
	for i := range w.manifest.VMs {
		vm := &w.manifest.VMs[i]
		backend, err := standin.StartBackend("127.0.0.1:0", standin.BackendOptions{ID: vm.ID, Slots: vm.Slots, Connections: vm.Connections, Ledger: w.ledger})
		require.NoError(t, err)
		t.Cleanup(backend.Close)
		vm.Address = backend.Address()
		w.fleet.Add(infra.ListedVM{ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address}, backend)
	}
}

// publish puts the manifest into the log directly, as a pipeline may.
func (w *world) publish(t *testing.T) {
	changes := manifest.Diff(&structs.View{}, w.manifest)
	data, err := structs.EncodeRecord(structs.Record{Key: "p1", Writer: "pipeline", Publish: &structs.Publish{Changes: changes}})
	require.NoError(t, err)
	_, err = w.log.Append(t.Context(), [][]byte{data})
	require.NoError(t, err)
}

func (w *world) nodeSettings() *settings.Settings {
	conf := settings.Defaults()
	conf.Node, conf.Zone, conf.Region = "entry-1", w.manifest.Zones[0].Name, w.manifest.Zones[0].Region
	conf.CallerAddress, conf.PeerAddress, conf.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.PlatformAddress = w.address
	conf.Limits.NoticeSeconds = 1
	conf.PeerKeys = []settings.Secret{settings.Plain("0123456789abcdef")}
	conf.ReadTokens = []settings.Secret{settings.Plain("reader")}
	return &conf
}

// startNode runs a node until the returned function stops it gracefully.
func (w *world) startNode(t *testing.T) (*entry.Node, func()) {
	t.Helper()
	node, err := entry.New(entry.Config{Settings: w.nodeSettings(), LogOutput: io.Discard})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	stopped := false
	halt := func() {
		if stopped {
			return
		}
		stopped = true
		stop()
		require.NoError(t, <-ended)
	}
	t.Cleanup(halt)
	return node, halt
}

func awaitReady(t *testing.T, node *entry.Node) {
	t.Helper()
	require.Eventually(t, func() bool {
		ready, _ := node.Ready()
		return ready && node.View().Generation > 0
	}, patience, 10*time.Millisecond)
}

func ask(t *testing.T, node *entry.Node, path, id, runMS string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.CallerAddress()+path, bytes.NewReader([]byte("drawing")))
	require.NoError(t, err)
	req.Header.Set("Wigeonwinch-Request-Id", id)
	req.Header.Set("Wigeonwinch-Team", "installers")
	req.Header.Set("Wigeonwinch-Repeatable", "yes")
	req.Header.Set(standin.HeaderRunMS, runMS)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func scrape(t *testing.T, node *entry.Node) string {
	t.Helper()
	resp, err := http.Get("http://" + node.AdminAddress() + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

// localRoute returns a route whose pool has workers in the node's zone.
func (w *world) localRoute() string {
	for _, service := range w.manifest.Services {
		for _, vm := range w.manifest.VMs {
			if vm.Pool == service.Pool && vm.Zone == w.manifest.Zones[0].Name {
				return service.Routes[0]
			}
		}
	}
	return ""
}

func TestARequestGoesFromEndToEnd(t *testing.T) {
	w := newWorld(t)
	w.publish(t)
	node, _ := w.startNode(t)
	awaitReady(t, node)

	resp, body := ask(t, node, w.localRoute(), "request-1", "1")
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "answered", resp.Header.Get("Wigeonwinch-Outcome"))
	require.Contains(t, body, "id=request-1 ")
	require.Equal(t, 1, w.ledger.Of("request-1").Finished)

	scraped := scrape(t, node)
	for _, in := range telemetry.Instruments() {
		require.Contains(t, scraped, in.Name, "each metric of the list is served")
	}
	require.Regexp(t, `wigeonwinch_requests_total\{outcome="answered"\} 1\b`, scraped)

	resp, _ = ask(t, node, "/no/such/route", "request-2", "1")
	require.Equal(t, "not-run", resp.Header.Get("Wigeonwinch-Outcome"))
	require.Zero(t, w.ledger.Of("request-2").Started)
}

func TestAGracefulStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	w.publish(t)
	node, halt := w.startNode(t)
	awaitReady(t, node)

	answered := make(chan string, 1)
	go func() {
		resp, _ := ask(t, node, w.localRoute(), "slow-1", "1500")
		answered <- resp.Header.Get("Wigeonwinch-Outcome")
	}()
	require.Eventually(t, func() bool { return w.ledger.Of("slow-1").Started == 1 }, patience, time.Millisecond)
	halt()
	require.Equal(t, "answered", <-answered)
	require.Equal(t, 1, w.ledger.Of("slow-1").Finished)
}

func TestABusyPortIsNamedWithItsKey(t *testing.T) {
	w := newWorld(t)
	conf := w.nodeSettings()
	conf.PeerAddress = w.address
	_, err := entry.New(entry.Config{Settings: conf, LogOutput: io.Discard})
	require.ErrorContains(t, err, "peer_address")
	require.ErrorContains(t, err, "port that is free")
}
