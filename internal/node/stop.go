package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/drain"
)

const (
	// headTimeout bounds the wait for requests of clients whose heads are not complete when
	// no other request is open.
	headTimeout = 2 * time.Second
	// callTimeout bounds the wait for calls of operators and upstreams. Those that wait for
	// longer are canceled and have answerTimeout to say so.
	callTimeout   = 4 * time.Second
	answerTimeout = time.Second
)

// closeWhenStopping makes the responses of a stopping node close their connections.
func (n *Node) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Callers.Unready.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// drain serves clients until the load balancer has noticed the stop, which takes unready, and
// then waits up to shutdown.limit for open requests. What is still open is aborted with its
// verdict. The listeners stay open until then, so that a request that the load balancer still
// sends is served or refused. The error tells how many requests were aborted.
func (n *Node) drain(unready time.Duration) error {
	start := time.Now()
	settled := start.Add(unready)
	window := drain.Window{Start: start, Settled: settled, End: settled.Add(n.Settings.Shutdown.Limit.Std())}
	n.Callers.Stop(window)
	ctx, cancel := context.WithDeadline(context.Background(), window.End)
	defer cancel()
	// Other nodes learn of the stop at once, unlike the load balancer.
	tunnelsDone := make(chan error, 1)
	go func() { tunnelsDone <- n.tunnels.Drain(ctx) }()
	time.Sleep(time.Until(settled))
	aborted := n.Callers.Drain(ctx)
	if err := <-tunnelsDone; err != nil {
		event.With(n.Log, event.ShutdownCut).WithField("tunnels", n.tunnels.Open()).WithError(err).Warn("shutdown limit reached; closing connections of other nodes to upstreams")
	}
	callsDone := make(chan struct{})
	go func() {
		defer close(callsDone)
		n.drainCalls()
	}()
	aborted += n.closeCallers(ctx, start)
	<-callsDone
	if aborted > 0 {
		return eris.Errorf("%d open requests were aborted at the shutdown limit; raise shutdown.limit", aborted)
	}
	return nil
}

// closeCallers closes the listener for clients. Requests that arrive meanwhile have until ctx
// ends. It returns the number of those that were aborted.
func (n *Node) closeCallers(ctx context.Context, start time.Time) (aborted int) {
	l := n.listeners[0]
	if err := l.drainFor(headTimeout); err != nil {
		counts := l.Counts()
		event.With(n.Log, event.ClientsDraining).WithFields(logrus.Fields{
			"unused": counts.Unused, "idle": counts.Idle, "busy": counts.Busy, "open": n.Callers.Open(), "since_ms": time.Since(start).Milliseconds(),
		}).Info("connections of clients that do not end")
		aborted = n.Callers.Drain(ctx)
	}
	aborted += n.Callers.Close()
	if l.Counts().Busy > 0 {
		_ = l.drainFor(answerTimeout) // the rest of their answers; clients that do not read are cut
	}
	_ = l.server.Close()
	return aborted
}

// drainCalls answers the calls of upstreams and operators that have arrived and closes their
// listeners.
func (n *Node) drainCalls() {
	done := make(chan struct{})
	list := n.listeners[1:]
	for _, l := range list {
		go func() {
			defer func() { done <- struct{}{} }()
			err := l.drainFor(callTimeout)
			if err == nil {
				return
			}
			l.endCalls()
			if err = l.drainFor(answerTimeout); err != nil {
				event.With(n.Log, event.ShutdownCut).WithField("open", l.Counts().Busy).WithError(err).Warn("closing connections with open calls of operators or upstreams")
			}
		}()
	}
	for range list {
		<-done
	}
	for _, l := range list {
		_ = l.server.Close()
	}
}

// drainFor drains the listener for at most a time.
func (e *endpoint) drainFor(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return e.Drain(ctx)
}
