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
		c := newCaller(conn, until)
		for time.Now().Before(until) {
			next(c)
		}
		_ = c.Close()
	}
}

// newCaller returns a client that goes on until a time, or without end.
func newCaller(conn net.Conn, until time.Time) *caller {
	if !until.IsZero() {
		_ = conn.SetDeadline(until)
	}
	return &caller{conn, bufio.NewReader(conn), until}
}

// call sends a request and returns the status of the answer, or 0 without one.
func (c *caller) call(request string) int {
	if writeText(c, request) {
		if status, stays := c.readAnswer(); stays {
			return status
		}
	}
	time.Sleep(sampleInterval)
	c.reconnect()
	return 0
}

// reconnect replaces the connection by a new one to the same address.
func (c *caller) reconnect() {
	address := c.RemoteAddr().String()
	_ = c.Close()
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.SetDeadline(c.until)
		c.Conn = conn
		c.answers.Reset(conn)
	}
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

// Bodies whose bytes come one at a time, each within all limits of progress.
func TestCrowdOfBodiesByteByByte(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	path := newPaths()
	c.sendToAll(t, silentCrowdSize, func(conn net.Conn) {
		if writeText(conn, post(path(), bodyLimit)) {
			writePieces(conn, int(seriesTime/(20*time.Millisecond)), " ", 20*time.Millisecond)
		}
	})
	c.check(t)
}

// Connections that make another kind of trouble with each request.
func TestCrowdThatChangesItsTrouble(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	path, large := newPaths(), largestJob()
	var kinds atomic.Int64
	c.sendToAll(t, crowdSize, series(func(c *caller) {
		p := path()
		switch kinds.Add(1) % 6 {
		case 0:
			c.call(post(p, len(large)) + large)
		case 1:
			c.call(bodiless("GET", queues[0].path))
		case 2:
			writeText(c, strings.Repeat(bodiless("GET", p), 500))
		case 3:
			c.call(post(p, -1) + chunks(8, 1<<10) + "0\r\n\r\n")
		case 4:
			c.call(post(p, len(smallJob)) + smallJob)
		default:
			c.call(post(p, bodyLimit) + strings.Repeat(" ", 300<<10))
		}
	}))
	c.check(t)
}

// Anybody who reaches the port may read the metrics.
func TestCrowdAtMetrics(t *testing.T) {
	c := startCrowdCluster(t)
	requests := strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 1000)
	c.send(t, c.target.operator, silentCrowdSize, func(conn net.Conn) { writeText(conn, requests) })
	c.check(t)
}

const smallJob = `{"spec":"","steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":1}]}`

// Cancels of jobs that do not exist, each of another one. The owner remembers them for a
// while, as a job may come after its cancel.
func TestCrowdOfUnknownJobs(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	path := newPaths()
	c.sendToAll(t, crowdSize, series(func(c *caller) { c.call(bodiless("DELETE", path())) }))
	c.check(t)
}

// Jobs whose tasks last until they are cancelled, and that nobody cancels. They are accepted
// however much waits.
func TestCrowdOfLastingJobs(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	path := newPaths()
	body := `{"spec":"work_ms=86400000","steps":[{"count":1,"cpu":8000,"mem_mb":1,"estimate_ms":1,"long_running":true}]}`
	c.sendToAll(t, crowdSize, series(func(c *caller) { c.call(post(path(), len(body)) + body) }))
	c.check(t)
}

// The smallest VM of the users' deployments, with as many clients as it has connections for,
// and more.
func TestCrowdOnSmallestVMs(t *testing.T) {
	c := startCrowdVMs(t, crowdNodes, smallestMemoryMB, commonMaxFDs)
	path, large := newPaths(), largestJob()
	pipelined, slow := strings.Repeat(bodiless("GET", queues[0].path), 2000), strings.Repeat(" ", 60_000)
	var kinds atomic.Int64
	c.sendToAll(t, smallestVMClients, series(func(c *caller) {
		p := path()
		switch kinds.Add(1) % 5 {
		case 0:
			c.call(post(p, len(large)) + large)
		case 1:
			writeText(c, pipelined)
			c.reconnect()
		case 2:
			writeText(c, post(p, len(slow)+shortOf)+slow)
			time.Sleep(strangerPause)
			c.reconnect()
		case 3:
			writeText(c, unfinishedHeader(15<<10))
			time.Sleep(strangerPause)
			c.reconnect()
		default:
			c.call(post(p, len(smallJob)) + smallJob)
			c.call(bodiless("DELETE", p))
		}
	}))
	c.check(t)
}

const (
	// smallestMemoryMB is the memory of the smallest VM of the users' deployments.
	smallestMemoryMB  = 160
	smallestVMClients = 3600
)

// Lists and jobs as long as answers can be, at the operators' ports, and nobody takes them.
func TestCrowdOfUnreadLists(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	path, large := newPaths(), strings.TrimSpace(largestJob())
	lasting := `{"spec":"work_ms=86400000","steps":[{"count":1,"cpu":8000,"mem_mb":1,"estimate_ms":1,"long_running":true}]}`
	first := path()
	c.sendToAll(t, 1, func(conn net.Conn) {
		s := newCaller(conn, time.Time{})
		s.call(post(first, len(large)) + large)
		for range 500 {
			s.call(post(path(), len(lasting)) + lasting)
		}
	})
	asOperator := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + operatorToken + "\r\n\r\n"
	}
	requests := strings.Repeat(asOperator("/v1/queues/queue-0/jobs?limit=1000")+asOperator("/v1/queues/queue-0/jobs/"+strings.TrimPrefix(first, queues[0].path)), 20)
	var operators []string
	for _, n := range c.nodes {
		operators = append(operators, n.operator)
	}
	c.sendTo(t, operators, crowdSize, series(func(s *caller) {
		writeText(s, requests)
		time.Sleep(strangerPause)
		s.reconnect()
	}))
	c.check(t)
}
