package soak

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testWorker is a worker that node-1 gives orders to.
type testWorker struct {
	*Worker
	url string
}

func newTestWorker(t *testing.T) *testWorker {
	t.Helper()
	w := NewWorker(WorkerPlace{ID: "i-1", VM: "m-1", Service: "intake", Zone: "z-a", Rack: "r0"}, NewStore(), judged(t), rand.New(rand.NewPCG(1, 1)))
	t.Cleanup(func() { w.End(false) })
	address, err := w.ListenFor("node-1")
	require.NoError(t, err)
	return &testWorker{w, "http://" + address + "/wigeonwinch/"}
}

// lists are what a worker answers.
type lists struct {
	ClockMS int64   `json:"clock_ms"`
	Reason  string  `json:"reason"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

func (w *testWorker) order(t *testing.T, call string, o order) (int, lists) {
	t.Helper()
	data, err := json.Marshal(o)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.url+call, bytes.NewReader(data))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var answer lists
	require.NoError(t, json.NewDecoder(res.Body).Decode(&answer))
	return res.StatusCode, answer
}

func TestWorkerRefusesOldOrders(t *testing.T) {
	w := newTestWorker(t)
	spec := formatSpec(time.Hour, 0)
	o := order{Task: testTask, Run: 2, Spec: spec, Deadline: maxHoldMS, Token: 5}
	for _, c := range []struct {
		name, call string
		change     func(o *order)
		status     int
		reason     string
	}{
		{"a start whose lease is over", "run-start", func(o *order) { o.Deadline = 1 }, 409, "late"},
		{"a start", "run-start", func(*order) {}, 200, ""},
		{"its repeat", "run-start", func(*order) {}, 200, ""},
		{"a later run beside it", "run-start", func(o *order) { o.Run = 3 }, 409, "old"},
		{"an older token", "run-stop", func(o *order) { o.Token = 4 }, 409, "fence"},
		{"a stop of a run that is not there", "run-stop", func(o *order) { o.Task, o.Run = nextTask, 4 }, 200, ""},
		{"that run", "run-start", func(o *order) { o.Task, o.Run = nextTask, 4 }, 409, "old"},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := o
			c.change(&changed)
			status, answer := w.order(t, c.call, changed)
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.reason, answer.Reason)
		})
	}
}

func TestWorkerListsEndsUntilAcked(t *testing.T) {
	w := newTestWorker(t)
	_, answer := w.order(t, "run-start", order{Task: testTask, Run: 1, Spec: formatSpec(time.Millisecond, 1), Deadline: maxHoldMS, Token: 5})
	_, answer = w.order(t, "hold", order{Token: 5, WaitMS: maxHoldWaitMS, Deadline: answer.ClockMS + maxHoldMS})
	assert.Equal(t, [][]any{{1.0, testTask, 1.0, endFailed, ""}}, answer.Ended)
	assert.Empty(t, answer.Running)
	_, answer = w.order(t, "hold", order{Token: 5, Acked: 1})
	assert.Empty(t, answer.Ended)
}

func TestWorkerEndsRunsWhenItsLeaseExpires(t *testing.T) {
	w := newTestWorker(t)
	w.order(t, "run-start", order{Task: testTask, Run: 1, Spec: formatSpec(time.Hour, 0), Deadline: firstClockMS + 300, Token: 5})
	_, answer := w.order(t, "hold", order{Token: 5, WaitMS: maxHoldWaitMS})
	assert.Equal(t, [][]any{{1.0, testTask, 1.0, endLapsed, ""}}, answer.Ended)
}
