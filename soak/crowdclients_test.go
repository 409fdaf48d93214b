package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Limits in the settings of the node that a crowd calls. The memory of the process with
// the unread bytes of its sockets, and its open descriptors, must stay within them.
const (
	crowdMemoryMB = 96
	crowdMaxFDs   = 600
)

// crowdTestVariable switches the tests of crowds on. Each needs the machine to itself, so
// that CI runs them apart from the others.
const crowdTestVariable = "SOAK_CROWDS"

// crowd is a number of clients that keep their connections open, and the nodes that they
// call.
type crowd struct {
	*Cluster
	// target is the first node.
	target *Node
	usages []*usage
	conns  []net.Conn
	// disturbances go on beside the crowd.
	disturbances sync.WaitGroup
	stop         func()
}

// startCrowdCluster starts one node with low limits and measures what it uses.
func startCrowdCluster(t *testing.T) *crowd { return startCrowdNodes(t, 1) }

// startCrowdNodes starts nodes with low limits and measures what they use.
func startCrowdNodes(t *testing.T, nodes int) *crowd {
	t.Helper()
	return startCrowdVMs(t, nodes, crowdMemoryMB, crowdMaxFDs)
}

// startCrowdVMs is startCrowdNodes with other limits.
func startCrowdVMs(t *testing.T, nodes, memoryMB, maxFDs int) *crowd {
	t.Helper()
	if os.Getenv(crowdTestVariable) == "" {
		t.Skipf("set %s=1 to run it, with nothing beside it", crowdTestVariable)
	}
	t.Setenv("WIGEONWINCH_OPERATOR_TOKEN", operatorToken)
	c, err := StartCluster(Options{Program: program, Dir: logsOf(t), Seed: 1, Nodes: nodes, Workers: 2, MemoryMB: memoryMB, MaxFDs: maxFDs})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	cr := &crowd{Cluster: c, target: c.nodes[0]}
	cr.measure(t)
	return cr
}

// measure measures what the nodes use until stop is called.
func (c *crowd) measure(t *testing.T) {
	t.Helper()
	for _, n := range c.nodes {
		u := &usage{node: n, ports: portsOf(n.front, n.ready, n.peer, n.operator)}
		u.sample()
		t.Logf("%s before: %s", n.name, u)
		c.usages = append(c.usages, u)
	}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
				for _, u := range c.usages {
					u.sample()
				}
			}
		}
	}()
	c.stop = sync.OnceFunc(func() { close(done); <-stopped })
	t.Cleanup(c.stop)
}

const (
	operatorToken  = "token-of-the-operators"
	sampleInterval = 10 * time.Millisecond
	// settleTime is how long a crowd may take to send; clients that the node does not
	// read from or that it has let go end earlier or not at all.
	settleTime = 15 * time.Second
	// restTime is how long the crowd's connections stay open afterwards.
	restTime = time.Second
)

// send lets size clients connect and send at the same time. Their connections stay open.
func (c *crowd) send(t *testing.T, address string, size int, script func(conn net.Conn)) {
	t.Helper()
	c.sendTo(t, []string{address}, size, script)
}

// sendToAll is send with clients at the callers' ports of all nodes.
func (c *crowd) sendToAll(t *testing.T, size int, script func(conn net.Conn)) {
	t.Helper()
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.front)
	}
	c.sendTo(t, addresses, size, script)
}

func (c *crowd) sendTo(t *testing.T, addresses []string, size int, script func(conn net.Conn)) {
	t.Helper()
	var sending sync.WaitGroup
	for i := range size {
		conn, err := net.Dial("tcp", addresses[i%len(addresses)])
		if err != nil {
			continue
		}
		c.conns = append(c.conns, conn)
		sending.Go(func() { script(conn) })
	}
	sent := make(chan struct{})
	go func() { sending.Wait(); close(sent) }()
	select {
	case <-sent:
	case <-time.After(settleTime):
	}
	time.Sleep(restTime)
	t.Cleanup(func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		<-sent
	})
}

