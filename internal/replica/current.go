package replica

import (
	"context"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/wire"
)

// currentPollInterval is how often a node checks whether it has caught up with the
// leader.
const currentPollInterval = 5 * time.Millisecond

// Current returns a view that contains every change acknowledged before the call, or
// an error when the leader or a quorum cannot be reached in time.
func (r *Replica) Current(ctx context.Context) (*config.View, error) {
	got, _, err := callLeader(ctx, r, kindCurrent, func() any { return wire.Await{} },
		func(c wire.Current) (bool, string) { return c.Elsewhere, c.Leader })
	if err != nil {
		return nil, err
	}
	for r.view.version() < got.Version {
		r.session.wakeUp()
		select {
		case <-ctx.Done():
			return nil, ErrUnavailable
		case <-time.After(currentPollInterval):
		}
	}
	return r.view.lease.Load().view, nil
}

func (r *Replica) onCurrent(_ context.Context, _ string, _ []byte) (any, error) {
	if r.voter == nil {
		return wire.Current{Elsewhere: true, Leader: r.Leader()}, nil
	}
	var current wire.Current
	err := r.voter.linearizableRead(func(l *leaderState) { current.Version = l.v.machine.Space.Version })
	if isRedirect(err) {
		return wire.Current{Elsewhere: true, Leader: r.Leader()}, nil
	}
	return current, err
}
