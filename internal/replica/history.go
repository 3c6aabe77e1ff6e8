package replica

import (
	"context"
	"slices"

	"github.com/jaystage/jaystage/pkg/wire"
)

// History returns the retained changes of the key space after a version, oldest first.
// They include starts and ends of sessions.
func (r *Replica) History(ctx context.Context, version uint64) ([]wire.Record, error) {
	got, _, err := callLeader(ctx, r, kindHistory, func() any { return wire.Question{Version: version} },
		func(p wire.Past) (bool, string) { return p.Elsewhere, p.Leader })
	return got.Records, err
}

func (r *Replica) onHistory(_ context.Context, _ string, body []byte) (any, error) {
	var request wire.Question
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if r.voter == nil {
		return wire.Past{Elsewhere: true, Leader: r.Leader()}, nil
	}
	var out wire.Past
	err := r.voter.linearizableRead(func(l *leaderState) {
		for _, record := range l.v.machine.Space.History {
			if record.Version > request.Version {
				out.Records = append(out.Records, record)
			}
		}
		out.Records = slices.Clone(out.Records)
	})
	if isRedirect(err) {
		return wire.Past{Elsewhere: true, Leader: r.Leader()}, nil
	}
	return out, err
}
