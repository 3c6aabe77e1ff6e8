package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

// clientWriter is the response of a call. It measures how long the client lets it wait.
type clientWriter struct {
	http.ResponseWriter
	// waited is the time spent in writes to the client, in nanoseconds.
	waited atomic.Int64
}

// Write implements http.ResponseWriter.
func (w *clientWriter) Write(b []byte) (int, error) {
	defer w.measure(time.Now())
	return w.ResponseWriter.Write(b)
}

// FlushError implements the method that http.ResponseController looks for.
func (w *clientWriter) FlushError() error {
	defer w.measure(time.Now())
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController find the server's response.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *clientWriter) measure(start time.Time) { w.waited.Add(int64(time.Since(start))) }

// waitedFor returns how long the client has let the call wait.
func (w *clientWriter) waitedFor() time.Duration { return time.Duration(w.waited.Load()) }

// resetConnection resets the connection of a client of HTTP/1.0. Its response has no chunks, so
// that a regular end would make a part of it look whole.
func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return // the connection has ended already
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close()
}
