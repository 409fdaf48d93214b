package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/standin"
)

// Crowds at a node that serves its own interface: requests go on to backend servers, whose
// answers go back.
const (
	// entryMemoryMB is the least memory in which a body of the default length has room.
	entryMemoryMB = 128
	entryService  = "/intake"
	// entryPeerKey is a key of the least length.
	entryPeerKey = "0123456789abcdef"
)

// entryCrowd is a crowd at one node that serves its own interface.
type entryCrowd struct {
	crowd
	ids atomic.Int64
}

// startEntryCrowd starts a node in front of backend servers that answer as given.
func startEntryCrowd(t *testing.T, answer http.HandlerFunc) *entryCrowd {
	t.Helper()
	if os.Getenv(crowdTestVariable) == "" {
		t.Skipf("set %s=1 to run it, with nothing beside it", crowdTestVariable)
	}
	ports, err := freePorts(4)
	require.NoError(t, err)
	dir := logsOf(t)
	n := &Node{name: "entry-1", front: loopback(ports[0]), peer: loopback(ports[1]), operator: loopback(ports[2]), log: filepath.Join(dir, "entry-1.log")}
	platform, zone := startEntryPlatform(t, answer)
	settings, err := json.Marshal(map[string]any{
		"node": n.name, "zone": zone.Name, "region": zone.Region, "caller_address": n.front, "peer_address": n.peer, "admin_address": n.operator,
		"platform_address": platform, "peer_keys": []any{map[string]string{"env": "WIGEONWINCH_PEER_KEY"}}, "read_tokens": []any{map[string]string{"env": "WIGEONWINCH_READ_TOKEN"}},
		"limits": map[string]int{"memory_mb": entryMemoryMB, "descriptors": crowdMaxFDs, "notice_seconds": 1},
	})
	require.NoError(t, err)
	file := filepath.Join(dir, "entry-1.json")
	require.NoError(t, os.WriteFile(file, settings, 0o600))
	n.process = startProgram(t, n.log, "--settings", file)
	c := &entryCrowd{crowd: crowd{Cluster: &Cluster{options: Options{MemoryMB: entryMemoryMB, MaxFDs: crowdMaxFDs}, nodes: []*Node{n}}, target: n}}
	require.Eventually(t, func() bool { return c.ask(5) == http.StatusOK }, readyTimeout, readyInterval, "see %s", n.log)
	c.measure(t)
	return c
}

// startProgram starts the program, which ends with the test.
func startProgram(t *testing.T, log string, arguments ...string) *process {
	t.Helper()
	out, err := os.Create(log)
	require.NoError(t, err)
	cmd := exec.Command(program, arguments...)
	cmd.Env = append(os.Environ(), "WIGEONWINCH_PEER_KEY="+entryPeerKey, "WIGEONWINCH_READ_TOKEN="+operatorToken)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		_ = out.Close()
	})
	return p
}

// startEntryPlatform starts the platform and backend servers of an example, and returns its
// address and its first zone.
func startEntryPlatform(t *testing.T, answer http.HandlerFunc) (address string, zone structs.Zone) {
	t.Helper()
	data, err := os.ReadFile("../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	log, fleet := standin.NewLog(standin.LogOptions{}), standin.NewFleet(standin.FleetOptions{})
	for i := range m.VMs {
		vm := &m.VMs[i]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/healthz" {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
			answer(w, r)
		}))
		t.Cleanup(server.Close)
		vm.Address = strings.TrimPrefix(server.URL, "http://")
		fleet.Add(infra.ListedVM{ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address}, nil)
	}
	record, err := structs.EncodeRecord(structs.Record{Key: "p1", Writer: "pipeline", Publish: &structs.Publish{Changes: manifest.Diff(&structs.View{}, m)}})
	require.NoError(t, err)
	_, err = log.Append(t.Context(), [][]byte{record})
	require.NoError(t, err)
	server := httptest.NewServer(standin.Handler(log, fleet))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), m.Zones[0]
}

// request returns the header of a request of a team with a new ID and a body of n bytes.
func (c *entryCrowd) request(team string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s: crowd-%d\r\nWigeonwinch-Team: %s\r\nWigeonwinch-Repeatable: yes\r\n\r\n",
		entryService, n, standin.HeaderRequestID, c.ids.Add(1), team)
}

// ask sends an ordinary request and returns the status of the answer, or 0 without one.
func (c *entryCrowd) ask(n int) int {
	conn, err := net.Dial("tcp", c.target.front)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(settleTime))
	caller := newCaller(conn, time.Time{})
	if !writeText(conn, c.request("back-office", n)+strings.Repeat("x", n)) {
		return 0
	}
	status, _ := caller.readAnswer()
	return status
}

// check asks an ordinary request and checks what the node has used.
func (c *entryCrowd) check(t *testing.T) {
	t.Helper()
	assert.Eventually(t, func() bool { return c.ask(10) == http.StatusOK }, readyTimeout, readyInterval, "an ordinary request got no answer")
	c.checkUsage(t)
}

// Answers of backend servers that nobody takes. Once they are read the server is free for
// the next one.
func TestCrowdThatTakesNoAnswersOfServers(t *testing.T) {
	long := []byte(strings.Repeat("x", bodyLimit-1))
	c := startEntryCrowd(t, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 1 {
			_, _ = w.Write(long)
		}
	})
	teams := []string{"ward-engineers", "shed-owners", "installers"}
	c.send(t, c.target.front, silentCrowdSize, series(func(s *caller) {
		_ = s.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		writeText(s, c.request(teams[int(c.ids.Load())%len(teams)], 1)+"x")
		time.Sleep(strangerPause)
		s.reconnect()
	}))
	c.check(t)
}

// Whole bodies for servers that take their time. Their clients leave, and the node is as free
// as before.
func TestCrowdAtBusyServers(t *testing.T) {
	const length = 40_000
	body := strings.Repeat("x", length)
	c := startEntryCrowd(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.ContentLength == length {
			select {
			case <-r.Context().Done():
			case <-time.After(8 * time.Second):
			}
		}
	})
	c.send(t, c.target.front, silentCrowdSize, func(conn net.Conn) { writeText(conn, c.request("ward-engineers", length)+body) })
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.check(t)
}
