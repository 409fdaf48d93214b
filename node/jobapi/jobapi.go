// Package jobapi serves the HTTP interface for jobs that operators and their
// tools use. Any node answers for all shards.
//
//	mux.Handle("/v1/", jobapi.New(host, events, tokens, gate).Handler())
package jobapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"wigeonwinch/jobs/expect"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/admin"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/jobhost"
	"wigeonwinch/node/retryafter"
)

// Jobs is the part of the node's job host that the interface uses.
type Jobs interface {
	// Queues returns the queues of the configuration in force.
	Queues() []shard.Queue
	Do(ctx context.Context, r jobhost.Request) jobhost.Result
}

const (
	// defaultListLimit and maxListLimit limit the jobs in one answer. A longer
	// answer would not fit into a message between nodes.
	defaultListLimit, maxListLimit = 100, 1000
)

// API serves the interface.
type API struct {
	jobs   Jobs
	events admin.Timeline
	tokens []string
	gate   *intake.Gate
}

// New returns an API for callers that send one of the tokens. Without tokens it
// rejects all calls. It reads bodies through gate.
func New(jobs Jobs, events admin.Timeline, tokens []string, gate *intake.Gate) *API {
	return &API{jobs, events, tokens, gate}
}

// route is one route of the interface and its row on the docs page.
type route struct {
	method, path, summary, query string
	serve                        func(*API, http.ResponseWriter, *http.Request)
}

func routes() []route {
	return []route{
		{"GET", "/v1/queues", "The queues in force, with their waiting jobs and the run times learned from finished ones.", "", (*API).queues},
		{"GET", "/v1/queues/{queue}/jobs", "A queue's jobs, the newest first.", "`limit` (default 100, at most 1000)", (*API).list},
		{"POST", "/v1/queues/{queue}/jobs", "Submits a job. Safe to send again: the same id is the same job.", "", (*API).submit},
		{"GET", "/v1/queues/{queue}/jobs/{id}", "A job with its tasks: state, worker, runs and failures of each; with more than 4,000 tasks without those that are done.", "", (*API).show},
		{"DELETE", "/v1/queues/{queue}/jobs/{id}", "Cancels a job.", "", (*API).cancel},
		{"GET", "/v1/customers", "The customers of the configuration: cap, share of full pools, what runs, waits and was refused.", "`by=node`: one entry for each owner of a shard", (*API).customers},
		{"GET", "/v1/timeline", "Events of this node, oldest first; all nodes' make one line.", "`since` (RFC 3339), `request`, `vm`, `limit` (default 1000)", (*API).timeline},
	}
}

// ReferencePage returns the part of docs/API.md about jobs, generated from the
// routes.
func ReferencePage() string {
	page := `
# Jobs

HTTP with JSON bodies on the metrics address of a node on the platform. Send ` + "`Authorization: Bearer TOKEN`" + `
with the token in the node's environment variable ` + "`" + TokenVariable + "`" + `; without one all calls are refused.
Errors are problem details (RFC 9457). A job is what ` + "`wigeonwinch jobs submit`" + ` takes:
` + "`" + `{"id":"5c0e7a21d94b36f8","payload":"...","steps":[{"count":4,"need":{"milli_cpu":500,"memory_mb":256},"estimate_ms":800}]}` + "`" + `;
` + "`after`" + ` lists earlier steps, ` + "`gang`" + `, ` + "`one_rack`" + `, ` + "`label`" + `, ` + "`data_rack`" + `, ` + "`max_per_worker`" + `, ` + "`checkpoints`" + `, ` + "`lasting`" + ` and others are as in jobs/spec.

| method | path | meaning | query |
| --- | --- | --- | --- |
`
	for _, r := range routes() {
		page += fmt.Sprintf("| %s | `%s` | %s | %s |\n", r.method, r.path, r.summary, r.query)
	}
	return page + `
| status | meaning |
| --- | --- |
| 200 | Done, and stored. |
| 400 | The job has the fault that ` + "`detail`" + ` names; nothing is left behind. |
| 404 | No such queue or job. |
| 409 | Not accepted, and does not run: the id is that of another customer's job; choose another. |
| 413 | The body is over 1 MiB. |
| 429 | Not accepted, and does not run: come back after ` + "`Retry-After`" + ` seconds. |
| 503 | Nothing was done; try again. |
| 504 | It may have been done: ask again with the same id. |
`
}

// TokenVariable names the environment variable that holds the operators' token.
const TokenVariable = "WIGEONWINCH_OPERATOR_TOKEN"

// Handler returns the HTTP handler of all routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range routes() {
		mux.HandleFunc(r.method+" "+r.path, a.requireToken(r))
	}
	return mux
}

func (a *API) requireToken(r route) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		if !ok || !admin.HasToken(a.tokens, token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, "a token is missing or not accepted", "send Authorization: Bearer TOKEN with the token in the node's "+TokenVariable)
			return
		}
		r.serve(a, w, req)
	}
}

func writeProblem(w http.ResponseWriter, status int, title, detail string) {
	admin.WriteProblem(w, status, admin.Problem{Title: title, Detail: detail})
}

