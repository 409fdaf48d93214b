package soak

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// seriesWork is the work of a task that outlasts two takeovers and the wait for leases.
	seriesWork  = 25 * time.Second
	seriesTasks = 4
)

// An owner behind a partition extends the leases of its workers, also while two others take its
// shard over in a row.
func TestTaskRunsTwiceAfterTwoTakeovers(t *testing.T) {
	c := startCluster(t, 4)
	q := queues[0]
	first := c.node(c.judge.Owner(q.service))
	client := c.NewClient(c.options.random(streamScenarios))
	t.Cleanup(client.Close)
	const id = "00000000000000d1"
	status, _ := client.Submit(t.Context(), first, q, id, NewJob(seriesWork, 0, seriesTasks))
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return c.judge.busyTasks(id) == seriesTasks }, 5*time.Second, 10*time.Millisecond)

	// A partition: on one side the first owner and the workers that run the tasks.
	busy := c.judge.busyWorkers(id)
	links := append(c.peerLinks(first), first.proxy)
	for _, n := range c.nodes {
		for w, link := range n.workerLinks() {
			if slices.Contains(busy, w) != (n == first) {
				links = append(links, link)
			}
		}
	}
	defer c.calm.Begin(everything)()
	both := []Direction{Requests, Answers}
	cut(links, both)
	require.Eventually(t, func() bool { return c.judge.Owner(q.service) != first.name }, 10*time.Second, time.Millisecond)
	second := c.node(c.judge.Owner(q.service))
	token := c.judge.ownerToken(q.service)
	second.Kill()
	require.NoError(t, second.Start())
	require.Eventually(t, func() bool { return c.judge.ownerToken(q.service) > token }, 10*time.Second, time.Millisecond)
	third := c.node(c.judge.Owner(q.service))
	t.Logf("%s was cut off, %s was killed, %s gives the orders", first.name, second.name, third.name)
	log, err := os.ReadFile(third.log)
	require.NoError(t, err)
	require.Contains(t, string(log), fmt.Sprintf("stale=false handed_over=false previous_epoch=%d", token), "the second owner is known to have ended")

	time.Sleep(12 * time.Second)
	restore(links)
	for _, v := range c.judge.Violations() {
		t.Error(v)
	}
}

// busyTasks counts the tasks of a job that run.
func (j *Judge) busyTasks(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, task := range j.jobs[id].tasks {
		n += len(task.running)
	}
	return n
}

// busyWorkers returns the workers that run tasks of a job.
func (j *Judge) busyWorkers(id string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	busy := map[string]bool{}
	for _, task := range j.jobs[id].tasks {
		for r := range task.running {
			busy[r.worker] = true
		}
	}
	return slices.Sorted(maps.Keys(busy))
}

// ownerToken returns the newest fencing token of a service's orders.
func (j *Judge) ownerToken(service string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owners[service].token
}

// workerLinks returns the node's ways to workers, by worker ID.
func (n *Node) workerLinks() map[string]*Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.links)
}
