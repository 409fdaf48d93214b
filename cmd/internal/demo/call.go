package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra/standin"
)

// call describes one request of the generated load, as a router would send it.
type call struct {
	id              string
	service         structs.Service
	team            string
	runTime         time.Duration
	declaredRunTime time.Duration
	repeatable      bool
	urgent          bool
	// firstSend is false for the duplicate that is sent through another node.
	firstSend bool
	// resendAfter is the delay until the duplicate is sent; 0 sends none.
	resendAfter time.Duration
	// nodePick selects a ready node, modulo the number of ready nodes.
	nodePick int
}

// isLong reports whether the call is a straggler.
func (c call) isLong() bool { return c.runTime >= longRunTime }

// randomCall returns the next call of a sender, drawn at random for one of the services.
func (l *load) randomCall(rng *rand.Rand, services []structs.Service) call {
	team := l.site.manifest.Teams[rng.IntN(len(l.site.manifest.Teams))]
	c := call{
		team:       team.Name,
		id:         uuid.Must(uuid.NewV7()).String(),
		service:    services[rng.IntN(len(services))],
		runTime:    time.Duration((0.5 + rng.Float64()) * float64(shortRunTime)),
		repeatable: rng.Float64() >= nonRepeatableShare,
		urgent:     rng.Float64() < urgentShare && team.UrgentPercent > 0,
		firstSend:  true,
		nodePick:   rng.IntN(1 << 16),
	}
	if rng.Float64() < longShare {
		c.runTime = longRunTime
		c.urgent = false
	}
	// Declared run times are wrong by a factor of up to ten in either direction.
	declaredFactor := [...]float64{0.1, 0.3, 1, 3, 10}[rng.IntN(5)]
	c.declaredRunTime = time.Duration(declaredFactor * float64(c.runTime))
	if !c.repeatable && rng.Float64() < resendShare {
		c.resendAfter = time.Duration(rng.IntN(400)) * time.Millisecond
	}
	return c
}

// sendAndRecord sends a call through a ready node and records its result.
func (l *load) sendAndRecord(c call) {
	node := l.pickNode(c)
	l.tally.recordSent(c)
	started := time.Now()
	result := l.send(node, c)
	result.duration = time.Since(started)
	result.sentAfter = started.Sub(l.startTime)
	l.tally.recordResult(c, result, l.site.ledger)
}

// pickNode returns the caller address of a ready node, or an empty string if no
// node is ready. Like the platform's load balancer it may pick any ready node;
// a duplicate goes to a different node than the first send if there are several.
func (l *load) pickNode(c call) string {
	var ready []string
	for _, n := range l.site.liveNodes() {
		if ok, _ := n.node.Ready(); ok {
			ready = append(ready, n.node.CallerAddress())
		}
	}
	if len(ready) == 0 {
		return ""
	}
	pick := c.nodePick
	if !c.firstSend {
		pick++
	}
	return ready[pick%len(ready)]
}

// callResult is the result of a call as the sender observed it.
type callResult struct {
	outcome string
	// reason is the reason that the node gave for an outcome other than answered.
	reason string
	// crossed reports whether the answer belongs to another request.
	crossed bool
	// noAnswer reports whether the answer is missing or incomplete.
	noAnswer bool
	duration time.Duration
	// sentAfter is when the call was sent, counted from the start of the load.
	sentAfter time.Duration
}

// send sends a call to a node and waits for its answer.
func (l *load) send(node string, c call) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	body := bytes.Repeat([]byte("x"), 200)
	url := "http://" + node + strings.TrimSuffix(c.service.Routes[0], "/") + "/item"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return callResult{noAnswer: true}
	}
	l.setHeaders(req, c)
	resp, err := l.client.Do(req)
	if err != nil {
		return callResult{noAnswer: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResult{noAnswer: true}
	}
	return checkResponse(c, resp, string(text))
}

// setHeaders sets the request headers that describe a call to the node and to
// the backend stand-in.
func (l *load) setHeaders(req *http.Request, c call) {
	req.Header.Set("Wigeonwinch-Request-Id", c.id)
	req.Header.Set("Wigeonwinch-Team", c.team)
	req.Header.Set("Wigeonwinch-Run-Ms", strconv.FormatInt(c.declaredRunTime.Milliseconds(), 10))
	req.Header.Set("Wigeonwinch-Repeatable", "no")
	if c.repeatable {
		req.Header.Set("Wigeonwinch-Repeatable", "yes")
	}
	if c.urgent {
		req.Header.Set("Wigeonwinch-Class", "urgent")
	}
	req.Header.Set(standin.HeaderRunMS, strconv.FormatInt(c.runTime.Milliseconds(), 10))
}

// checkResponse reads the outcome from a node's response. For an answered call it
// also checks that the response belongs to this call.
func checkResponse(c call, resp *http.Response, text string) callResult {
	result := callResult{outcome: resp.Header.Get("Wigeonwinch-Outcome"), reason: resp.Header.Get("Wigeonwinch-Reason")}
	if result.outcome != "answered" {
		return result
	}
	result.crossed = resp.Header.Get("Wigeonwinch-Request-Id") != c.id
	if resp.StatusCode == http.StatusOK {
		wantPrefix := fmt.Sprintf("id=%s ", c.id)
		result.crossed = result.crossed || !strings.HasPrefix(text, wantPrefix)
	}
	return result
}
