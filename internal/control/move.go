package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaystage/jaystage/internal/config"
)

const moveInterval = 250 * time.Millisecond

func encode(v any) ([]byte, error) { return json.Marshal(v) }

// mover carries out moves of traffic to new versions while this voter leads.
type mover struct{ c *Control }

// StartMove orders the move of a service's traffic to a version.
func (c *Control) StartMove(ctx context.Context, now time.Time, service, target string, within time.Duration) error {
	view, err := c.State.Current(ctx)
	if err != nil {
		return err
	}
	if m, ok := view.Moves[service]; ok && m.Target == target {
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

func (m *mover) run(context.Context, time.Time) {}
