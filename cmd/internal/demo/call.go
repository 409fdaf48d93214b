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

// call is one request as a router sends it.
type call struct {
	id         string
	service    structs.Service
	team       string
	run        time.Duration
	declared   time.Duration
	repeatable bool
	urgent     bool
	first      bool
	resend     time.Duration
	pick       int
}

// long says whether the call is a straggler.
func (c call) long() bool { return c.run >= longRun }

// draw makes the next call of a sender.
func (l *load) draw(rng *rand.Rand, services []structs.Service) call {
	team := l.site.manifest.Teams[rng.IntN(len(l.site.manifest.Teams))]
	c := call{
		team:       team.Name,
		id:         uuid.Must(uuid.NewV7()).String(),
		service:    services[rng.IntN(len(services))],
		run:        time.Duration((0.5 + rng.Float64()) * float64(shortRun)),
		repeatable: rng.Float64() >= writeShare,
		urgent:     rng.Float64() < urgentShare && team.UrgentPercent > 0,
		first:      true,
		pick:       rng.IntN(1 << 16),
	}
	if rng.Float64() < longShare {
		c.run = longRun
		c.urgent = false
	}
	// Declared times are off by up to ten times either way.
	wrong := [...]float64{0.1, 0.3, 1, 3, 10}[rng.IntN(5)]
	c.declared = time.Duration(wrong * float64(c.run))
	if !c.repeatable && rng.Float64() < resendShare {
		c.resend = time.Duration(rng.IntN(400)) * time.Millisecond
	}
	return c
}

// exchange sends a call through a ready node and judges its end.
func (l *load) exchange(c call) {
	node := l.choose(c)
	l.tally.sent(c)
	began := time.Now()
	end := l.ask(node, c)
	end.took = time.Since(began)
	end.at = began.Sub(l.began)
	l.tally.ended(c, end, l.site.ledger)
}

// choose picks a node the way the platform's balancer does: any that is
// ready, another one for a resend.
func (l *load) choose(c call) string {
	var ready []string
	for _, n := range l.site.live() {
		if ok, _ := n.node.Ready(); ok {
			ready = append(ready, n.node.CallerAddress())
		}
	}
	if len(ready) == 0 {
		return ""
	}
	pick := c.pick
	if !c.first {
		pick++
	}
	return ready[pick%len(ready)]
}

// end is how a call ended, as the sender saw it.
type end struct {
	outcome string
	// reason is the node's reason for an end other than answered.
	reason string
	// crossed says that the answer was another request's.
	crossed bool
	// broken says that there was no answer, or one that was cut.
	broken bool
	took   time.Duration
	at     time.Duration
}

func (l *load) ask(node string, c call) end {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	body := bytes.Repeat([]byte("x"), 200)
	url := "http://" + node + strings.TrimSuffix(c.service.Routes[0], "/") + "/item"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return end{broken: true}
	}
	l.mark(req, c)
	resp, err := l.http.Do(req)
	if err != nil {
		return end{broken: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return end{broken: true}
	}
	return judge(c, resp, string(text))
}

func (l *load) mark(req *http.Request, c call) {
	req.Header.Set("Wigeonwinch-Request-Id", c.id)
	req.Header.Set("Wigeonwinch-Team", c.team)
	req.Header.Set("Wigeonwinch-Run-Ms", strconv.FormatInt(c.declared.Milliseconds(), 10))
	req.Header.Set("Wigeonwinch-Repeatable", "no")
	if c.repeatable {
		req.Header.Set("Wigeonwinch-Repeatable", "yes")
	}
	if c.urgent {
		req.Header.Set("Wigeonwinch-Class", "urgent")
	}
	req.Header.Set(standin.HeaderRunMS, strconv.FormatInt(c.run.Milliseconds(), 10))
}

// judge checks an answer against the call.
func judge(c call, resp *http.Response, text string) end {
	e := end{outcome: resp.Header.Get("Wigeonwinch-Outcome"), reason: resp.Header.Get("Wigeonwinch-Reason")}
	if e.outcome != "answered" {
		return e
	}
	e.crossed = resp.Header.Get("Wigeonwinch-Request-Id") != c.id
	if resp.StatusCode == http.StatusOK {
		wanted := fmt.Sprintf("id=%s ", c.id)
		e.crossed = e.crossed || !strings.HasPrefix(text, wanted)
	}
	return e
}
