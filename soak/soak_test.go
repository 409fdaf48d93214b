package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program the way deploy/system.toml does and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak-program")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "wigeonwinchd")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "wigeonwinch/cmd/wigeonwinchd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// logsOf returns a directory for logs that is kept if the test fails.
func logsOf(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(os.Getenv("SOAK_LOGS"), "soak-test")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() || os.Getenv("SOAK_LOGS") != "" {
			t.Logf("logs: %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

func startCluster(t *testing.T, nodes int) *Cluster {
	t.Helper()
	c, err := StartCluster(Options{Program: program, Dir: logsOf(t), Seed: 1, Nodes: nodes, Workers: 8})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// takeover is a service's shard that has just changed its owner.
type takeover struct {
	*Cluster
	queue        queue
	former, next *Node
	// clients have a connection to the former owner that was opened before.
	clients []*Client
	ids     []string
}

// cancelledJobs is how many jobs a scenario cancels at the former owner, each over a
// connection of its own.
const cancelledJobs = 12

// takeOver disturbs the owner of a service until another node has taken its shard
// over, and hands jobs in at that node. restore ends the disturbance.
func takeOver(t *testing.T, disturb func(c *Cluster, owner *Node) (restore func())) (o *takeover, restore func()) {
	t.Helper()
	c := startCluster(t, 4)
	o = &takeover{Cluster: c, queue: queues[0]}
	o.former = c.node(c.judge.Owner(o.queue.service))
	for i := range cancelledJobs {
		client := c.NewClient(c.options.random(streamScenarios + uint64(i)))
		t.Cleanup(client.Close)
		status, _, _ := client.call(t.Context(), o.former, http.MethodGet, o.queue.path, nil, clientTimeout)
		require.Equal(t, http.StatusOK, status)
		o.clients = append(o.clients, client)
		o.ids = append(o.ids, fmt.Sprintf("%016x", 0xa0+i))
	}
	end := c.calm.Begin(o.former.name)
	undo := disturb(c, o.former)
	require.Eventually(t, func() bool { return c.judge.Owner(o.queue.service) != o.former.name }, 10*time.Second, 10*time.Millisecond)
	o.next = c.node(c.judge.Owner(o.queue.service))
	for i, client := range o.clients {
		status, _ := client.Submit(t.Context(), o.next, o.queue, o.ids[i], NewJob(9*time.Second, 0, 2, 2))
		require.Equal(t, http.StatusOK, status)
	}
	return o, func() { undo(); end() }
}

// cancelAll sends a cancel for each job to a node. answers returns the statuses.
func (o *takeover) cancelAll(t *testing.T, n *Node) (answers func() map[int]int) {
	var sent sync.WaitGroup
	statuses := make([]int, len(o.ids))
	for i, client := range o.clients {
		sent.Go(func() { statuses[i] = client.Cancel(t.Context(), n, o.queue, o.ids[i], clientTimeout) })
	}
	return func() map[int]int {
		sent.Wait()
		count := map[int]int{}
		for _, s := range statuses {
			count[s]++
		}
		return count
	}
}

func (o *takeover) log(t *testing.T, asked *Node, answers map[int]int) {
	t.Logf("%s was disturbed, %s took over; DELETEs at %s -> %v", o.former.name, o.next.name, asked.name, answers)
}

// bystander returns a node that is neither the former nor the next owner.
func (o *takeover) bystander() *Node {
	for _, n := range o.nodes {
		if n != o.former && n != o.next {
			return n
		}
	}
	return nil
}

// requireGone checks that no job whose cancel was acknowledged runs on.
func (o *takeover) requireGone(t *testing.T) {
	time.Sleep(cancelledGoneTime + judgeSlack)
	o.judge.Check()
	for _, v := range o.judge.Violations() {
		t.Error(v)
	}
}

// frozenTime is how long a superseded owner stays frozen with requests in its
// sockets.
const frozenTime = time.Second

// A node that was frozen while another one took its shard over must not answer
// a cancel from what it remembers: it does not know the jobs that its successor
// has accepted, and a 410 would acknowledge a cancel that nobody carries out.
func TestCancelAtThawedFormerOwner(t *testing.T) {
	o, thaw := takeOver(t, freeze)
	answers := o.cancelAll(t, o.former)
	time.Sleep(frozenTime)
	thaw()
	o.log(t, o.former, answers())
	o.requireGone(t)
}

// The same with a store that answers the thawed node late, so that it learns of its
// successor after it has read the cancels.
func TestCancelAtThawedFormerOwnerFarFromStore(t *testing.T) {
	o, restore := takeOver(t, func(_ *Cluster, owner *Node) func() {
		owner.proxy.SetDelay(storeDelay)
		thaw := owner.Freeze()
		return func() {
			thaw()
			time.Sleep(2 * storeDelay)
			owner.proxy.Restore()
		}
	})
	answers := o.cancelAll(t, o.former)
	time.Sleep(frozenTime)
	restore()
	o.log(t, o.former, answers())
	o.requireGone(t)
}

// The same with a store that does not answer the thawed node at all for a while. It
// can not know whether it still owns the shard.
func TestCancelAtThawedFormerOwnerWithoutStore(t *testing.T) {
	o, restore := takeOver(t, func(c *Cluster, owner *Node) func() {
		thaw, mend := freeze(c, owner), cutStore(c, owner)
		return func() {
			thaw()
			time.Sleep(frozenTime)
			mend()
		}
	})
	answers := o.cancelAll(t, o.former)
	time.Sleep(frozenTime)
	restore()
	o.log(t, o.former, answers())
	o.requireGone(t)
}

// A former owner that is cut off from the store, and from nothing else, must not
// answer a cancel from what it remembers either.
func TestCancelAtFormerOwnerWithoutStore(t *testing.T) {
	o, restore := takeOver(t, cutStore)
	answers := o.cancelAll(t, o.former)
	o.log(t, o.former, answers())
	restore()
	o.requireGone(t)
}

func freeze(_ *Cluster, n *Node) (thaw func()) { return n.Freeze() }

func cutStore(_ *Cluster, n *Node) (restore func()) {
	n.proxy.Cut(Requests)
	n.proxy.Cut(Answers)
	return n.proxy.Restore
}

// A former owner that only clients and workers reach learns of the takeover from
// neither the store nor its successor.
func TestCancelAtFormerOwnerCutOff(t *testing.T) {
	o, restore := takeOver(t, func(c *Cluster, owner *Node) func() {
		links := append(c.peerLinks(owner), owner.proxy)
		cut(links, []Direction{Requests, Answers})
		return func() { restore(links) }
	})
	answers := o.cancelAll(t, o.former)
	time.Sleep(frozenTime)
	o.log(t, o.former, answers())
	restore()
	o.requireGone(t)
}

// A node forwards cancels to the new owner, and to none that was frozen.
func TestCancelAtBystander(t *testing.T) {
	o, restore := takeOver(t, freeze)
	asked := o.bystander()
	answers := o.cancelAll(t, asked)
	time.Sleep(frozenTime)
	restore()
	o.log(t, asked, answers())
	o.requireGone(t)
}

// A node that was frozen together with the owner has not seen the takeover either. It
// forwards the cancels to the former owner, which answers from what it remembers.
func TestCancelForwardedByThawedNode(t *testing.T) {
	var asked *Node
	o, restore := takeOver(t, func(c *Cluster, owner *Node) func() {
		for _, n := range c.nodes {
			if n != owner && n.name != c.judge.Owner(queues[1].service) {
				asked = n
			}
		}
		thawOwner, thaw := owner.Freeze(), asked.Freeze()
		end := c.calm.Begin(asked.name)
		return func() { thawOwner(); thaw(); end() }
	})
	answers := o.cancelAll(t, asked)
	time.Sleep(frozenTime)
	restore()
	o.log(t, asked, answers())
	o.requireGone(t)
}

// Random faults, in series and overlapping, break no promise.
func TestShortSoak(t *testing.T) {
	const duration = 12 * time.Second
	report, err := Run(t.Context(), Options{Program: program, Dir: logsOf(t), Seed: 11, Nodes: 4, Workers: 8, Duration: duration})
	require.NoError(t, err)
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	require.True(t, report.OK())
}

// Customers with caps are served through the same faults, and none is above its cap.
func TestShortSoakWithCustomers(t *testing.T) {
	const duration = 12 * time.Second
	report, err := Run(t.Context(), Options{Program: program, Dir: logsOf(t), Seed: 12, Nodes: 4, Workers: 8, Duration: duration})
	require.NoError(t, err)
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	require.True(t, report.OK())
}
