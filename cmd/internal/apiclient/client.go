// Package apiclient is a client for the administration API of entry nodes.
//
//	c := apiclient.New("127.0.0.1:8082", token, 5*time.Second)
//	var pools []admin.PoolStatus
//	err := c.Get(ctx, "/v1/pools", &pools)
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/admin"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// Kind classifies an error.
type Kind string

// Error kinds.
const (
	// KindUnreachable means that no complete response was received.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the node returned a problem.
	KindRefused Kind = "refused"
	// KindInvalidResponse means that the response is not one of this version of
	// the API, or that the address is malformed.
	KindInvalidResponse Kind = "foreign"
)

// Error is the error of a failed call.
type Error struct {
	Kind    Kind
	Address string
	Remedy  string
	Cause   error
	// Problem is the problem that the node returned, for KindRefused.
	Problem admin.Problem
}

// Error returns the address, the remedy and the cause, if any.
func (e *Error) Error() string {
	msg := fmt.Sprintf("node %s: %s", e.Address, e.Remedy)
	if e.Cause != nil {
		msg += " (" + e.Cause.Error() + ")"
	}
	return msg
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Client calls the administration API of one node.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client for the administration address of a node.
func New(address, token string, timeout time.Duration) *Client {
	return &Client{address: address, token: token, http: &http.Client{Timeout: timeout}}
}

// Address returns the node's administration address.
func (c *Client) Address() string { return c.address }

// Get sends a GET request for a path and decodes the response into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	_, err := c.send(ctx, http.MethodGet, path, nil, out)
	return err
}

// Change sends a request that changes state and decodes the response into out.
func (c *Client) Change(ctx context.Context, method, path string, body []byte, out any) error {
	_, err := c.send(ctx, method, path, body, out)
	return err
}

// Publish publishes a manifest. If the node's response contains an outcome,
// Publish returns it without an error, also when the node refused the manifest.
// Status 401 is always returned as an error.
func (c *Client) Publish(ctx context.Context, manifest []byte) (admin.PublishResult, error) {
	var published admin.PublishResult
	status, err := c.send(ctx, http.MethodPost, "/v1/manifest", manifest, &published)
	var apiErr *Error
	if errors.As(err, &apiErr) && published.Outcome != "" && status != http.StatusUnauthorized {
		return published, nil
	}
	return published, err
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, &Error{Kind: KindInvalidResponse, Address: c.address, Cause: err, Remedy: "the address must have the form IP:port"}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, &Error{Kind: KindUnreachable, Address: c.address, Cause: err, Remedy: "no response; check that the node is running and that the address is its admin_address"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, &Error{Kind: KindUnreachable, Address: c.address, Cause: err, Remedy: "the response was incomplete; try again"}
	}
	return resp.StatusCode, c.decodeResponse(resp.StatusCode, data, out)
}

func (c *Client) decodeResponse(status int, data []byte, out any) error {
	decodeErr := json.Unmarshal(data, out)
	if status == http.StatusOK {
		if decodeErr != nil {
			return &Error{Kind: KindInvalidResponse, Address: c.address, Cause: decodeErr, Remedy: "the response does not match this version of the API; compare the output of `wigeonwinch version` with the node's version"}
		}
		return nil
	}
	var problem admin.Problem
	if err := json.Unmarshal(data, &problem); err != nil {
		return &Error{Kind: KindInvalidResponse, Address: c.address, Cause: err, Remedy: "the response does not come from an entry node; check the address"}
	}
	return &Error{Kind: KindRefused, Address: c.address, Problem: problem, Remedy: problem.Title + "; " + problem.Detail}
}
