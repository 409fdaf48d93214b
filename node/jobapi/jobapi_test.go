package jobapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/events"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/jobhost"
	"wigeonwinch/node/timeline"
)

// fakeJobs returns the same result for every request and records the last
// request.
type fakeJobs struct {
	last   *jobhost.Request
	result jobhost.Result
}

func (f fakeJobs) Queues() []shard.Queue { return []shard.Queue{{Name: "lint", Service: "s"}} }

func (f fakeJobs) Do(_ context.Context, r jobhost.Request) jobhost.Result {
	*f.last = r
	return f.result
}

func call(t *testing.T, result jobhost.Result, method, path, body string) (*httptest.ResponseRecorder, jobhost.Request) {
	t.Helper()
	var last jobhost.Request
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	New(fakeJobs{&last, result}, timeline.NewRing(4), []string{"secret"}, testGate()).Handler().ServeHTTP(w, req)
	return w, last
}

const goodJob = `{"id":"5c0e7a21d94b36f8","steps":[{"count":2,"need":{"milli_cpu":500}}]}`

func TestCallsBecomeQueueRequests(t *testing.T) {
	done := jobhost.Result{Outcome: jobhost.Done, Jobs: []shard.JobSummary{{ID: "5c0e7a21d94b36f8", State: "running"}}}
	w, req := call(t, done, "POST", "/v1/queues/lint/jobs", goodJob)
	assert.Equal(t, http.StatusOK, w.Code)
	require.NotNil(t, req.Job)
	assert.Equal(t, jobhost.Request{Op: jobhost.OpSubmit, Service: "s", Queue: "lint", ID: req.Job.ID, Job: req.Job}, req)

	w, req = call(t, done, "GET", "/v1/queues/lint/jobs/5c0e7a21d94b36f8", "")
	assert.Equal(t, jobhost.OpTasks, req.Op)
	var shown JobDetails
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &shown))
	assert.EqualValues(t, "running", shown.State)

	_, req = call(t, done, "DELETE", "/v1/queues/lint/jobs/5c0e7a21d94b36f8", "")
	assert.Equal(t, jobhost.OpCancel, req.Op)
	_, req = call(t, done, "GET", "/v1/queues/lint/jobs?limit=7", "")
	assert.Equal(t, 7, req.Limit)
	w, req = call(t, done, "GET", "/v1/queues", "")
	assert.Equal(t, jobhost.OpWaiting, req.Op)
	assert.Contains(t, w.Body.String(), `"lint"`)
}

func TestOutcomesMapToHTTPStatus(t *testing.T) {
	for outcome, status := range map[jobhost.Outcome]int{
		jobhost.Refused: 429, jobhost.Missing: 404, jobhost.Unavailable: 503, jobhost.Unknown: 504,
	} {
		w, _ := call(t, jobhost.Result{Outcome: outcome, RetryAfterMS: 1_200, Reason: "why"}, "POST", "/v1/queues/lint/jobs", goodJob)
		assert.Equal(t, status, w.Code, outcome)
		if status == 429 || status == 503 {
			assert.Equal(t, "2", w.Header().Get("Retry-After"))
		}
		assert.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
	}
}

// An invalid submission gets a 400 response and reaches no shard.
func TestBadSubmissionsReachNoShard(t *testing.T) {
	for name, body := range map[string]string{
		"misspelt field": `{"id":"5c0e7a21d94b36f8","stepz":[]}`,
		"wrong type":     `{"id":"5c0e7a21d94b36f8","steps":"two"}`,
		"cut off":        `{"id":"5c0e7a21d94b36f8","steps":[`,
		"later step":     `{"id":"5c0e7a21d94b36f8","steps":[{"count":1,"need":{"milli_cpu":1},"after":[1]},{"count":1,"need":{"milli_cpu":1}}]}`,
		"no steps":       `{"id":"5c0e7a21d94b36f8"}`,
		"bad id":         `{"id":"x","steps":[{"count":1,"need":{"milli_cpu":1}}]}`,
		"long payload":   `{"id":"5c0e7a21d94b36f8","payload":"` + strings.Repeat("a", spec.MaxPayloadBytes+1) + `"}`,
	} {
		w, req := call(t, jobhost.Result{Outcome: jobhost.Done}, "POST", "/v1/queues/lint/jobs", body)
		assert.Equal(t, http.StatusBadRequest, w.Code, name)
		assert.Zero(t, req, name)
	}
	w, req := call(t, jobhost.Result{Outcome: jobhost.Done}, "POST", "/v1/queues/lint/jobs", `{"id":"5c0e7a21d94b36f8","payload":"`+strings.Repeat("a", spec.MaxBodyBytes)+`"}`)
	assert.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	assert.Zero(t, req)
	w, _ = call(t, jobhost.Result{}, "POST", "/v1/queues/none/jobs", goodJob)
	assert.Equal(t, http.StatusNotFound, w.Code)
	w, _ = call(t, jobhost.Result{}, "GET", "/v1/queues/lint/jobs?limit=0", "")
	assert.Equal(t, http.StatusBadRequest, w.Code)
}

func TestCallsWithoutValidTokenAreRejected(t *testing.T) {
	for _, tokens := range [][]string{nil, {""}, {"other"}} {
		var last jobhost.Request
		w := httptest.NewRecorder()
		req := httptest.NewRequest("GET", "/v1/queues", nil)
		req.Header.Set("Authorization", "Bearer ")
		New(fakeJobs{last: &last}, timeline.NewRing(4), tokens, testGate()).Handler().ServeHTTP(w, req)
		assert.Equal(t, http.StatusUnauthorized, w.Code)
		assert.Zero(t, last)
	}
}

func testGate() *intake.Gate { return intake.NewGate(intake.LimitsFor(0, 0), events.Discard{}) }
