package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const moveInterval = 250 * time.Millisecond

func encode(v any) ([]byte, error) { return json.Marshal(v) }

// mover carries out moves of traffic to new versions while this voter leads.
type mover struct {
	c *Control
	// bases holds the counts at the time when this leader first saw each move.
	bases map[string]moveBase
}

type moveBase struct {
	term    uint64
	started int64
	counts  map[countKey]wire.VersionUse
}

type countKey struct{ version, route string }

// StartMove orders the move of a service's traffic to a version.
func (c *Control) StartMove(ctx context.Context, now time.Time, service, target string, within time.Duration) error {
	view, err := c.State.Current(ctx)
	if err != nil {
		return err
	}
	if m, ok := view.Moves[service]; ok && m.Target == target && (m.Phase == config.MoveRunning || now.UnixMilli() < m.Deadline) {
		return nil // the same order again
	}
	return c.write(ctx, config.PrefixMove+service, config.Move{
		Service: service, Target: target, Started: now.UnixMilli(), Deadline: now.Add(within).UnixMilli(), Phase: config.MoveRunning,
	})
}

// Move returns the move of a service that was ordered last.
func (c *Control) Move(ctx context.Context, service string) (config.Move, bool, error) {
	view, err := c.State.Current(ctx)
	if err != nil {
		return config.Move{}, false, err
	}
	m, ok := view.Moves[service]
	return m, ok, nil
}

func (m *mover) run(ctx context.Context, now time.Time) {
	term, leads := m.c.State.Leading()
	view, valid := m.c.State.View(now)
	if !leads || !valid {
		return
	}
	for service, move := range view.Moves {
		if move.Phase == config.MoveRunning {
			m.step(ctx, now, term, service, move)
		}
	}
}

// step takes the next step of one move and records it.
func (m *mover) step(ctx context.Context, now time.Time, term uint64, service string, move config.Move) {
	state := m.state(term, service, move)
	step := state.Step(now)
	next := move
	next.Share = step.Share
	switch {
	case step.Done:
		next.Phase = config.MoveDone
	case step.UndoReason != "":
		next.Phase, next.Share, next.Cause = config.MoveUndone, 0, step.UndoReason
	}
	if next == move {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	err := m.c.write(ctx, config.PrefixMove+service, next)
	event.With(m.c.Log, event.MoveStep).WithFields(logrus.Fields{
		"service": service, "target": move.Target, "phase": next.Phase, "share": next.Share, "cause": next.Cause, "present": state.HasUpstreams,
		"next": state.NewVersion, "before": state.OldVersions, "term": term,
	}).WithError(err).Info("move takes a step")
}

// state collects what the judge of a move needs.
func (m *mover) state(term uint64, service string, move config.Move) traffic.MoveState {
	counts := make(map[countKey]wire.VersionUse)
	for _, v := range m.c.ledger.versions(service) {
		key := countKey{v.Version, v.Route}
		sum := counts[key]
		sum.Sent, sum.Bad, sum.Millis = sum.Sent+v.Sent, sum.Bad+v.Bad, sum.Millis+v.Millis
		counts[key] = sum
	}
	base, ok := m.bases[service]
	if !ok || base.term != term || base.started != move.Started {
		base = moveBase{term, move.Started, counts}
		if m.bases == nil {
			m.bases = make(map[string]moveBase)
		}
		m.bases[service] = base
	}
	s := traffic.MoveState{
		Started: time.UnixMilli(move.Started), Deadline: time.UnixMilli(move.Deadline), Share: move.Share, MaxExposure: m.c.Exposure,
	}
	for _, e := range m.c.roster.List() {
		s.HasUpstreams = s.HasUpstreams || e.Service == service && e.Version == move.Target && !e.Leaving
	}
	for key, v := range counts {
		from := base.counts[key]
		// A node that restarted counts anew, so a sum may fall below its base.
		o := traffic.Outcomes{
			Route: key.route, Requests: int(v.Sent - min(v.Sent, from.Sent)), Failures: int(v.Bad - min(v.Bad, from.Bad)),
			TotalDuration: time.Duration(v.Millis-min(v.Millis, from.Millis)) * time.Millisecond,
		}
		if key.version == move.Target {
			s.NewVersion = append(s.NewVersion, o)
		} else {
			s.OldVersions = append(s.OldVersions, o)
		}
	}
	return s
}
