package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A crowd of clients that nobody controls must not end a node. Each test sends one kind
// of input from many clients at once, and most of it stops just short of its end.
const (
	crowdSize = 400
	// silentCrowdSize is above the descriptors that the settings allow.
	silentCrowdSize = 800
	// bodyLimit is the longest body that a node accepts.
	bodyLimit = 1 << 20
	// shortOf is how many bytes unfinished bodies lack.
	shortOf = 16
	// farOverLimit is the length of bodies that are far too long.
	farOverLimit = 8 << 20
)

var crowdPath = queues[0].path + "00000000000000bb"

// wholeBody returns a body of the longest accepted length.
func wholeBody(before, filler, after string) string {
	n := (bodyLimit - len(before) - len(after)) / len(filler)
	body := before + strings.Repeat(filler, n) + after
	return body + strings.Repeat(" ", bodyLimit-len(body))
}

// Whole bodies were all in memory at once.
func TestCrowdOfWholeBodies(t *testing.T) {
	c := startCrowdCluster(t)
	request := post(crowdPath, bodyLimit) + wholeBody(`{"spec":"`, "x", `"}`)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

// A short step takes up more memory decoded than sent.
func TestCrowdOfManySteps(t *testing.T) {
	c := startCrowdCluster(t)
	request := post(crowdPath, bodyLimit) + wholeBody(`{"steps":[`, "{},", `{}]}`)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

// So does a short list of earlier steps.
func TestCrowdOfManyDependencies(t *testing.T) {
	c := startCrowdCluster(t)
	request := post(crowdPath, bodyLimit) + wholeBody(`{"steps":[{"depends_on":[`, "0,", `0]}]}`)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

// Bodies that lack their last bytes are held for as long as their clients like.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	c := startCrowdCluster(t)
	request := post(crowdPath, bodyLimit) + strings.Repeat(" ", bodyLimit-shortOf)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdOfBodiesPieceByPiece(t *testing.T) {
	c := startCrowdCluster(t)
	piece := strings.Repeat(" ", 32<<10)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) {
		if writeText(conn, post(crowdPath, bodyLimit)) {
			writePieces(conn, bodyLimit-shortOf, piece, 50*time.Millisecond)
		}
	})
	c.check(t)
}

func TestCrowdOfLargeChunks(t *testing.T) {
	c := startCrowdCluster(t)
	request := post(crowdPath, -1) + chunks(4, bodyLimit/4-shortOf)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdOfTinyChunks(t *testing.T) {
	c := startCrowdCluster(t)
	request := post(crowdPath, -1) + chunks(bodyLimit/2/8, 8)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

// Bodies of a length that ordinary ones have, and many of them.
func TestCrowdOfUnfinishedSmallBodies(t *testing.T) {
	c := startCrowdCluster(t)
	const length = 60_000
	request := post(crowdPath, length) + strings.Repeat(" ", length-shortOf)
	c.send(t, c.target.front, silentCrowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdOfAnnouncedLongBodies(t *testing.T) {
	c := startCrowdCluster(t)
	piece := strings.Repeat(" ", 64<<10)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) {
		if writeText(conn, post(crowdPath, farOverLimit)) {
			writePieces(conn, farOverLimit-shortOf, piece, 0)
		}
	})
	c.check(t)
}

func TestCrowdOfUnannouncedLongBodies(t *testing.T) {
	c := startCrowdCluster(t)
	piece := chunks(1, 64<<10)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) {
		if writeText(conn, post(crowdPath, -1)) {
			writePieces(conn, farOverLimit, piece, 0)
		}
	})
	c.check(t)
}

// unfinishedHeader returns a header of about n bytes that lacks its last line.
func unfinishedHeader(n int) string {
	var text strings.Builder
	text.WriteString("POST " + crowdPath + " HTTP/1.1\r\nHost: " + clientHost + "\r\n" + keyLine(crowdPath) + "\r\n")
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "x%x:\r\n", i)
	}
	return text.String()
}

func TestCrowdOfLongHeaders(t *testing.T) {
	c := startCrowdCluster(t)
	header := unfinishedHeader(900 << 10)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, header) })
	c.check(t)
}

