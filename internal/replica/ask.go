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
	// callTimeout bounds one request to one node; a lease outlasts three of them.
	callTimeout = 600 * time.Millisecond
	retryPause  = 20 * time.Millisecond
)

// submit has a command applied and returns its outcome. The command is sent again,
// unchanged, until a leader answers or ctx ends; the state machine recognises the
// repetition.
func (r *Replica) submit(ctx context.Context, c wire.Command) (wire.Outcome, error) {
	message := func() any {
		if r.config.hooks.newID && c.Change != nil {
			again := *c.Change
			again.ID = newID()
			c.Change = &again
		}
		return c
	}
	got, _, err := ask(ctx, r, kindPropose, message, func(p wire.Proposed) (bool, string) { return p.Elsewhere, p.Leader })
	switch {
	case err != nil:
		return wire.Outcome{}, err
	case got.Outcome == nil:
		return wire.Outcome{}, fmt.Errorf("%w: the leader gave no outcome", ErrUnavailable)
	}
	return *got.Outcome, nil
}

// ask sends a request to the leader, wherever it is, until it is answered or ctx
// ends. It returns the answer and the time just before the answered request was
// sent. The function where tells whether a reply points to another node.
func ask[T any](ctx context.Context, r *Replica, kind string, message func() any, where func(T) (bool, string)) (T, boottime.Moment, error) {
	target, next := r.Leader(), rand.Int()
	var last error
	for ctx.Err() == nil {
		if known := r.known(); target == "" && len(known) > 0 {
			target = known[next%len(known)]
			next++
		}
		var reply T
		sent := boottime.Take()
		err := r.askOne(ctx, target, kind, message(), &reply)
		away, leader := where(reply)
		if err == nil && !away {
			r.learnLeader(target)
			return reply, sent, nil
		}
		last = err
		if target == r.Leader() {
			r.learnLeader("")
		}
		if err != nil || leader == target {
			leader = ""
		}
		target = leader
		select {
		case <-ctx.Done():
		case <-time.After(retryPause/2 + rand.N(retryPause)):
		}
	}
	var none T
	return none, boottime.Moment{}, fmt.Errorf("%w: %w", ErrUnavailable, errors.Join(last, ctx.Err()))
}

// known lists the nodes that may lead or know the leader: the seeds of the settings
// and the voters with a session, since seeds may have been replaced.
func (r *Replica) known() []string {
	names := slices.Clone(r.config.Seeds)
	for _, n := range r.view.lease.Load().view.SortedNodes() {
		if n.Voter && !slices.Contains(names, n.Name) {
			names = append(names, n.Name)
		}
	}
	return names
}

// askOne asks one node; this node's own part is called directly.
func (r *Replica) askOne(ctx context.Context, target, kind string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if target == r.config.Entry.Name {
		err := r.askSelf(ctx, kind, message, reply)
		if err == nil && r.config.hooks.reply != nil {
			err = r.config.hooks.reply(kind)
		}
		return err
	}
	if r.lost(target, kind) {
		<-ctx.Done()
		return ctx.Err()
	}
	if n := r.config.hooks.sent; n != nil {
		n.Add(2) // the request and its reply
	}
	err := r.config.Links.Call(ctx, target, kind, message, reply)
	if err != nil && ctx.Err() != nil {
		r.config.Links.CloseIfSilent(target)
	}
	if err == nil && r.config.hooks.reply != nil {
		err = r.config.hooks.reply(kind)
	}
	return err
}

func (r *Replica) askSelf(ctx context.Context, kind string, message, reply any) error {
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

// lost reports whether a test cuts the way to a node.
func (r *Replica) lost(to, kind string) bool {
	return r.config.hooks.cut != nil && r.config.hooks.cut(to, kind)
}

func (r *Replica) learnLeader(name string) {
	if r.Leader() != name {
		r.leader.Store(&name)
	}
}
