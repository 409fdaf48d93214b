package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// specBytes is the longest spec.
const specBytes = 4000

var httpClient = &http.Client{Timeout: 3 * time.Second}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a client's request to a node. Status 0 means that there was no answer.
func (n *Node) call(method, queue, id string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+n.front+"/"+queue+"/"+id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return res.StatusCode, out
}

// submit hands a job in as a client does: it asks again, at another node, until it
// is accepted or its tries are used up.
func (p *Platform) submit(queue, id string, job any) bool {
	for try := range 5 {
		n := p.nodes[try%len(p.nodes)]
		status, _ := n.call(http.MethodPost, queue, id, job)
		logLine("client: POST %s/%s at %s -> %d", queue, id, n.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks a node for a job's state.
func (n *Node) state(queue, id string) (int, string) {
	status, body := n.call(http.MethodGet, queue, id, nil)
	state, _ := body["state"].(string)
	return status, state
}

// step returns a step as clients write it.
func step(count, cpu, estimateMS int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 16, "estimate_ms": estimateMS}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// job returns a job whose tasks work for the given time; 0 means that they last.
func job(workMS, cpu int, steps []map[string]any, more map[string]any) map[string]any {
	spec := fmt.Sprintf("work_ms=%d cpu=%d", workMS, cpu)
	if workMS == 0 {
		spec = fmt.Sprintf("lasts cpu=%d", cpu)
	}
	j := map[string]any{"spec": spec, "steps": steps}
	for k, v := range more {
		j[k] = v
	}
	return j
}
