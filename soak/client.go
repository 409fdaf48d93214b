package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Habits of clients.
const (
	clientTimeout    = 3 * time.Second
	submitTries      = 6
	cancelTries      = 40
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = 500 * time.Millisecond
	minPollInterval  = 200 * time.Millisecond
	maxPollInterval  = 800 * time.Millisecond
	promptDelay      = 60 * time.Millisecond
	lateDelay        = 3 * time.Second
	minDroppedAnswer = time.Millisecond
	maxDroppedAnswer = 25 * time.Millisecond
	cancelShare      = 0.6
	promptShare      = 0.5
	dropShare        = 0.25
	repeatShare      = 0.08
	homeShare        = 0.6
	// disturbedShare is the share of cancels that go to a node with a fault, over a
	// connection that is still open.
	disturbedShare = 0.5
)

// Client hands in jobs, asks for them and cancels some. It keeps one connection to
// each node open for as long as the node's process does.
type Client struct {
	cluster *Cluster
	random  *rand.Rand
	home    int
	http    *http.Client
	// keyOf returns the key for calls about the job that a path ends with.
	keyOf func(jobPath string) string
}

// NewClient returns a client with its own connections and random numbers.
func (c *Cluster) NewClient(random *rand.Rand) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	home := random.IntN(len(c.nodes))
	return &Client{cluster: c, random: random, home: home, http: &http.Client{Transport: transport}, keyOf: lastingKeyOf}
}

// Close closes the client's connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends a request to a node. Status 0 means that there was no answer in time.
func (c *Client) call(ctx context.Context, n *Node, method, path string, body any, timeout time.Duration) (status int, answer []byte, header http.Header) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, nil
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, nil
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	key := c.keyOf(path)
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	sent := time.Now()
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = res.Body.Close() }()
	if answer, err = io.ReadAll(res.Body); err != nil {
		return 0, nil, nil
	}
	c.cluster.judge.Keyed(c.cluster.keys, n.name, key, res.StatusCode, sent)
	return res.StatusCode, answer, res.Header
}

// Submit sends a job once and returns the status.
func (c *Client) Submit(ctx context.Context, n *Node, q queue, id string, job Job) (int, http.Header) {
	c.cluster.judge.Submitting(id, n.name, q.service, job)
	status, _, header := c.call(ctx, n, http.MethodPost, q.path+id, job, clientTimeout)
	c.cluster.judge.Submitted(id, n.name, status)
	return status, header
}

// Cancel sends a cancel and returns the status. The client gives up after the
// timeout.
func (c *Client) Cancel(ctx context.Context, n *Node, q queue, id string, timeout time.Duration) int {
	sent := time.Now()
	c.cluster.judge.Cancelling(id, n.name)
	status, _, _ := c.call(ctx, n, http.MethodDelete, q.path+id, nil, timeout)
	c.cluster.judge.Cancelled(id, n.name, status, sent)
	return status
}

// Show asks for a job's state.
func (c *Client) Show(ctx context.Context, n *Node, q queue, id string) (status int, state string) {
	sent := time.Now()
	status, data, _ := c.call(ctx, n, http.MethodGet, q.path+id, nil, clientTimeout)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &body) != nil {
		body.State = "unreadable"
	}
	c.cluster.judge.Shown(id, n.name, status, body.State, sent)
	return status, body.State
}

// Run hands in one job after the other until traffic ends. It follows the last one
// until ctx ends.
func (c *Client) Run(ctx context.Context, trafficEnds time.Time) {
	defer c.Close()
	for ctx.Err() == nil && time.Now().Before(trafficEnds) {
		c.runJob(ctx)
		sleep(ctx, between(c.random, 0, maxRetryDelay))
	}
}

// runJob lives through one job, from its submission to its end or its cancel.
func (c *Client) runJob(ctx context.Context) {
	id, q, job := fmt.Sprintf("%016x", c.random.Uint64()), queues[c.random.IntN(len(queues))], randomJob(c.random, c.cluster.options.withOutlastingWork())
	if !c.submitUntilAccepted(ctx, q, id, job) {
		return
	}
	if job.lasts() || c.random.Float64() < cancelShare {
		c.cancelLater(ctx, q, id)
	} else {
		c.follow(ctx, q, id)
	}
	if c.random.Float64() < repeatShare {
		c.Submit(ctx, c.anyNode(), q, id, job)
	}
}

// submitUntilAccepted sends a job until it is accepted. Tries after the first go to
// other nodes.
func (c *Client) submitUntilAccepted(ctx context.Context, q queue, id string, job Job) bool {
	for range submitTries {
		status, header := c.Submit(ctx, c.pick(), q, id, job)
		if status/100 == 2 {
			return true
		}
		c.home = c.random.IntN(len(c.cluster.nodes))
		sleep(ctx, c.retryDelay(header))
	}
	return false
}

// retryDelay returns the pause before the next try, at most a second longer than
// the client's own.
func (c *Client) retryDelay(header http.Header) time.Duration {
	after, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		after = 0
	}
	return between(c.random, minRetryDelay, maxRetryDelay) + min(time.Duration(after)*time.Second, time.Second)
}

// cancelLater cancels a job, promptly or while it runs, until the cancel is
// answered. Some answers are dropped.
func (c *Client) cancelLater(ctx context.Context, q queue, id string) {
	delay := between(c.random, 0, promptDelay)
	if c.random.Float64() > promptShare {
		delay = between(c.random, 0, lateDelay)
	}
	sleep(ctx, delay)
	for range cancelTries {
		timeout := clientTimeout
		if c.random.Float64() < dropShare {
			timeout = between(c.random, minDroppedAnswer, maxDroppedAnswer)
		}
		status := c.Cancel(ctx, c.pickForCancel(), q, id, timeout)
		if status/100 == 2 || status == http.StatusGone || ctx.Err() != nil {
			return
		}
		sleep(ctx, between(c.random, minRetryDelay, maxRetryDelay))
	}
}

// follow asks for a job's state until it is final.
func (c *Client) follow(ctx context.Context, q queue, id string) {
	for ctx.Err() == nil {
		sleep(ctx, between(c.random, minPollInterval, maxPollInterval))
		_, state := c.Show(ctx, c.pick(), q, id)
		if state == "completed" || state == "failed" || state == "cancelled" {
			return
		}
	}
}

// pick returns the client's own node or, at times, any other.
func (c *Client) pick() *Node {
	if c.random.Float64() < homeShare {
		return c.cluster.nodes[c.home]
	}
	return c.anyNode()
}

func (c *Client) anyNode() *Node { return c.cluster.nodes[c.random.IntN(len(c.cluster.nodes))] }

func (c *Client) pickForCancel() *Node {
	disturbed := c.cluster.calm.Active()
	if c.random.Float64() < disturbedShare {
		for _, n := range c.cluster.nodes {
			if slices.Contains(disturbed, n.name) {
				return n
			}
		}
	}
	return c.pick()
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
