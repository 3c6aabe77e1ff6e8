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

// Errors of operator requests.
var (
	// ErrConflict means that the rollout or its service was changed concurrently.
	ErrConflict = errors.New("the rollout was changed meanwhile; look at it and try again")
	// ErrNotFound means that the service or its rollout does not exist.
	ErrNotFound = errors.New("not known")
	// ErrNoLease means that the node has no valid session lease.
	ErrNoLease = errors.New("this node has lost contact with the replicated state; ask another one")
)

// StartRequest is an operator's request to start a rollout.
type StartRequest struct {
	// ID identifies the rollout and makes the request idempotent: a repeated request
	// returns the rollout that the first one started.
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	To       string    `json:"to"`
	Deadline time.Time `json:"by"`
	// Force allows a version that was judged bad in an earlier rollout.
	Force bool `json:"force"`
}

// Status is a rollout with the leader's latest decision.
type Status struct {
	rollout.Rollout
	// Reasons are what the current step waits for, or why the rollout ended. While the
	// rollout runs, only the leader has them.
	Reasons []rollout.Reason `json:"reasons"`
	// Forecast is the expected end time. Only the leader has it.
	Forecast time.Time `json:"forecast"`
	// Remaining is the time until the deadline.
	Remaining time.Duration `json:"remaining"`
}

// Start starts a rollout and records it.
func (c *Controller) Start(ctx context.Context, req StartRequest) (rollout.Rollout, error) {
	now := c.Now()
	view, ok := c.State.View(now)
	if !ok {
		return rollout.Rollout{}, ErrNoLease
	}
	service, ok := view.Services[req.Service]
	if !ok {
		return rollout.Rollout{}, fmt.Errorf("service %q is %w", req.Service, ErrNotFound)
	}
	if service.Version == req.To {
		return rollout.Rollout{}, fmt.Errorf("service %q already runs version %q", req.Service, req.To)
	}
	previous, err := findRollout(view, req.Service)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return rollout.Rollout{}, err
	}
	if previous != nil && previous.ID == req.ID {
		return *previous, nil
	}
	rules := service.Rollout
	r, err := rollout.Start(now, previous, rollout.Request{
		ID: req.ID, Service: req.Service, From: service.Version, To: req.To, Deadline: req.Deadline, Force: req.Force,
		Rules: rollout.Rules{Steps: rules.Steps, Canary: rules.Canary, RollbackReserve: rules.RollbackReserve.Std(), Soak: rules.Soak.Std()},
	})
	if err != nil {
		return rollout.Rollout{}, err
	}
	return r, storeRollout(ctx, c.State, view, r)
}

// Rollback starts the rollback of a service's rollout on behalf of author.
func (c *Controller) Rollback(ctx context.Context, service, author string) (rollout.Rollout, error) {
	now := c.Now()
	view, ok := c.State.View(now)
	if !ok {
		return rollout.Rollout{}, ErrNoLease
	}
	r, err := findRollout(view, service)
	if err != nil {
		return rollout.Rollout{}, err
	}
	rolledBack, err := rollout.Rollback(now, *r, author)
	if err != nil {
		return rolledBack, err
	}
	return rolledBack, storeRollout(ctx, c.State, view, rolledBack)
}

// List returns the latest rollout of each service.
func (c *Controller) List() ([]Status, error) {
	now := c.Now()
	view, _ := c.State.View(now)
	list := []Status{}
	for service := range view.Rollouts {
		r, err := findRollout(view, service)
		if err != nil {
			return nil, err
		}
		s := Status{Rollout: *r, Remaining: max(0, r.Deadline.Sub(now)), Reasons: []rollout.Reason{r.Cause}}
		c.mu.Lock()
		if eval := c.evaluations[r.ID]; eval != nil && !r.Phase.Final() {
			s.Reasons, s.Forecast = eval.lastDecision.Reasons, eval.lastDecision.Forecast
		}
		c.mu.Unlock()
		list = append(list, s)
	}
	return list, nil
}

func findRollout(view *config.View, service string) (*rollout.Rollout, error) {
	value, ok := view.Rollouts[service]
	if !ok {
		return nil, fmt.Errorf("a rollout of service %q is %w", service, ErrNotFound)
	}
	var r rollout.Rollout
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("rollout of service %q: %w", service, err)
	}
	return &r, nil
}