// Headers of a legal length with many lines take up more memory decoded than sent.
func TestCrowdOfHeadersOfManyLines(t *testing.T) {
	c := startCrowdCluster(t)
	request := unfinishedHeader(15<<10) + "Content-Length: 100\r\n\r\n"
	c.send(t, c.target.front, silentCrowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdOfSilentConnections(t *testing.T) {
	c := startCrowdCluster(t)
	c.send(t, c.target.front, silentCrowdSize, func(net.Conn) {})
	c.check(t)
}

// Clients that have had an answer and stay open.
func TestCrowdOfIdleConnections(t *testing.T) {
	c := startCrowdCluster(t)
	request := "GET " + queues[0].path + " HTTP/1.1\r\nHost: " + clientHost + "\r\n" + keyLine(queues[0].path) + "\r\n\r\n"
	c.send(t, c.target.front, silentCrowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

// Answers that nobody reads block their writer, and the requests behind them are unread.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	c := startCrowdCluster(t)
	requests := strings.Repeat("GET "+queues[0].path+" HTTP/1.1\r\nHost: "+clientHost+"\r\n"+keyLine(queues[0].path)+"\r\n\r\n", 10_000)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, requests) })
	c.check(t)
}

// Callers without a key are answered before their bodies are read.
func TestCrowdWithoutKeys(t *testing.T) {
	c := startCrowdCluster(t)
	request := strings.Replace(post(crowdPath, bodyLimit), keyLine(crowdPath), "Authorization: Token unknown", 1) + strings.Repeat(" ", bodyLimit-shortOf)
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdAtOperatorPort(t *testing.T) {
	c := startCrowdCluster(t)
	request := post("/v1/queues/queue-0/jobs", bodyLimit, "Authorization: Bearer "+operatorToken) + wholeBody(`{"payload":"`, "x", `"}`)
	c.send(t, c.target.operator, crowdSize, func(conn net.Conn) { writeText(conn, request[:len(request)-shortOf]) })
	c.check(t)
}

func TestCrowdAtOperatorPortWithoutToken(t *testing.T) {
	c := startCrowdCluster(t)
	request := post("/v1/queues/queue-0/jobs", bodyLimit) + strings.Repeat(" ", bodyLimit-shortOf)
	c.send(t, c.target.operator, silentCrowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdAtPeerPort(t *testing.T) {
	c := startCrowdCluster(t)
	request := post("/v1/peer", bodyLimit) + strings.Repeat(" ", bodyLimit-shortOf)
	c.send(t, c.target.peer, silentCrowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

func TestCrowdAtHealthCheckPort(t *testing.T) {
	c := startCrowdCluster(t)
	request := post("/wigeonwinch/ready", bodyLimit) + strings.Repeat(" ", bodyLimit-shortOf)
	c.send(t, c.target.ready, silentCrowdSize, func(conn net.Conn) { writeText(conn, request) })
	c.check(t)
}

// largestJob returns the body of a valid job of the largest kind, as long as a body may be.
func largestJob() string {
	const steps, count = 64, 31
	names := strings.Repeat("x", 16_000/steps)
	var text strings.Builder
	for range steps {
		fmt.Fprintf(&text, `{"count":%d,"cpu":10,"mem_mb":1,"estimate_ms":1,"image":"%s"},`, count, names)
	}
	return wholeBody(`{"spec":"`+strings.Repeat("x", 4000)+`","steps":[`+strings.TrimSuffix(text.String(), ",")+`]}`, " ", "")
}

// Valid jobs are decoded, accepted or refused, and kept.
func TestCrowdOfLargestJobs(t *testing.T) {
	c := startCrowdCluster(t)
	body := largestJob()
	var ids atomic.Int64
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) {
		writeText(conn, post(fmt.Sprintf("%s%016x", queues[0].path, 0x1000+ids.Add(1)), bodyLimit)+body)
	})
	c.check(t)
}

// As many of them as clients may send one after the other, in bodies of their own length.
func TestCrowdOfLargeJobsInSeries(t *testing.T) {
	const perClient = 4
	c := startCrowdCluster(t)
	body := strings.TrimSpace(largestJob())
	var ids atomic.Int64
	c.send(t, c.target.front, crowdSize, func(conn net.Conn) {
		answers := bufio.NewReader(conn)
		for range perClient {
			if !writeText(conn, post(fmt.Sprintf("%s%016x", queues[0].path, 0x1000+ids.Add(1)), len(body))+body) {
				return
			}
			answer, err := http.ReadResponse(answers, nil)
			if err != nil {
				return
			}
			_ = answer.Body.Close()
		}
	})
	c.check(t)
}
