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

// waitTimeout is the upper limit of every wait in these tests.
const waitTimeout = 60 * time.Second

// testEnv provides the stand-ins for the platform and the backend servers that
// a node under test uses.
type testEnv struct {
	log      *standin.Log
	fleet    *standin.Fleet
	ledger   *standin.Ledger
	manifest *structs.Manifest
	address  string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	e := &testEnv{
		log:      standin.NewLog(standin.LogOptions{}),
		fleet:    standin.NewFleet(standin.FleetOptions{}),
		ledger:   standin.NewLedger(),
		manifest: m,
	}
	e.startBackends(t)
	server := httptest.NewServer(standin.Handler(e.log, e.fleet))
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

func (e *testEnv) startBackends(t *testing.T) {
	for i := range e.manifest.VMs {
		vm := &e.manifest.VMs[i]
		backend, err := standin.StartBackend("127.0.0.1:0", standin.BackendOptions{ID: vm.ID, Slots: vm.Slots, Connections: vm.Connections, Ledger: e.ledger})
		require.NoError(t, err)
		t.Cleanup(backend.Close)
		vm.Address = backend.Address()
		e.fleet.Add(infra.ListedVM{ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address}, backend)
	}
}

// publish appends the manifest to the log directly, as a deployment pipeline may.
func (e *testEnv) publish(t *testing.T) {
	changes := manifest.Diff(&structs.View{}, e.manifest)
	data, err := structs.EncodeRecord(structs.Record{Key: "p1", Writer: "pipeline", Publish: &structs.Publish{Changes: changes}})
	require.NoError(t, err)
	_, err = e.log.Append(t.Context(), [][]byte{data})
	require.NoError(t, err)
}

func (e *testEnv) nodeSettings() *settings.Settings {
	conf := settings.Defaults()
	conf.Node, conf.Zone, conf.Region = "entry-1", e.manifest.Zones[0].Name, e.manifest.Zones[0].Region
	conf.CallerAddress, conf.PeerAddress, conf.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.PlatformAddress = e.address
	conf.Limits.NoticeSeconds = 1
	conf.PeerKeys = []settings.Secret{settings.PlainSecret("0123456789abcdef")}
	conf.ReadTokens = []settings.Secret{settings.PlainSecret("reader")}
	return &conf
}

// startNode runs a node. The returned function stops it gracefully.
func (e *testEnv) startNode(t *testing.T) (*entry.Node, func()) {
	t.Helper()
	node, err := entry.New(entry.Config{Settings: e.nodeSettings(), LogOutput: io.Discard})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	stopped := false
	stopNode := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		require.NoError(t, <-ended)
	}
	t.Cleanup(stopNode)
	return node, stopNode
}

func awaitReady(t *testing.T, node *entry.Node) {
	t.Helper()
	require.Eventually(t, func() bool {
		ready, _ := node.Ready()
		return ready && node.View().Generation > 0
	}, waitTimeout, 10*time.Millisecond)
}

func sendRequest(t *testing.T, node *entry.Node, path, id, runMS string) (*http.Response, string) {
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
func (e *testEnv) localRoute() string {
	for _, service := range e.manifest.Services {
		for _, vm := range e.manifest.VMs {
			if vm.Pool == service.Pool && vm.Zone == e.manifest.Zones[0].Name {
				return service.Routes[0]
			}
		}
	}
	return ""
}

func TestRequestEndToEnd(t *testing.T) {
	e := newTestEnv(t)
	e.publish(t)
	node, _ := e.startNode(t)
	awaitReady(t, node)

	resp, body := sendRequest(t, node, e.localRoute(), "request-1", "1")
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "answered", resp.Header.Get("Wigeonwinch-Outcome"))
	require.Contains(t, body, "id=request-1 ")
	require.Equal(t, 1, e.ledger.Run("request-1").Finished)

	scraped := scrape(t, node)
	for _, in := range telemetry.Instruments() {
		require.Contains(t, scraped, in.Name, "every listed metric is served")
	}
	require.Regexp(t, `wigeonwinch_requests_total\{outcome="answered"\} 1\b`, scraped)

	resp, _ = sendRequest(t, node, "/no/such/route", "request-2", "1")
	require.Equal(t, "not-run", resp.Header.Get("Wigeonwinch-Outcome"))
	require.Zero(t, e.ledger.Run("request-2").Started)
}

// A request that is in progress when the node starts its graceful stop must
// still be answered.
func TestGracefulStopCompletesRequestsInProgress(t *testing.T) {
	e := newTestEnv(t)
	e.publish(t)
	node, stopNode := e.startNode(t)
	awaitReady(t, node)

	answered := make(chan string, 1)
	go func() {
		resp, _ := sendRequest(t, node, e.localRoute(), "slow-1", "1500")
		answered <- resp.Header.Get("Wigeonwinch-Outcome")
	}()
	require.Eventually(t, func() bool { return e.ledger.Run("slow-1").Started == 1 }, waitTimeout, time.Millisecond)
	stopNode()
	require.Equal(t, "answered", <-answered)
	require.Equal(t, 1, e.ledger.Run("slow-1").Finished)
}

// The error for a port that is already in use must name the setting to change.
func TestPortInUseErrorNamesSetting(t *testing.T) {
	e := newTestEnv(t)
	conf := e.nodeSettings()
	conf.PeerAddress = e.address
	_, err := entry.New(entry.Config{Settings: conf, LogOutput: io.Discard})
	require.ErrorContains(t, err, "peer_address")
	require.ErrorContains(t, err, "port that is free")
}
