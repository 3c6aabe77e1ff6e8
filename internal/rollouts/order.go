package rollouts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/rollout"
)

// Errors of operators' orders.
var (
	// ErrConflict means that the rollout or its service was changed meanwhile.
	ErrConflict = errors.New("the rollout was changed meanwhile; look at it and try again")
	// ErrUnknown means that there is nothing to act on.
	ErrUnknown = errors.New("not known")
	// ErrLease means that the node has no session lease.
	ErrLease = errors.New("this node has lost contact with the replicated state; ask another one")
)

// Order asks for a rollout.
type Order struct {
	// ID is the rollout's identity; an order that is sent again under its id returns
	// the rollout that it started.
	ID      string    `json:"id"`
	Service string    `json:"service"`
	To      string    `json:"to"`
	By      time.Time `json:"by"`
	// Force starts a version that was judged bad before.
	Force bool `json:"force"`
}

// Standing is a rollout with the leader's latest decision.
type Standing struct {
	rollout.Rollout
	// Reasons say what the present step waits for, or why the rollout ended. Only the
	// leader knows them while the rollout runs.
	Reasons   []rollout.Reason `json:"reasons"`
	Forecast  time.Time        `json:"forecast"`
	Remaining time.Duration    `json:"remaining"`
}

// Start begins a rollout.
func (c *Controller) Start(ctx context.Context, o Order) (rollout.Rollout, error) {
	now := c.Now()
	view, ok := c.State.View(now)
	if !ok {
		return rollout.Rollout{}, ErrLease
	}
	service, ok := view.Services[o.Service]
	if !ok {
		return rollout.Rollout{}, fmt.Errorf("service %q is %w", o.Service, ErrUnknown)
	}
	if service.Version == o.To {
		return rollout.Rollout{}, fmt.Errorf("service %q already runs version %q", o.Service, o.To)
	}
	previous, err := find(view, o.Service)
	if err != nil && !errors.Is(err, ErrUnknown) {
		return rollout.Rollout{}, err
	}
	if previous != nil && previous.ID == o.ID {
		return *previous, nil
	}
	rules := service.Rollout
	r, err := rollout.Start(now, previous, rollout.Request{
		ID: o.ID, Service: o.Service, From: service.Version, To: o.To, Deadline: o.By, Force: o.Force,
		Rules: rollout.Rules{Steps: rules.Steps, Canary: rules.Canary, RollbackReserve: rules.RollbackReserve.Std(), Soak: rules.Soak.Std()},
	})
	if err != nil {
		return rollout.Rollout{}, err
	}
	return r, store(ctx, c.State, view, r)
}

// Undo takes a service's rollout back.
func (c *Controller) Undo(ctx context.Context, service, author string) (rollout.Rollout, error) {
	now := c.Now()
	view, ok := c.State.View(now)
	if !ok {
		return rollout.Rollout{}, ErrLease
	}
	r, err := find(view, service)
	if err != nil {
		return rollout.Rollout{}, err
	}
	undone, err := rollout.Rollback(now, *r, author)
	if err != nil {
		return undone, err
	}
	return undone, store(ctx, c.State, view, undone)
}

// List returns the last rollout of each service.
func (c *Controller) List() ([]Standing, error) {
	now := c.Now()
	view, _ := c.State.View(now)
	list := []Standing{}
	for service := range view.Rollouts {
		r, err := find(view, service)
		if err != nil {
			return nil, err
		}
		s := Standing{Rollout: *r, Remaining: max(0, r.Deadline.Sub(now)), Reasons: []rollout.Reason{r.Cause}}
		c.mu.Lock()
		if run := c.runs[r.ID]; run != nil && !r.Phase.Final() {
			s.Reasons, s.Forecast = run.last.Reasons, run.last.Forecast
		}
		c.mu.Unlock()
		list = append(list, s)
	}
	return list, nil
}

func find(view *config.View, service string) (*rollout.Rollout, error) {
	value, ok := view.Rollouts[service]
	if !ok {
		return nil, fmt.Errorf("a rollout of service %q is %w", service, ErrUnknown)
	}
	var r rollout.Rollout
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("rollout of service %q: %w", service, err)
	}
	return &r, nil
}
