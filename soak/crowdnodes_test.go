package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Crowds that call several nodes at once. What comes in at one of them takes up memory of
// another one, which owns the queue.
const (
	crowdNodes = 3
	// seriesTime is how long clients go on that send one request after the other.
	seriesTime = 12 * time.Second
)

// caller is a client that sends one request after the other and reads the answers. It
// connects anew after its connection was closed.
type caller struct {
	net.Conn
	answers *bufio.Reader
	until   time.Time
}

// series returns a script for clients that send requests until seriesTime has passed. next
// sends one of them with its calls.
func series(next func(c *caller)) func(conn net.Conn) {
	until := time.Now().Add(seriesTime)
	return func(conn net.Conn) {
		_ = conn.SetDeadline(until)
		c := &caller{conn, bufio.NewReader(conn), until}
		for time.Now().Before(until) {
			next(c)
		}
		_ = c.Close()
	}
}

// call sends a request and returns the status of the answer, or 0 without one.
func (c *caller) call(request string) int {
	if writeText(c, request) {
		if status, stays := c.readAnswer(); stays {
			return status
		}
	}
	address := c.RemoteAddr().String()
	_ = c.Close()
	time.Sleep(sampleInterval)
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.SetDeadline(c.until)
		c.Conn = conn
		c.answers.Reset(conn)
	}
	return 0
}

func (c *caller) readAnswer() (status int, stays bool) {
	answer, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, err == nil && !answer.Close
}

// bodiless returns a request without a body.
func bodiless(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + clientHost + "\r\n" + keyLine(path) + "\r\n\r\n"
}

// newPaths returns paths of jobs that nobody has named before.
func newPaths() func() string {
	var ids atomic.Int64
	return func() string { return fmt.Sprintf("%s%016x", queues[0].path, 0x1000+ids.Add(1)) }
}

// Jobs of the largest kind at all nodes. Their owner keeps what it has accepted and looks
// at the others.
func TestCrowdOfLargestJobsAtAllNodes(t *testing.T) {
	c := startCrowdNodes(t, 5)
	body, path := largestJob(), newPaths()
	c.sendToAll(t, crowdSize, series(func(c *caller) { c.call(post(path(), len(body)) + body) }))
	c.check(t)
}

// The same jobs in bodies of their own length, so that their owner is called for many of
// them at the same time.
func TestCrowdOfForwardedJobs(t *testing.T) {
	c := startCrowdNodes(t, 5)
	body, path := strings.TrimSpace(largestJob()), newPaths()
	c.sendToAll(t, 2*crowdSize+crowdSize/4, series(func(c *caller) { c.call(post(path(), len(body)) + body) }))
	c.check(t)
}

// Jobs of the largest kind that are cancelled at once. Their tasks end on the workers
// later.
func TestCrowdOfLargestJobsCancelledAtOnce(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	body, path := largestJob(), newPaths()
	c.sendToAll(t, crowdSize, series(func(c *caller) {
		p := path()
		c.call(post(p, len(body)) + body)
		c.call(bodiless("DELETE", p))
	}))
	c.check(t)
}

// Small jobs that are cancelled at once. Their state can be asked for long after.
func TestCrowdOfSmallJobsCancelledAtOnce(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	body, path := smallJob, newPaths()
	c.sendToAll(t, crowdSize/2, series(func(c *caller) {
		p := path()
		c.call(post(p, len(body)) + body)
		c.call(bodiless("DELETE", p))
	}))
	c.check(t)
}

// Names of jobs as long as a header allows, each of them new: what a node remembers of
// calls must not be as long as clients like.
func TestCrowdOfLongNames(t *testing.T) {
	for _, method := range []string{"GET", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			c := startCrowdNodes(t, crowdNodes)
			path, tail := newPaths(), strings.Repeat("x", 12<<10)
			c.sendToAll(t, crowdSize, series(func(c *caller) { c.call(bodiless(method, path()+tail)) }))
			c.check(t)
		})
	}
}

// A name is a part of the line that it came in, and that line may be long.
func TestCrowdOfLongQueries(t *testing.T) {
	c := startCrowdNodes(t, 1)
	path, query := newPaths(), "?"+strings.Repeat("x", 12<<10)
	c.sendToAll(t, crowdSize, series(func(c *caller) {
		p := path()
		c.call(post(p+query, len(smallJob)) + smallJob)
		c.call(bodiless("DELETE", path()+query))
	}))
	c.check(t)
}

// Jobs that are due very often: what is open of them at the same time takes up memory.
func TestCrowdOfRepeatedJobs(t *testing.T) {
	c := startCrowdNodes(t, 1)
	path := newPaths()
	body := fmt.Sprintf(`{"spec":"work_ms=600000","steps":[{"count":1,"cpu":16000,"mem_mb":1,"estimate_ms":1}],"repeat_count":1000000,"first_run_ms":%d,"interval_ms":1}`, time.Now().Add(-time.Hour).UnixMilli())
	c.sendToAll(t, crowdSize, series(func(c *caller) { c.call(post(path(), len(body)) + body) }))
	c.check(t)
}

const smallJob = `{"spec":"","steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":1}]}`