// check asks for an ordinary job beside the open connections of the crowd and checks
// what the nodes have used.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	c.disturbances.Wait()
	client := c.NewClient(c.options.random(streamScenarios))
	defer client.Close()
	const id = "00000000000000aa"
	answered := client.submitUntilAccepted(t.Context(), queues[0], id, NewJob(time.Millisecond, 0, 1))
	assert.True(t, answered, "an ordinary job got no answer")
	c.checkUsage(t)
}

// checkUsage checks what the nodes have used.
func (c *crowd) checkUsage(t *testing.T) {
	t.Helper()
	c.stop()
	for _, u := range c.usages {
		t.Logf("%s after: %s", u.node.name, u)
		assert.False(t, u.node.current().hasExited(), "the process of %s ended", u.node.name)
		assert.LessOrEqual(t, u.bytes, int64(c.options.MemoryMB)<<20, "memory and unread bytes of %s", u.node.name)
		assert.LessOrEqual(t, u.descriptors, c.options.MaxFDs, "open descriptors of %s", u.node.name)
	}
}

// usage is the highest use of a node's processes.
type usage struct {
	node  *Node
	ports map[string]bool
	// bytes is the highest sum of the peak memory and of the unread bytes, unread the
	// highest number of unread bytes.
	bytes, unread int64
	descriptors   int
}

func (u *usage) String() string {
	return fmt.Sprintf("%.1f MB, of these unread at most %.1f MB; %d descriptors", float64(u.bytes)/(1<<20), float64(u.unread)/(1<<20), u.descriptors)
}

func (u *usage) sample() {
	unread := u.unreadBytes()
	u.unread = max(u.unread, unread)
	u.bytes = max(u.bytes, u.peakMemory()+unread)
	open, _ := os.ReadDir(u.path("fd"))
	u.descriptors = max(u.descriptors, len(open))
}

func (u *usage) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(u.node.current().cmd.Process.Pid), name)
}

// peakMemory returns the highest resident memory so far.
func (u *usage) peakMemory() int64 {
	data, _ := os.ReadFile(u.path("status"))
	_, after, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10
}

const (
	// socketListening is the state of a listening socket, whose queue holds connections.
	socketListening = "0A"
	// Fields of a row of /proc/net/tcp.
	fieldLocal, fieldState, fieldQueues = 1, 3, 4
)

// unreadBytes returns the bytes in the receive queues of connections to the ports.
func (u *usage) unreadBytes() int64 {
	file, err := os.Open(u.path("net/tcp"))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	var sum int64
	for rows := bufio.NewScanner(file); rows.Scan(); {
		fields := strings.Fields(rows.Text())
		if len(fields) <= fieldQueues || fields[fieldState] == socketListening {
			continue
		}
		_, port, _ := strings.Cut(fields[fieldLocal], ":")
		if _, queue, ok := strings.Cut(fields[fieldQueues], ":"); ok && u.ports[port] {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}

// portsOf returns the ports of addresses as /proc/net/tcp writes them.
func portsOf(addresses ...string) map[string]bool {
	ports := map[string]bool{}
	for _, a := range addresses {
		_, text, err := net.SplitHostPort(a)
		if err != nil {
			continue
		}
		n, _ := strconv.Atoi(text)
		ports[fmt.Sprintf("%04X", n)] = true
	}
	return ports
}

// post returns the header of a submission. length is the announced length of the body,
// or -1 for a chunked one.
func post(path string, length int, more ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: " + clientHost, "Content-Type: application/json"}, more...)
	if strings.HasPrefix(path, queues[0].path) {
		lines = append(lines, keyLine(path))
	}
	if length < 0 {
		lines = append(lines, "Transfer-Encoding: chunked")
	} else {
		lines = append(lines, "Content-Length: "+strconv.Itoa(length))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// keyLine returns the header line with the key of a valid caller, so that the node goes on
// to the body.
func keyLine(path string) string { return "Authorization: Token " + lastingKeyOf(path) }

// writeText writes text and reports whether the connection took it all.
func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// writePieces writes total bytes of text over and over.
func writePieces(conn net.Conn, total int, piece string, pause time.Duration) {
	for sent := 0; sent < total; sent += len(piece) {
		if !writeText(conn, piece[:min(len(piece), total-sent)]) {
			return
		}
		time.Sleep(pause)
	}
}

// chunks returns a number of chunks of n bytes.
func chunks(count, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat(" ", n)), count)
}
