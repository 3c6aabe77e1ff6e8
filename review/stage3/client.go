package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// attempt is one client attempt as its client and the runners have seen it.
type attempt struct {
	kept    bool   // on a connection that had carried a request
	end     string // status, or how the connection ended
	sent    time.Time
	ended   time.Time
	arrived int // runners that got it
	ran     int // runners that ran it
}

// attempts holds all client attempts by their ids.
type attempts struct {
	mu   sync.Mutex
	list map[string]*attempt
}

func newAttempts() *attempts { return &attempts{list: make(map[string]*attempt)} }

// update changes an attempt; it reports false if no client sent one with this id.
func (a *attempts) update(id string, change func(*attempt)) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.list[id]
	if found == nil {
		return false
	}
	change(found)
	return true
}

// count returns the number of attempts for which match is true.
func (a *attempts) count(match func(*attempt) bool) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.list {
		if match(at) {
			n++
		}
	}
	return n
}

// closedWithoutAnswer is the end of an attempt whose connection was closed.
const closedWithoutAnswer = "closed without an answer"

// send sends one request on a client's connection and returns its end.
func (a *attempts) send(client *http.Client, n *node, id, path string, size int, timeout time.Duration) string {
	at := &attempt{sent: time.Now()}
	a.mu.Lock()
	a.list[id] = at
	a.mu.Unlock()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.update(id, func(at *attempt) { at.kept = info.Reused })
	}})
	end := request(ctx, client, n, id, path, size, timeout)
	a.update(id, func(at *attempt) { at.end, at.ended = end, time.Now() })
	return end
}

func request(ctx context.Context, client *http.Client, n *node, id, path string, size int, timeout time.Duration) string {
	// GetBody is left out, so that the client never sends a request a second time.
	body := io.NopCloser(bytes.NewReader(make([]byte, size)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, clientPort, path), body)
	if err != nil {
		return err.Error()
	}
	req.ContentLength = int64(size)
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := client.Do(req)
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case err == nil:
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return "no connection"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "time limit"
	default:
		return closedWithoutAnswer
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprint(resp.StatusCode, ", cut in the answer")
	}
	return fmt.Sprint(resp.StatusCode)
}

// newClient returns a client that keeps one connection.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: timeout}
}
