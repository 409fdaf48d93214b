// Package apiclient calls the administration API of entry nodes.
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

// maxAnswerBytes bounds one answer, in bytes.
const maxAnswerBytes = 64 << 20

// Kind is the typed kind of an error.
type Kind string

// The kinds of error.
const (
	KindUnreachable Kind = "unreachable"
	KindRefused     Kind = "refused"
	KindForeign     Kind = "foreign"
)

// Error is a failed call.
type Error struct {
	Kind    Kind
	Address string
	Remedy  string
	Cause   error
	// Problem is the node's own word, with KindRefused.
	Problem admin.Problem
}

// Error returns the address, the cause and the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("node %s: %s", e.Address, e.Remedy)
	if e.Cause != nil {
		text += " (" + e.Cause.Error() + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client calls one node.
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

// Get reads a route into answer.
func (c *Client) Get(ctx context.Context, path string, answer any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, answer)
	return err
}

// Change sends a request that changes something.
func (c *Client) Change(ctx context.Context, method, path string, body []byte, answer any) error {
	_, err := c.call(ctx, method, path, body, answer)
	return err
}

// Publish sends a manifest. The outcome is valid for every answer of a node,
// also when it was refused.
func (c *Client) Publish(ctx context.Context, manifest []byte) (admin.Published, error) {
	var answer admin.Published
	status, err := c.call(ctx, http.MethodPost, "/v1/manifest", manifest, &answer)
	var apiErr *Error
	if errors.As(err, &apiErr) && answer.Outcome != "" && status != http.StatusUnauthorized {
		return answer, nil
	}
	return answer, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, &Error{Kind: KindForeign, Address: c.address, Cause: err, Remedy: "write the address as IP:port"}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, &Error{Kind: KindUnreachable, Address: c.address, Cause: err, Remedy: "it does not answer; check that it runs and that the address is its admin_address"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return resp.StatusCode, &Error{Kind: KindUnreachable, Address: c.address, Cause: err, Remedy: "its answer was cut; try again"}
	}
	return resp.StatusCode, c.decode(resp.StatusCode, data, answer)
}

func (c *Client) decode(status int, data []byte, answer any) error {
	decodeErr := json.Unmarshal(data, answer)
	if status == http.StatusOK {
		if decodeErr != nil {
			return &Error{Kind: KindForeign, Address: c.address, Cause: decodeErr, Remedy: "the answer is not this version's; compare `wigeonwinch version` with the node's"}
		}
		return nil
	}
	var problem admin.Problem
	if err := json.Unmarshal(data, &problem); err != nil {
		return &Error{Kind: KindForeign, Address: c.address, Cause: err, Remedy: "the answer is not a node's; check the address"}
	}
	return &Error{Kind: KindRefused, Address: c.address, Problem: problem, Remedy: problem.Title + "; " + problem.Detail}
}
