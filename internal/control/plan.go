package control

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// PutPlan makes p the current plan, or does nothing if the current plan has the same or a
// higher version. It returns once the outcome is recorded on a majority of the voters.
func (c *Control) PutPlan(ctx context.Context, p *traffic.Plan) error {
	if err := p.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	value, err := traffic.Encode(p)
	if err != nil {
		return err
	}
	recorded := false
	err = c.executeOrder(ctx, func(view *config.View) (wire.Item, bool, error) {
		recorded = view.Plan == nil || view.Plan.Version < p.Version
		if !recorded {
			event.With(c.Log, event.PlanUnchanged).WithFields(logrus.Fields{"plan": p.Version, "present": view.Plan.Version}).
				Info("plan ignored: its version is not newer than the current one")
		}
		return wire.Item{Key: config.KeyPlan, Value: value}, recorded, nil
	})
	if err == nil && recorded {
		event.With(c.Log, event.PlanRecorded).WithFields(logrus.Fields{"plan": p.Version, "routes": len(p.Routes)}).Info("plan recorded")
	}
	return err
}

// Plan returns the current plan.
func (c *Control) Plan(ctx context.Context) (*traffic.Plan, error) {
	view, err := c.State.Current(ctx)
	if err != nil {
		return nil, err
	}
	if view.Plan == nil {
		return nil, ErrNoPlan
	}
	return view.Plan, nil
}

// planInterval is how often the leader checks whether an earlier release has recorded the plan.
const planInterval = time.Second

// planConverter rewrites the plan that a voter of an earlier release has recorded, while this
// voter leads: such a plan does not tell a list of accounts that has become empty from none.
type planConverter struct {
	c *Control
	// unreadable is the version of a plan whose document cannot be read.
	unreadable uint64
}

func (p *planConverter) run(ctx context.Context, now time.Time) {
	_, leads := p.c.State.Leading()
	view, valid := p.c.State.View(now)
	if !leads || !valid || p.c.ReadPlan == nil || view.Plan == nil || view.Plan.Access != "" || view.Plan.Version == p.unreadable {
		return
	}
	plan, err := p.c.ReadPlan(view.Plan.Source)
	if err == nil {
		err = plan.Check()
	}
	if err != nil {
		p.unreadable = view.Plan.Version
		p.c.Log.WithError(err).WithField("plan", view.Plan.Version).Warn("plan of an earlier release cannot be read again; it stays in force as it is recorded")
		return
	}
	value, err := traffic.Encode(plan)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = p.c.change(ctx, view, p.c.Self, wire.Item{Key: config.KeyPlan, Value: value})
	}
	if err != nil {
		p.c.Log.WithError(err).Warn("plan of an earlier release not rewritten; trying again")
	}
}
