// Package client implements the infra interfaces over HTTP with JSON bodies.
// The protocol is described in docs/PLATFORM.md.
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
	"wigeonwinch/infra/outbound"
)

// Paths of the platform protocol.
const (
	PathAppend = "/v1/log/append"
	PathRead   = "/v1/log/read"
	PathVMs    = "/v1/vms"
	PathAct    = "/v1/workers/act"
	PathUsage  = "/v1/workers/usage"
)

const (
	// defaultTimeout bounds one call, not counting the wait of a read.
	defaultTimeout = 5 * time.Second
	// maxResponseBytes bounds the response body of one call.
	maxResponseBytes = 8 << 20
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 60 * time.Second
)

// Options configures a Client.
type Options struct {
	// Token is sent as the bearer token. If empty, none is sent.
	Token string
	// Timeout bounds one call, not counting the wait of a read. Defaults to 5 s.
	Timeout time.Duration
	// Transport is the HTTP transport. Defaults to a new transport per client.
	Transport http.RoundTripper
}

// Client implements infra.Log, infra.VMList and infra.Workers.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for the platform at address, an IP address and port.
func New(address string, opts Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, errors.Wrapf(err, "platform address %q is not in the form IP:port", address)
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = outbound.New(idleConnTimeout, func() *http.Transport { return &http.Transport{} })
	}
	return &Client{
		base:    "http://" + address,
		token:   opts.Token,
		timeout: opts.Timeout,
		http:    &http.Client{Transport: opts.Transport},
	}, nil
}

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Entries [][]byte `json:"entries"`
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	First structs.Offset `json:"first"`
}

// ReadResponse is the response body of a read.
type ReadResponse struct {
	First   structs.Offset `json:"first"`
	Next    structs.Offset `json:"next"`
	Start   structs.Offset `json:"start"`
	Entries [][]byte       `json:"entries"`
}

// ErrorResponse is the response body of every failed call.
type ErrorResponse struct {
	Kind   infra.Kind     `json:"kind"`
	Detail string         `json:"detail"`
	First  structs.Offset `json:"first,omitempty"`
}

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, entries [][]byte) (structs.Offset, error) {
	var resp AppendResponse
	err := c.post(ctx, "append", PathAppend, AppendRequest{Entries: entries}, &resp)
	return resp.First, err
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, from structs.Offset, max int, wait time.Duration) (infra.Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var resp ReadResponse
	err := c.get(ctx, "read", PathRead+"?"+query.Encode(), wait, &resp)
	if err != nil {
		return infra.Batch{}, err
	}
	batch := infra.Batch{First: resp.First, Next: resp.Next}
	for i, data := range resp.Entries {
		offset := resp.Start + structs.Offset(i)
		batch.Entries = append(batch.Entries, infra.Entry{Offset: offset, Data: data})
	}
	return batch, nil
}

// List implements infra.VMList.
func (c *Client) List(ctx context.Context) ([]infra.ListedVM, error) {
	var vms []infra.ListedVM
	err := c.get(ctx, "list", PathVMs, 0, &vms)
	return vms, err
}

// Act implements infra.Workers.
func (c *Client) Act(ctx context.Context, action infra.Action) error {
	return c.post(ctx, "act", PathAct, action, nil)
}

// Usage implements infra.Workers.
func (c *Client) Usage(ctx context.Context) ([]infra.Usage, error) {
	var usage []infra.Usage
	err := c.get(ctx, "usage", PathUsage, 0, &usage)
	return usage, err
}

func (c *Client) post(ctx context.Context, op, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "platform %s: encode the request body", op)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "platform %s", op)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(op, req, infra.KindUnknown, out)
}

func (c *Client) get(ctx context.Context, op, path string, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrapf(err, "platform %s", op)
	}
	return c.do(op, req, infra.KindUnavailable, out)
}

// do sends a request and decodes the response into out, unless out is nil. If
// no valid response arrives, the error has kind kindIfLost. If the connection
// could not be established, it has KindUnavailable.
func (c *Client) do(op string, req *http.Request, kindIfLost infra.Kind, out any) error {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(op, kindIfLost, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return transportError(op, kindIfLost, err)
	}
	if len(data) > maxResponseBytes {
		return &infra.Error{Kind: kindIfLost, Op: op, Remedy: "the response is too large; read fewer entries per call"}
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(op, kindIfLost, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &infra.Error{Kind: kindIfLost, Op: op, Cause: err, Remedy: "check that the address belongs to the platform"}
	}
	return nil
}

func transportError(op string, kindIfLost infra.Kind, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &infra.Error{
			Kind: infra.KindUnavailable, Op: op, Cause: err,
			Remedy: "the operation had no effect; check that the platform is running and that its address is correct",
		}
	}
	return &infra.Error{Kind: kindIfLost, Op: op, Cause: err, Remedy: "no response was received; check the outcome before retrying"}
}

func statusError(op string, kindIfLost infra.Kind, status int, data []byte) error {
	var resp ErrorResponse
	if err := json.Unmarshal(data, &resp); err != nil || resp.Kind == "" {
		return &infra.Error{
			Kind: kindIfLost, Op: op, Cause: errors.Errorf("HTTP status %d", status),
			Remedy: "the response is not in the platform's error format; check the address",
		}
	}
	return &infra.Error{Kind: resp.Kind, Op: op, Remedy: resp.Detail, First: resp.First}
}
