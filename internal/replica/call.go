package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// callTimeout bounds one request to one node; three of them fit into a lease.
	callTimeout = 600 * time.Millisecond
	retryDelay  = 20 * time.Millisecond
)

var errNoOutcome = fmt.Errorf("%w: the leader gave no outcome", ErrUnavailable)

// submit sends a command to the leader and returns its outcome. It retries with the
// same command until a leader answers or ctx ends; the state machine detects
// duplicates.
func (r *Replica) submit(ctx context.Context, c wire.Command) (wire.Outcome, error) {
	message := func() any {
		if r.config.hooks.newID && c.Change != nil {
			resent := *c.Change
			resent.ID = newID()
			c.Change = &resent
		}
		return c
	}
	got, _, err := callLeader(ctx, r, kindPropose, message, func(p wire.Proposed) (bool, string) { return p.Elsewhere, p.Leader })
	switch {
	case err != nil:
		return wire.Outcome{}, err
	case got.Outcome == nil:
		return wire.Outcome{}, errNoOutcome
	}
	return *got.Outcome, nil
}

// callLeader finds the leader and sends it a request, with retries until a reply
// arrives or ctx ends. It returns the reply and the time just before the answered
// request was sent. The function redirect reports whether a reply refers the requester
// to another node, and to which one if known.
func callLeader[T any](ctx context.Context, r *Replica, kind string, message func() any, redirect func(T) (bool, string)) (T, boottime.Moment, error) {
	target, candidate := r.Leader(), rand.Int()
	var last error
	for ctx.Err() == nil {
		if known := r.leaderCandidates(); target == "" && len(known) > 0 {
			target = known[candidate%len(known)]
			candidate++
		}
		var reply T
		sent := boottime.ReadClocks()
		err := r.callNode(ctx, target, kind, message(), &reply)
		redirected, leader := redirect(reply)
		if err == nil && !redirected {
			r.setLeader(target)
			return reply, sent, nil
		}
		last = err
		if target == r.Leader() {
			r.setLeader("")
		}
		if err != nil || leader == target {
			leader = ""
		}
		target = leader
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		}
	}
	var none T
	return none, boottime.Moment{}, fmt.Errorf("%w: %w", ErrUnavailable, errors.Join(last, ctx.Err()))
}

// leaderCandidates lists the nodes that may be the leader or know it: the seeds of the
// settings and the voters with a session, since seeds may have been replaced.
func (r *Replica) leaderCandidates() []string {
	names := slices.Clone(r.config.Seeds)
	for _, n := range r.view.lease.Load().view.SortedNodes() {
		if n.Voter && !slices.Contains(names, n.Name) {
			names = append(names, n.Name)
		}
	}
	return names
}

// callNode sends a request to one node; for this node it calls the handler directly.
func (r *Replica) callNode(ctx context.Context, target, kind string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if target == r.config.Entry.Name {
		err := r.callLocal(ctx, kind, message, reply)
		if err == nil && r.config.hooks.onReply != nil {
			err = r.config.hooks.onReply(kind)
		}
		return err
	}
	if r.dropped(target, kind) {
		<-ctx.Done()
		return ctx.Err()
	}
	if n := r.config.hooks.sentMessages; n != nil {
		n.Add(2) // the request and its reply
	}
	err := r.config.Links.Call(ctx, target, kind, message, reply)
	if err != nil && ctx.Err() != nil {
		r.config.Links.CloseIfSilent(target)
	}
	if err == nil && r.config.hooks.onReply != nil {
		err = r.config.hooks.onReply(kind)
	}
	return err
}

func (r *Replica) callLocal(ctx context.Context, kind string, message, reply any) error {
	body, err := wire.Marshal(message)
	if err != nil {
		return err
	}
	result, err := r.handlers()[kind](ctx, r.config.Entry.Name, body)
	if err != nil {
		return err
	}
	body, err = wire.Marshal(result)
	if err != nil {
		return err
	}
	return wire.Unmarshal(body, reply)
}

// dropped reports whether a test drops messages of a kind to or from a node.
func (r *Replica) dropped(to, kind string) bool {
	return r.config.hooks.drop != nil && r.config.hooks.drop(to, kind)
}

func (r *Replica) setLeader(name string) {
	if r.Leader() != name {
		r.leader.Store(&name)
		now := time.Now()
		r.leaderSince.Store(&now)
	}
}
