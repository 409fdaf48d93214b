// Package client reaches the platform over HTTP with JSON bodies. The
// protocol is described in docs/PLATFORM.md.
//
//	c, err := client.New("127.0.0.1:9000", client.Options{})
//	offset, err := c.Append(ctx, [][]byte{data})
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// Paths of the platform's protocol.
const (
	PathAppend = "/v1/log/append"
	PathRead   = "/v1/log/read"
	PathVMs    = "/v1/vms"
	PathAct    = "/v1/workers/act"
	PathUsage  = "/v1/workers/usage"
)

const (
	// defaultTimeout bounds a call without a wait of its own.
	defaultTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer to one call.
	maxAnswerBytes = 8 << 20
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 60 * time.Second
)

// Options tunes a Client.
type Options struct {
	// Token is sent as a bearer token; empty sends none.
	Token string
	// Timeout bounds one call, not counting the wait of a read. Default 5 s.
	Timeout time.Duration
	// Transport replaces the HTTP transport. Default: one of its own.
	Transport http.RoundTripper
}

// Client implements infra.Log, infra.VMList and infra.Workers.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for the platform at an IP address and port.
func New(address string, opts Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, errors.Wrapf(err, "platform address %q: write it as IP:port", address)
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{IdleConnTimeout: idleTimeout}
	}
	return &Client{
		base:    "http://" + address,
		token:   opts.Token,
		timeout: opts.Timeout,
		http:    &http.Client{Transport: opts.Transport},
	}, nil
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Entries [][]byte `json:"entries"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	First structs.Offset `json:"first"`
}

// ReadResponse is the answer to a read.
type ReadResponse struct {
	First   structs.Offset `json:"first"`
	Next    structs.Offset `json:"next"`
	Start   structs.Offset `json:"start"`
	Entries [][]byte       `json:"entries"`
}

// ErrorResponse is the body of every refused call.
type ErrorResponse struct {
	Kind   infra.Kind     `json:"kind"`
	Detail string         `json:"detail"`
	First  structs.Offset `json:"first,omitempty"`
}

// Append adds entries to the log.
func (c *Client) Append(ctx context.Context, entries [][]byte) (structs.Offset, error) {
	var answer AppendResponse
	err := c.post(ctx, "append", PathAppend, AppendRequest{Entries: entries}, &answer)
	return answer.First, err
}

// Read reads entries from the log.
func (c *Client) Read(ctx context.Context, from structs.Offset, max int, wait time.Duration) (infra.Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var answer ReadResponse
	err := c.get(ctx, "read", PathRead+"?"+query.Encode(), wait, &answer)
	if err != nil {
		return infra.Batch{}, err
	}
	batch := infra.Batch{First: answer.First, Next: answer.Next}
	for i, data := range answer.Entries {
		offset := answer.Start + structs.Offset(i)
		batch.Entries = append(batch.Entries, infra.Entry{Offset: offset, Data: data})
	}
	return batch, nil
}

// List returns the platform's list of VMs.
func (c *Client) List(ctx context.Context) ([]infra.ListedVM, error) {
	var answer []infra.ListedVM
	err := c.get(ctx, "list", PathVMs, 0, &answer)
	return answer, err
}

// Act asks the platform to act on a worker.
func (c *Client) Act(ctx context.Context, action infra.Action) error {
	return c.post(ctx, "act", PathAct, action, nil)
}

// Usage returns the workers' load.
func (c *Client) Usage(ctx context.Context) ([]infra.Usage, error) {
	var answer []infra.Usage
	err := c.get(ctx, "usage", PathUsage, 0, &answer)
	return answer, err
}

func (c *Client) post(ctx context.Context, op, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "platform %s: encode the request", op)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "platform %s", op)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(op, req, infra.KindUnknown, answer)
}

func (c *Client) get(ctx context.Context, op, path string, wait time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrapf(err, "platform %s", op)
	}
	return c.do(op, req, infra.KindUnavailable, answer)
}

// do sends a request. A lost answer has the given kind, unless the connection
// was never made.
func (c *Client) do(op string, req *http.Request, lost infra.Kind, answer any) error {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(op, lost, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return transportError(op, lost, err)
	}
	if len(data) > maxAnswerBytes {
		return &infra.Error{Kind: lost, Op: op, Remedy: "the answer is too large; read fewer entries at once"}
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(op, lost, resp.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &infra.Error{Kind: lost, Op: op, Cause: err, Remedy: "check that the address is the platform's"}
	}
	return nil
}

func transportError(op string, lost infra.Kind, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &infra.Error{
			Kind: infra.KindUnavailable, Op: op, Cause: err,
			Remedy: "check the platform's address and that it is up; nothing was done",
		}
	}
	return &infra.Error{Kind: lost, Op: op, Cause: err, Remedy: "the answer was lost; ask for the outcome, then try again"}
}

func statusError(op string, lost infra.Kind, status int, data []byte) error {
	var answer ErrorResponse
	if err := json.Unmarshal(data, &answer); err != nil || answer.Kind == "" {
		return &infra.Error{
			Kind: lost, Op: op, Cause: errors.Errorf("HTTP status %d", status),
			Remedy: "the answer is not the platform's; check the address",
		}
	}
	return &infra.Error{Kind: answer.Kind, Op: op, Remedy: answer.Detail, First: answer.First}
}
