package deployment

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/pkg/drain"
)

const (
	// unreadyDuration is how long a stopping node still accepts requests after it reports
	// that it is not ready: the load balancer checks every second and needs two responses.
	unreadyDuration = 2500 * time.Millisecond
	// reserveShare is the part of the grace period that is reserved for exiting, at most
	// maxReserve.
	reserveShare = 0.1
	maxReserve   = 600 * time.Millisecond
	// lastAnswersShare is the part of the reserve in which requests that are still open at its
	// start are answered with their verdicts.
	lastAnswersShare = 1.0 / 3
	// closeShare is the part of the reserve in which the session ends.
	closeShare = 1.0 / 3
	// leaveShare is the part of the grace period until which a voter may wait for the group
	// to go on without it.
	leaveShare = 0.7
	// voterCloseShare is the part of the grace period in which a voter's session ends.
	voterCloseShare = 0.1
	// controlTimeout bounds the wait for calls of operators and upstreams, who turn to
	// another voter after a second.
	controlTimeout = 500 * time.Millisecond
)

// closeWhenStopping makes the responses of a stopping node close their connections.
func (n *Node) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// drain ends the service of clients, operators and upstreams within the grace period.
func (n *Node) drain() {
	controlDone := make(chan struct{})
	go func() { defer close(controlDone); n.drainControl() }()
	n.drainClients()
	<-controlDone
}

// drainControl answers the calls of operators and upstreams that have arrived. Those that are
// still open after controlTimeout are ended without a confirmation.
func (n *Node) drainControl() {
	if n.controlServer == nil {
		return
	}
	err := drainFor(n.controlServer, controlTimeout)
	n.endControl()
	if err != nil {
		err = drainFor(n.controlServer, n.lastAnswersTimeout())
	}
	if err != nil {
		event.With(n.options.Log, event.ShutdownCut).WithField("open", n.controlServer.listener.Counts().Busy).WithError(err).
			Warn("closing connections with open calls of operators or upstreams")
	}
}

// drainClients reports to the load balancer that the node is not ready, keeps serving for
// unreadyDuration, while the balancer still sends clients to it, and then waits for open
// requests up to the end of the grace period.
func (n *Node) drainClients() {
	if n.gateway == nil {
		return
	}
	started := time.Now()
	left := n.options.GracePeriod - n.reserve()
	window := drain.Window{Start: started, Settled: started.Add(min(unreadyDuration, left/2)), End: started.Add(left)}
	n.gateway.Stop(window)
	n.logClients(started)
	ctx, cancel := context.WithDeadline(context.Background(), window.End)
	defer cancel()
	// Other nodes learn of the stop at once, unlike the load balancer: what they have sent
	// through this node has the whole grace period to end.
	tunnelsDone := make(chan error, 1)
	go func() { tunnelsDone <- n.tunnels.Drain(ctx) }()
	time.Sleep(time.Until(window.Settled))
	n.logClients(started)
	err := n.clientServer.listener.Drain(ctx)
	if err = errors.Join(err, <-tunnelsDone); err != nil {
		event.With(n.options.Log, event.ShutdownCut).WithField("open", n.gateway.Open()).WithField("tunnels", n.tunnels.Open()).WithError(err).
			Warn("grace period is over; closing connections with open requests")
		n.gateway.LogOpen(time.Now())
		n.endOpenCalls()
	}
	n.logClients(started)
	_ = n.clientServer.Close() // the listener is closed already, and without an error so are the connections
}

// reserve returns the part of the grace period that is reserved for exiting.
func (n *Node) reserve() time.Duration {
	return min(maxReserve, time.Duration(reserveShare*float64(n.options.GracePeriod)))
}

// leaveGroup makes the group go on without this voter, if it has a surplus of voters. The
// process ends in any case: a group that cannot answer finds the voter silent.
func (n *Node) leaveGroup(stoppedAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), stoppedAt.Add(time.Duration(leaveShare*float64(n.options.GracePeriod))))
	defer cancel()
	if err := n.state.Leave(ctx); err != nil {
		event.With(n.options.Log, event.VoterChanged).WithField("voter", n.options.Host).WithField("verb", replica.VerbLeave).WithError(err).Warn("stopping without an answer of the group; it may still count this voter")
	}
}

// closeTimeout returns how long the end of the session may take.
func (n *Node) closeTimeout() time.Duration {
	if n.options.ClientAddress == "" {
		return time.Duration(voterCloseShare * float64(n.options.GracePeriod))
	}
	return time.Duration(closeShare * float64(n.reserve()))
}

func (n *Node) lastAnswersTimeout() time.Duration {
	return time.Duration(lastAnswersShare * float64(n.reserve()))
}

// endOpenCalls ends the requests that are still open. Those whose clients do not take their
// answers within lastAnswersTimeout are broken off.
func (n *Node) endOpenCalls() {
	n.gateway.EndCalls()
	if err := drainFor(n.clientServer, n.lastAnswersTimeout()); err != nil {
		n.options.Log.WithError(err).WithField("open", n.gateway.Open()).Warn("clients have not taken their answers")
	}
}

func drainFor(s *server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.listener.Drain(ctx)
}

// logClients logs the connections of clients at a step of the stop that started at a time.
func (n *Node) logClients(started time.Time) {
	counts := n.clientServer.listener.Counts()
	event.With(n.options.Log, event.ClientsDraining).WithFields(logrus.Fields{
		"unused": counts.Unused, "idle": counts.Idle, "busy": counts.Busy, "open": n.gateway.Open(), "since_ms": time.Since(started).Milliseconds(),
	}).Info("connections of clients during the stop")
}
