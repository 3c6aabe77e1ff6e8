package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is how a client attempt ended.
type outcome struct {
	attempt string
	sentAt  time.Time
	endedAt time.Time
	status  int // zero if the connection ended without an answer
	// whole is true if the answer came in full.
	whole bool
	kept  bool // the connection had served a request before
	body  []byte
	err   error
}

func (o outcome) String() string {
	end := "whole"
	switch {
	case o.status == 0:
		end = fmt.Sprintf("no answer: %v", o.err)
	case !o.whole:
		end = fmt.Sprintf("broken off after %d bytes: %v", len(o.body), o.err)
	}
	return fmt.Sprintf("attempt %s: status %d, %s, after %d ms", o.attempt, o.status, end, o.endedAt.Sub(o.sentAt).Milliseconds())
}

// client sends requests to one frontend machine over one connection at a time.
type client struct {
	w      *world
	to     *machine
	tenant int

	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// request is what a client sends.
type request struct {
	method, path string
	attempt      string
	body         []byte
	events       int    // events that are asked for; zero for an answer that is no stream
	parts        string // parts of the prompt; empty for a request without one
	deadline     time.Duration
}

func (q request) encode(tenant int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, hostName, q.attempt, q.deadline.Milliseconds(), keyOf(tenant))
	if q.events > 0 {
		fmt.Fprintf(&b, "X-Length-Hint: %d\r\n", q.events)
	}
	if q.parts != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: 600,20\r\nX-Prefix-Hash: %s\r\n", q.parts)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// open opens a connection, if there is none.
func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(c.to.host, clientPort), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer. It keeps the connection if the answer allows.
func (c *client) send(q request) outcome {
	o := outcome{attempt: q.attempt, sentAt: time.Now()}
	defer func() { o.endedAt = time.Now() }()
	if o.err = c.open(); o.err != nil {
		o.endedAt = time.Now()
		return o
	}
	o.kept = c.used
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	written := make(chan error, 1)
	data := q.encode(c.tenant)
	conn := c.conn
	go func() { _, err := conn.Write(data); written <- err }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		o.err, o.endedAt = err, time.Now()
		return o
	}
	o.status = resp.StatusCode
	o.body, o.err = io.ReadAll(resp.Body)
	o.whole, o.endedAt, c.used = o.err == nil, time.Now(), true
	if !o.whole || resp.Close {
		c.close()
	}
	if err := <-written; err != nil {
		c.close()
	}
	return o
}
