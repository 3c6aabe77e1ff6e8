package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const moveInterval = 250 * time.Millisecond

// mover advances the moves of traffic to new versions while this voter leads.
type mover struct {
	c *Control
	// baselines holds, by service, the counts at the time this leader first saw the move.
	baselines map[string]moveBaseline
}

// moveBaseline holds the counts to subtract from later ones of the same move and term.
type moveBaseline struct {
	term    uint64
	started int64
	counts  map[outcomeKey]wire.VersionUse
}

type outcomeKey struct{ version, route string }

// StartMove starts moving a service's traffic to the target version. It replaces the move that
// is the latest one when the order arrives, whatever step that one has reached.
func (c *Control) StartMove(ctx context.Context, now time.Time, service, target string, within time.Duration) error {
	next := config.Move{
		Service: service, Target: target, Started: now.UnixMilli(), Deadline: now.Add(within).UnixMilli(), Phase: config.MoveRunning,
	}
	var replaced *config.Move
	return c.executeOrder(ctx, func(view *config.View) (wire.Item, bool, error) {
		latest := view.Moves[service]
		if latest.Target == target && (latest.Phase == config.MoveRunning || now.UnixMilli() < latest.Deadline) {
			return wire.Item{}, false, nil // a repeated request
		}
		if replaced != nil && !replaced.SameOrder(latest) {
			return wire.Item{}, false, ErrOvertaken
		}
		replaced = &latest
		item, err := encodeItem(config.PrefixMove+service, next)
		return item, true, err
	})
}

// Move returns the latest move of a service; false if there is none.
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
	for _, move := range view.Moves {
		if move.Phase == config.MoveRunning {
			m.step(ctx, now, term, view, move)
		}
	}
}

// step decides the next step of a move of the view and records it, unless the move has
// changed since: an operator may have ordered another one, or another leader have ended it.
func (m *mover) step(ctx context.Context, now time.Time, term uint64, view *config.View, move config.Move) {
	state := m.moveState(term, move.Service, move)
	step := state.Step(now)
	next := move
	next.Share = step.Share
	switch {
	case step.Done:
		next.Phase = config.MoveDone
	case step.UndoReason != "":
		next.Phase, next.Share, next.Cause = config.MoveRolledBack, 0, step.UndoReason
	}
	if next == move {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.c.put(ctx, view, config.PrefixMove+move.Service, next)
	log := event.With(m.c.Log, event.MoveStep).WithFields(logrus.Fields{
		"service": move.Service, "target": move.Target, "phase": next.Phase, "share": next.Share, "cause": next.Cause, "present": state.HasUpstreams,
		"next": state.NewVersion, "before": state.OldVersions, "term": term,
	})
	if err != nil {
		log.WithError(err).Warn("move not advanced; deciding again")
		return
	}
	log.Info("move advanced")
}

// moveState collects the inputs for deciding the next step of a move.
func (m *mover) moveState(term uint64, service string, move config.Move) traffic.MoveState {
	counts := make(map[outcomeKey]wire.VersionUse)
	for _, v := range m.c.ledger.versionUsage(service) {
		key := outcomeKey{v.Version, v.Route}
		sum := counts[key]
		sum.Sent, sum.Bad, sum.Millis = sum.Sent+v.Sent, sum.Bad+v.Bad, sum.Millis+v.Millis
		counts[key] = sum
	}
	baseline, ok := m.baselines[service]
	if !ok || baseline.term != term || baseline.started != move.Started {
		baseline = moveBaseline{term, move.Started, counts}
		if m.baselines == nil {
			m.baselines = make(map[string]moveBaseline)
		}
		m.baselines[service] = baseline
	}
	state := traffic.MoveState{
		Started: time.UnixMilli(move.Started), Deadline: time.UnixMilli(move.Deadline), Share: move.Share, MaxExposure: m.c.MaxExposure,
	}
	for _, e := range m.c.roster.List() {
		state.HasUpstreams = state.HasUpstreams || e.Service == service && e.Version == move.Target && !e.Leaving
	}
	for key, v := range counts {
		start := baseline.counts[key]
		// A restarted node counts from zero, so a sum may fall below its baseline.
		outcomes := traffic.Outcomes{
			Route: key.route, Requests: int(v.Sent - min(v.Sent, start.Sent)), Failures: int(v.Bad - min(v.Bad, start.Bad)),
			TotalDuration: time.Duration(v.Millis-min(v.Millis, start.Millis)) * time.Millisecond,
		}
		if key.version == move.Target {
			state.NewVersion = append(state.NewVersion, outcomes)
		} else {
			state.OldVersions = append(state.OldVersions, outcomes)
		}
	}
	return state
}