// Queue describes one queue to operators.
type Queue struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"max_attempts"`
	// Waiting counts the accepted jobs without a started task. It is nil if the
	// queue's shard did not answer.
	Waiting *int `json:"waiting"`
	// RunTimes is what the queue's shard has learned of its run times. It is nil
	// if the declared ones are used.
	RunTimes *expect.QueueStats `json:"run_times,omitempty"`
}

func (a *API) queues(w http.ResponseWriter, r *http.Request) {
	list := []Queue{}
	for _, q := range a.jobs.Queues() {
		out := Queue{Name: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts}
		res := a.jobs.Do(r.Context(), jobhost.Request{Op: jobhost.OpWaiting, Service: q.Service, Queue: q.Name})
		if res.Outcome == jobhost.Done {
			out.Waiting, out.RunTimes = &res.Waiting, res.RunTimes
		}
		list = append(list, out)
	}
	admin.WriteJSON(w, http.StatusOK, list)
}

// queueRequest returns the host request for an HTTP call. If the queue does not
// exist it writes a 404 response and returns false.
func (a *API) queueRequest(w http.ResponseWriter, r *http.Request, op jobhost.Operation) (jobhost.Request, bool) {
	name := r.PathValue("queue")
	for _, q := range a.jobs.Queues() {
		if q.Name == name {
			return jobhost.Request{Op: op, Service: q.Service, Queue: name, ID: r.PathValue("id")}, true
		}
	}
	writeProblem(w, http.StatusNotFound, "no such queue", "GET /v1/queues lists the queues in force")
	return jobhost.Request{}, false
}

// writeResult writes the HTTP response for a result. body is the response body
// if the request was done.
func writeResult(w http.ResponseWriter, res jobhost.Result, body any) {
	switch res.Outcome {
	case jobhost.Done:
		admin.WriteJSON(w, http.StatusOK, body)
	case jobhost.Missing:
		writeProblem(w, http.StatusNotFound, "no such job", "jobs are kept for a while after their end; compare the queue and the id")
	case jobhost.Refused:
		retryafter.SetMS(w.Header(), res.RetryAfterMS)
		writeProblem(w, http.StatusTooManyRequests, "not accepted: "+res.Reason, "the job does not run; come back after the time in Retry-After")
	case jobhost.Taken:
		writeProblem(w, http.StatusConflict, "the id is that of another customer's job", "choose another id; the job does not run")
	case jobhost.Unavailable:
		retryafter.SetMS(w.Header(), res.RetryAfterMS)
		writeProblem(w, http.StatusServiceUnavailable, "nothing was done: "+res.Reason, "try again after the time in Retry-After")
	default:
		writeProblem(w, http.StatusGatewayTimeout, "the outcome is not known: "+res.Reason, "send the same request again; the same id is the same job")
	}
}

// JobList is the response body of a job list.
type JobList struct {
	Jobs []shard.JobSummary `json:"jobs"`
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	req, ok := a.queueRequest(w, r, jobhost.OpList)
	if !ok {
		return
	}
	req.Limit = defaultListLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListLimit {
			writeProblem(w, http.StatusBadRequest, "limit is not a number in range", fmt.Sprintf("write 1 to %d", maxListLimit))
			return
		}
		req.Limit = n
	}
	res := a.jobs.Do(r.Context(), req)
	writeResult(w, res, JobList{append([]shard.JobSummary{}, res.Jobs...)})
}

// JobDetails is the response body for one job.
type JobDetails struct {
	shard.JobSummary
	Runs []shard.RunSummary `json:"runs"`
}

func (a *API) show(w http.ResponseWriter, r *http.Request) {
	req, ok := a.queueRequest(w, r, jobhost.OpTasks)
	if !ok {
		return
	}
	res := a.jobs.Do(r.Context(), req)
	out := JobDetails{Runs: append([]shard.RunSummary{}, res.Runs...)}
	if len(res.Jobs) > 0 {
		out.JobSummary = res.Jobs[0]
	}
	writeResult(w, res, out)
}

func (a *API) timeline(w http.ResponseWriter, r *http.Request) {
	admin.ServeTimeline(w, r, a.events)
}

// JobReceipt is the response body of a submission or cancellation.
type JobReceipt struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	if req, ok := a.queueRequest(w, r, jobhost.OpCancel); ok {
		writeResult(w, a.jobs.Do(r.Context(), req), JobReceipt{req.ID, "cancelled"})
	}
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	req, ok := a.queueRequest(w, r, jobhost.OpSubmit)
	if !ok {
		return
	}
	body, refusal := a.gate.Read(w, r, 0)
	if refusal != nil {
		if refusal.RetryAfterMS > 0 {
			retryafter.SetMS(w.Header(), refusal.RetryAfterMS)
		}
		writeProblem(w, refusal.Status, "the body was not taken", refusal.Remedy)
		return
	}
	defer body.Release()
	job, err := decodeJob(body.Bytes)
	body.Forget()
	if err == nil {
		job.Queue = req.Queue
		err = job.Validate()
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "the job has a fault", err.Error())
		return
	}
	req.ID, req.Job = job.ID, job
	writeResult(w, a.jobs.Do(r.Context(), req), JobReceipt{job.ID, "accepted"})
}

// decodeJob reads one job. It rejects unknown fields, because a misspelled
// field would otherwise be ignored silently.
func decodeJob(body []byte) (*spec.Job, error) {
	if err := intake.JobShape.Check(body); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	job := &spec.Job{}
	if err := decoder.Decode(job); err != nil {
		return nil, err
	}
	return job, nil
}
