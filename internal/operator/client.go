package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/rollout"
	"github.com/jaystage/jaystage/pkg/wire"
)

// maxReplyBytes bounds a reply. It exceeds a list of 10,000 upstreams several times.
const maxReplyBytes = 32 << 20

// Client calls the operators' API of one node.
type Client struct {
	// Address is the host and port of the node's listener for operators.
	Address string
	// Token is the operator's bearer token.
	Token string
	HTTP  *http.Client
}

// Config returns the node's view of the configuration.
func (c *Client) Config(ctx context.Context) (config.View, error) {
	var view config.View
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &view)
	return view, err
}

// Change submits a change of the key space. A conflict is reported in the result, not
// as an error.
func (c *Client) Change(ctx context.Context, change wire.Change) (wire.Changed, error) {
	var result wire.Changed
	err := c.call(ctx, http.MethodPost, "/v1/changes", change, &result, http.StatusConflict)
	return result, err
}

// Upstreams lists the upstreams in the node's registry.
func (c *Client) Upstreams(ctx context.Context) ([]upstream.Entry, error) {
	var list []upstream.Entry
	err := c.call(ctx, http.MethodGet, "/v1/upstreams", nil, &list)
	return list, err
}

// History lists the retained changes of the configuration after a version.
func (c *Client) History(ctx context.Context, since uint64) ([]wire.Record, error) {
	var records []wire.Record
	err := c.call(ctx, http.MethodGet, "/v1/history?since="+strconv.FormatUint(since, 10), nil, &records)
	return records, err
}

// WaitInForce waits until a version is in force on every node with a session, but not
// longer than the server allows for one request. The result reports whether it is in
// force.
func (c *Client) WaitInForce(ctx context.Context, version uint64) (InForceStatus, error) {
	var got InForceStatus
	err := c.call(ctx, http.MethodGet, "/v1/in-force?version="+strconv.FormatUint(version, 10), nil, &got)
	return got, err
}

// Events lists the node's retained events after the given sequence number.
func (c *Client) Events(ctx context.Context, since uint64) ([]event.Record, error) {
	var list []event.Record
	err := c.call(ctx, http.MethodGet, "/v1/events?since="+strconv.FormatUint(since, 10), nil, &list)
	return list, err
}

// Rollouts lists the latest rollout of each service.
func (c *Client) Rollouts(ctx context.Context) ([]rollouts.Status, error) {
	var list []rollouts.Status
	err := c.call(ctx, http.MethodGet, "/v1/rollouts", nil, &list)
	return list, err
}

// StartRollout starts a rollout.
func (c *Client) StartRollout(ctx context.Context, req rollouts.StartRequest) (rollout.Rollout, error) {
	var started rollout.Rollout
	err := c.call(ctx, http.MethodPost, "/v1/rollouts", req, &started)
	return started, err
}

// RollbackRollout rolls back a service's rollout.
func (c *Client) RollbackRollout(ctx context.Context, service string) (rollout.Rollout, error) {
	var result rollout.Rollout
	err := c.call(ctx, http.MethodPost, "/v1/rollouts/"+url.PathEscape(service)+"/undo", struct{}{}, &result)
	return result, err
}

// StatusError is the error response of a node.
type StatusError struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Text describes the error and its remedy.
	Text string
}

// Error returns the text.
func (e *StatusError) Error() string { return e.Text }

// call sends one request and decodes the response into out. A response with one of the
// accepted statuses is decoded like one with status 200; others become a StatusError.
func (c *Client) call(ctx context.Context, method, path string, in, out any, accepted ...int) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode the request")
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, body)
	if err != nil {
		return eris.Wrapf(err, "address %q is invalid; set --address to host:port", c.Address)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrapf(err, "no response from %s; check --address and that the node is running", c.Address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && !slices.Contains(accepted, resp.StatusCode) {
		return responseError(resp)
	}
	reply := io.LimitReader(resp.Body, maxReplyBytes)
	return eris.Wrapf(json.NewDecoder(reply).Decode(out), "the response of %s is not the expected JSON", c.Address)
}

func responseError(resp *http.Response) error {
	var body ErrorResponse
	err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&body)
	switch {
	case err != nil || body.Error == "":
		body.Error = "the node answered " + resp.Status
	case resp.StatusCode == http.StatusUnauthorized:
		body.Error += "; set --token or JAYSTAGE_TOKEN"
	}
	return &StatusError{Status: resp.StatusCode, Text: body.Error}
}
