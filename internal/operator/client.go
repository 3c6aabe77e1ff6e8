package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Client calls the operators' API of one node.
type Client struct {
	// Address is the host and port of the node's operators' listener.
	Address string
	// Token is the operator's bearer token.
	Token string
	HTTP  *http.Client
}

// Config returns the view that the node has of the configuration.
func (c *Client) Config(ctx context.Context) (config.View, error) {
	var view config.View
	_, err := c.call(ctx, http.MethodGet, "/v1/config", nil, &view)
	return view, err
}

// Change submits a change of the key space. A conflict is a result, not an error.
func (c *Client) Change(ctx context.Context, change wire.Change) (wire.Changed, error) {
	var result wire.Changed
	_, err := c.call(ctx, http.MethodPost, "/v1/changes", change, &result)
	return result, err
}

// Upstreams lists the upstreams that the node knows.
func (c *Client) Upstreams(ctx context.Context) ([]upstream.Entry, error) {
	var list []upstream.Entry
	_, err := c.call(ctx, http.MethodGet, "/v1/upstreams", nil, &list)
	return list, err
}

// Events lists the node's kept events after the given sequence number.
func (c *Client) Events(ctx context.Context, since uint64) ([]event.Record, error) {
	var list []event.Record
	_, err := c.call(ctx, http.MethodGet, "/v1/events?since="+strconv.FormatUint(since, 10), nil, &list)
	return list, err
}

// call sends one request and decodes the answer into out. A conflict is decoded
// like a success.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (status int, err error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return 0, eris.Wrap(err, "encode the request")
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, body)
	if err != nil {
		return 0, eris.Wrapf(err, "address %q cannot be used; set --address to host:port", c.Address)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, eris.Wrapf(err, "no answer from %s; check --address and that the node runs", c.Address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, readFailure(resp)
	}
	return resp.StatusCode, eris.Wrapf(json.NewDecoder(resp.Body).Decode(out), "the answer of %s is not the JSON expected", c.Address)
}

func readFailure(resp *http.Response) error {
	var f Failure
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&f); err != nil || f.Error == "" {
		return fmt.Errorf("the node answered %s", resp.Status)
	}
	if resp.StatusCode == http.StatusUnauthorized {
		return fmt.Errorf("%s; set --token or JAYSTAGE_TOKEN", f.Error)
	}
	return fmt.Errorf("the node answered %s: %s", resp.Status, f.Error)
}
