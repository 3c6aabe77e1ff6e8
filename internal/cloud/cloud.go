// Package cloud is a client of the platform's cloud API: it lists, starts and stops VMs
// and reads prices and reclaim notices.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/internal/bounded"
)

// VM is an entry in the platform's list of VMs.
type VM struct {
	ID          string `json:"id"`
	OrderID     string `json:"order"`
	Class       string `json:"class"`
	Domain      string `json:"domain"`
	Reclaimable bool   `json:"reclaimable"`
	Pool        string `json:"pool"`
	// State is starting, running or stopping.
	State string `json:"state"`
	// Started is Unix time in milliseconds.
	Started     int64   `json:"started"`
	HourlyPrice float64 `json:"hour"`
}

// StartRequest orders a VM. Requests with the same OrderID return the same VM.
type StartRequest struct {
	OrderID      string `json:"order"`
	FencingToken uint64 `json:"fencing"`
	Class        string `json:"class"`
	Domain       string `json:"domain"`
	Reclaimable  bool   `json:"reclaimable"`
	Pool         string `json:"pool"`
}

// Price is the current price of one kind of VM.
type Price struct {
	Class       string  `json:"class"`
	Domain      string  `json:"domain"`
	Reclaimable bool    `json:"reclaimable"`
	HourlyPrice float64 `json:"hour"`
}

// Notice announces that the platform will reclaim a VM.
type Notice struct {
	VM string `json:"vm"`
	// SecondsLeft is the time until the platform reclaims the VM.
	SecondsLeft float64 `json:"seconds"`
}

// Problem is the body of an error response.
type Problem struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

// Errors that callers distinguish. After any other error of Start or Stop it is unknown
// whether the order took effect; it is safe to repeat the order with the same ID.
var (
	// ErrRefused means that the platform currently has no such VM available.
	ErrRefused = errors.New("the platform refused the start")
	// ErrFenced means that another client has sent an order with a newer fencing token.
	ErrFenced = errors.New("the platform has seen a newer fencing token")
	// ErrRequest means that the order is invalid: the platform will never accept it.
	ErrRequest = errors.New("the platform does not accept the order")
)

// maxBodyBytes limits the size of a response body, and maxHeadBytes that of its head.
const (
	maxBodyBytes = 16 << 20
	maxHeadBytes = 64 << 10
)

// Client calls the cloud API of one platform. It is safe for concurrent use.
type Client struct {
	base    *url.URL
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for the API at base, such as http://127.0.0.1:8080. Each call is
// canceled after timeout.
func New(base, token string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, eris.Errorf("platform address %q is not an http or https URL", base)
	}
	if timeout <= 0 {
		return nil, eris.New("timeout of platform calls must be positive")
	}
	transport := &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{base: u, token: token, timeout: timeout, http: &http.Client{Transport: transport}}, nil
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// VMs lists all VMs with the IDs of the orders that started them.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	err := c.call(ctx, http.MethodGet, "/v1/vms", nil, nil, &out)
	return out, eris.Wrap(err, "list VMs")
}

// Start starts a VM. If an order is repeated, Start returns the VM of the first attempt.
func (c *Client) Start(ctx context.Context, s StartRequest) (VM, error) {
	var out VM
	err := c.call(ctx, http.MethodPost, "/v1/vms", nil, s, &out)
	return out, eris.Wrapf(err, "start VM for order %s", s.OrderID)
}

// Stop stops a VM. It succeeds if the VM no longer exists.
func (c *Client) Stop(ctx context.Context, id, orderID string, fencingToken uint64) error {
	query := url.Values{"order": {orderID}, "fencing": {formatUint(fencingToken)}}
	err := c.call(ctx, http.MethodDelete, "/v1/vms/"+url.PathEscape(id), query, nil, nil)
	return eris.Wrapf(err, "stop VM %s for order %s", id, orderID)
}

// Prices lists the current prices.
func (c *Client) Prices(ctx context.Context) ([]Price, error) {
	var out []Price
	err := c.call(ctx, http.MethodGet, "/v1/prices", nil, nil, &out)
	return out, eris.Wrap(err, "list prices")
}

// Notices lists the pending reclaim notices.
func (c *Client) Notices(ctx context.Context) ([]Notice, error) {
	var out []Notice
	err := c.call(ctx, http.MethodGet, "/v1/notices", nil, nil, &out)
	return out, eris.Wrap(err, "list notices")
}

func formatUint(n uint64) string {
	b, _ := json.Marshal(n)
	return string(b)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	u := *c.base
	u.RawPath = u.EscapedPath() + path
	unescaped, err := url.PathUnescape(u.RawPath)
	if err != nil {
		return err
	}
	u.Path, u.RawQuery = unescaped, query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1), nil)
	if err != nil {
		return err
	}
	if len(data) > maxBodyBytes {
		return eris.Errorf("response is larger than %d bytes", maxBodyBytes)
	}
	return decode(method, resp.StatusCode, data, out)
}

func decode(method string, status int, data []byte, out any) error {
	switch {
	case status >= 200 && status < 300:
		if out == nil {
			return nil
		}
		return eris.Wrapf(json.Unmarshal(data, out), "decode response with status %d", status)
	case method == http.MethodDelete && status == http.StatusNotFound:
		return nil
	}
	var p Problem
	_ = json.Unmarshal(data, &p) // without a valid body the status decides
	kind := errors.New("platform API call failed")
	switch {
	case p.Code == "refused":
		kind = ErrRefused
	case p.Code == "fenced":
		kind = ErrFenced
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		kind = ErrRequest
	}
	return eris.Wrapf(kind, "status %d, %s", status, p.Detail)
}
