package replica

import (
	"context"
	"errors"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

// awaitTimeout is how long the leader holds a request that waits for a version to be
// in force or for a booking to end.
const awaitTimeout = 400 * time.Millisecond

// handlers returns the handlers for requests from other nodes and from this node.
func (r *Replica) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		kindPropose: r.onPropose, kindRenew: r.onRenew, kindAwait: r.onAwait, kindBooking: r.onBooking, kindLookup: r.onLookup, kindVoters: r.onVoters,
		kindHistory: r.onHistory, kindCurrent: r.onCurrent,
	}
}

// isRedirect reports whether an error means that the requester must try another node.
func isRedirect(err error) bool {
	return errors.Is(err, errNotLeader) || errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrNotReady) || errors.Is(err, raft.ErrTransferInProgress)
}

func (r *Replica) onPropose(ctx context.Context, _ string, body []byte) (any, error) {
	var c wire.Command
	if err := wire.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if r.voter == nil {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	if c.Session != nil && c.Session.Up {
		// The check for an earlier session needs all committed commands to be applied.
		if err := r.voter.linearizableRead(func(*leaderState) {}); err != nil {
			return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
		}
	}
	o, err := r.voter.propose(ctx, request{command: &c, answer: make(chan result, 1)})
	switch {
	case errors.Is(err, errEarlierSession):
		return wire.Proposed{Outcome: &wire.Outcome{Fault: faultEarlierSession}}, nil
	case isRedirect(err):
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	case err != nil:
		return nil, err
	}
	reply := wire.Proposed{Outcome: &o}
	if c.Session != nil && c.Session.Up && o.Fault == "" {
		reply.Grant = r.firstGrant(*c.Session)
	}
	return reply, nil
}

// firstGrant returns the lease that comes with the start of a session, so that a node which
// starts need not ask again: hundreds may start together, each on a part of a core. It returns
// nil if the node must ask.
func (r *Replica) firstGrant(s wire.Session) *wire.Grant {
	var grant wire.Grant
	err := r.voter.linearizableRead(func(l *leaderState) {
		grant = l.renew(wire.Renew{Node: s.Node, Incarnation: s.Incarnation, Version: s.Version})
	})
	if err != nil || grant.Ended {
		return nil
	}
	return &grant
}

// propose sends a request to the loop and waits for its outcome.
func (v *voter) propose(ctx context.Context, q request) (wire.Outcome, error) {
	select {
	case v.inbox <- q:
	case <-ctx.Done():
		return wire.Outcome{}, ctx.Err()
	}
	select {
	case res := <-q.answer:
		return res.outcome, res.err
	case <-ctx.Done():
		return wire.Outcome{}, ctx.Err()
	}
}

func (r *Replica) onRenew(_ context.Context, from string, body []byte) (any, error) {
	var request wire.Renew
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if request.Node != from {
		return nil, errors.New("a node renews only its own session")
	}
	if r.voter == nil {
		return wire.Grant{Elsewhere: true, Leader: r.Leader()}, nil
	}
	var grant wire.Grant
	err := r.voter.linearizableRead(func(l *leaderState) { grant = l.renew(request) })
	if isRedirect(err) {
		return wire.Grant{Elsewhere: true, Leader: r.Leader()}, nil
	}
	return grant, err
}

func (r *Replica) onAwait(ctx context.Context, _ string, body []byte) (any, error) {
	var request wire.Await
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if r.voter == nil {
		return wire.Awaited{Elsewhere: true, Leader: r.Leader()}, nil
	}
	reply, err := r.await(ctx, func(l *leaderState, answer chan any) { l.awaitInForce(request.Version, answer) })
	if isRedirect(err) {
		return wire.Awaited{Elsewhere: true, Leader: r.Leader()}, nil
	}
	return reply, err
}

func (r *Replica) onBooking(ctx context.Context, _ string, body []byte) (any, error) {
	var request wire.Booking
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if r.voter == nil {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	reply, err := r.await(ctx, func(l *leaderState, answer chan any) { l.awaitBooking(request, answer) })
	if isRedirect(err) {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	return reply, err
}

func (r *Replica) onLookup(_ context.Context, _ string, body []byte) (any, error) {
	var request wire.Booking
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if r.voter == nil {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	var booked wire.Booked
	err := r.voter.linearizableRead(func(l *leaderState) { booked = l.v.machine.Lookup(request) })
	if isRedirect(err) {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	return wire.Proposed{Outcome: &wire.Outcome{Booked: &booked}}, err
}

// await registers a request with the leader state and waits for its answer.
func (r *Replica) await(ctx context.Context, register func(*leaderState, chan any)) (any, error) {
	answer := make(chan any, 1)
	if err := r.voter.linearizableRead(func(l *leaderState) { register(l, answer) }); err != nil {
		return nil, err
	}
	select {
	case reply := <-answer:
		if reply == nil { // cancelWaiters: this member no longer leads
			return nil, errNotLeader
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *Replica) onPush(_ context.Context, from string, body []byte) (any, error) {
	var delta wire.Delta
	if err := wire.Unmarshal(body, &delta); err != nil {
		return nil, err
	}
	if !r.dropped(from, kindPush) {
		r.applyPush(delta)
	}
	return nil, nil
}

// applyPush puts pushed changes in force at once. It triggers the renewal that reports this
// to the leader, unless only nodes have changed: if every node of a large fleet renewed for
// every start of a session, the leader would have no time left for the starts.
func (r *Replica) applyPush(delta wire.Delta) {
	if _, err := r.view.applyPush(delta); err != nil {
		event.With(r.config.Log, event.ViewFailed).WithError(err).Error("cannot apply pushed configuration changes")
	}
	if isUrgent(delta) {
		r.session.wakeUp()
	}
}

// logLeaseChange logs whether the lease was lost or gained since the last call.
func (r *Replica) logLeaseChange() {
	_, valid := r.view.get(boottime.ReadClocks())
	if r.view.loggedValid.Swap(valid) == valid {
		return
	}
	if valid {
		event.With(r.config.Log, event.LeaseGained).WithField("version", r.view.version()).Info("session lease gained")
		return
	}
	event.With(r.config.Log, event.LeaseLost).Warn("session lease expired; this node admits no requests")
}
