package deployment

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/drain"
)

const (
	// unreadyDuration is how long a stopping node still accepts requests after it reports
	// that it is not ready: the load balancer checks every second and needs two responses.
	unreadyDuration = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is reserved for exiting.
	shutdownReserve = 600 * time.Millisecond
	// lastAnswersTimeout is the part of it in which requests that are still open at its start
	// are answered with their verdicts.
	lastAnswersTimeout = 200 * time.Millisecond
)

// drain reports to the load balancer that the node is not ready, keeps serving for
// unreadyDuration, while the balancer still sends clients to it, and then waits for open
// requests up to the end of the grace period.
func (n *Node) drain() {
	if n.gateway == nil {
		return
	}
	started := time.Now()
	left := n.options.GracePeriod - shutdownReserve
	window := drain.Window{Start: started, Settled: started.Add(min(unreadyDuration, left/2)), End: started.Add(left)}
	n.gateway.Stop(window)
	n.logClients(started)
	time.Sleep(time.Until(window.Settled))
	n.logClients(started)
	ctx, cancel := context.WithDeadline(context.Background(), window.End)
	defer cancel()
	tunnelsDone := make(chan error, 1)
	go func() { tunnelsDone <- n.tunnels.Drain(ctx) }()
	err := n.clients.Drain(ctx)
	if err = errors.Join(err, <-tunnelsDone); err != nil {
		event.With(n.options.Log, event.ShutdownCut).WithField("open", n.gateway.Open()).WithField("tunnels", n.tunnels.Open()).WithError(err).
			Warn("grace period is over; closing connections with open requests")
		n.gateway.LogOpen(time.Now())
		n.endOpenCalls()
	}
	n.logClients(started)
	_ = n.clientServer.Close() // the listener is closed already, and without an error so are the connections
}

// endOpenCalls ends the requests that are still open. Those whose clients do not take their
// answers within lastAnswersTimeout are broken off.
func (n *Node) endOpenCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	n.gateway.EndCalls()
	if err := n.clients.Drain(ctx); err != nil {
		n.options.Log.WithError(err).WithField("open", n.gateway.Open()).Warn("clients have not taken their answers")
	}
}

// logClients logs the connections of clients at a step of the stop that started at a time.
func (n *Node) logClients(started time.Time) {
	counts := n.clients.Counts()
	event.With(n.options.Log, event.ClientsDraining).WithFields(logrus.Fields{
		"unused": counts.Unused, "idle": counts.Idle, "busy": counts.Busy, "open": n.gateway.Open(), "since_ms": time.Since(started).Milliseconds(),
	}).Info("connections of clients during the stop")
}
