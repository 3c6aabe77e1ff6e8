package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// abandonTimeout covers an election and the end of a session.
	abandonTimeout = 5 * time.Second
	// recordTimeout is how long a node tries to record the answer of a booking.
	recordTimeout = time.Minute
)

// Attempt is one attempt of this node to run a booking.
type Attempt struct {
	r       *Replica
	command wire.Command
	release func()
}

// Begin records the intent to send a request. The request may be sent only if the
// result is fresh; the caller must then end the attempt with Finish, Orphan or
// Abandon. After an error or any other result the attempt has already ended.
func (r *Replica) Begin(ctx context.Context, b wire.Booking) (*Attempt, wire.Booked, error) {
	b.Verb, b.Attempt = state.VerbBegin, newID()
	a := &Attempt{r: r, command: wire.Command{Booking: &b}}
	release, err := r.session.assignSeq(&a.command)
	if err != nil {
		return nil, wire.Booked{}, err
	}
	a.release = release
	o, err := r.submit(ctx, a.command)
	if err == nil && o.Fault == "" {
		if !o.Booked.Fresh {
			release()
		}
		return a, *o.Booked, nil
	}
	// The command may still be applied; abandoning the attempt then frees the key.
	if abandonErr := a.Abandon(ctx); abandonErr != nil {
		return nil, wire.Booked{}, fmt.Errorf("%w: %w", ErrIntentOpen, abandonErr)
	}
	if err == nil {
		err = fmt.Errorf("%w: %s", ErrNoSession, o.Fault)
	}
	return nil, wire.Booked{}, err
}

// Abandon frees the key. It returns nil once that is committed. The request must not
// have been sent before the call and must not be sent after it.
func (a *Attempt) Abandon(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	defer a.release()
	o, err := a.r.submit(ctx, a.commandFor(state.VerbAbandon, nil))
	if err == nil && o.Booked.State != state.StateAbandoned {
		err = fmt.Errorf("the booking is %s", o.Booked.State)
	}
	return err
}

// Finish records the answer. The channel receives one value: nil once the answer is
// recorded, or an error. Recording continues after ctx has ended.
func (a *Attempt) Finish(ctx context.Context, answer wire.Answer) <-chan error {
	done := make(chan error, 1)
	a.r.background.run(ctx, recordTimeout, func(ctx context.Context) {
		defer a.release()
		o, err := a.r.submit(ctx, a.commandFor(state.VerbFinish, &answer))
		if err == nil && (o.Booked == nil || o.Booked.State != state.StateDone) {
			err = fmt.Errorf("the answer was not recorded: %s", o.Fault)
		}
		if err != nil {
			event.With(a.r.config.Log, event.BookingUnsettled).WithError(err).Error("cannot record the answer of a booking; duplicates are refused")
		}
		done <- err
	})
	return done
}

// Orphan records that the request was sent and that this node will receive no answer.
// It returns nil once that is committed. The end of the session has the same effect.
func (a *Attempt) Orphan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	defer a.release()
	_, err := a.r.submit(ctx, a.commandFor(state.VerbOrphan, nil))
	return err
}

// ID returns the unique id of the attempt.
func (a *Attempt) ID() string { return a.command.Booking.Attempt }

func (a *Attempt) commandFor(verb string, answer *wire.Answer) wire.Command {
	c := a.command
	b := *c.Booking
	b.Verb, b.Answer = verb, answer
	c.Booking = &b
	return c
}

// Settle records the answer of a booking that may have run, as reported by the
// service's status lookup.
func (r *Replica) Settle(ctx context.Context, b wire.Booking, answer wire.Answer) (wire.Booked, error) {
	b.Verb, b.Answer = state.VerbSettle, &answer
	o, err := r.submit(ctx, wire.Command{Booking: &b})
	if err != nil {
		return wire.Booked{}, err
	}
	if o.Booked == nil {
		return wire.Booked{}, fmt.Errorf("the answer was not recorded: %s", o.Fault)
	}
	return *o.Booked, nil
}

// Lookup returns the leader's state of a booking without recording an intent. The
// state of a free key is StateAbandoned.
func (r *Replica) Lookup(ctx context.Context, b wire.Booking) (wire.Booked, error) {
	got, _, err := callLeader(ctx, r, kindLookup, func() any { return b },
		func(p wire.Proposed) (bool, string) { return p.Elsewhere, p.Leader })
	switch {
	case err != nil:
		return wire.Booked{}, err
	case got.Outcome == nil || got.Outcome.Booked == nil:
		return wire.Booked{}, fmt.Errorf("%w: the leader gave no state of the booking", ErrUnavailable)
	}
	return *got.Outcome.Booked, nil
}

// Await returns the state of a booking once it is no longer running, or an error when
// ctx ends first.
func (r *Replica) Await(ctx context.Context, b wire.Booking) (wire.Booked, error) {
	for {
		got, _, err := callLeader(ctx, r, kindBooking, func() any { return b },
			func(p wire.Proposed) (bool, string) { return p.Elsewhere, p.Leader })
		if err != nil {
			return wire.Booked{}, err
		}
		if got.Outcome != nil && got.Outcome.Booked != nil && got.Outcome.Booked.State != state.StateRunning {
			return *got.Outcome.Booked, nil
		}
	}
}

// Order executes one operation on an order lease, such as acquiring it. The lease ends
// with the node's session; its holder may send orders only while View reports a valid
// session lease.
func (r *Replica) Order(ctx context.Context, o wire.Order) (wire.Ordered, error) {
	c := wire.Command{Order: &o}
	release, err := r.session.assignSeq(&c)
	if err != nil {
		return wire.Ordered{}, err
	}
	defer release()
	out, err := r.submit(ctx, c)
	switch {
	case err != nil:
		return wire.Ordered{}, err
	case out.Ordered == nil:
		return wire.Ordered{}, fmt.Errorf("%w: %s", ErrNoSession, out.Fault)
	}
	return *out.Ordered, nil
}

// background runs work that outlives its request; the replica waits for it before
// it stops.
type background struct {
	group sync.WaitGroup
	stop  chan struct{} // closed to cancel the work
}

func (b *background) run(ctx context.Context, timeout time.Duration, f func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	b.group.Go(func() {
		defer cancel()
		f(ctx)
	})
	b.group.Go(func() {
		select {
		case <-b.stop:
			cancel()
		case <-ctx.Done():
		}
	})
}

// wait returns once the work has ended; it cancels the work after the timeout.
func (b *background) wait(timeout time.Duration) {
	stop := time.AfterFunc(timeout, func() { close(b.stop) })
	defer stop.Stop()
	b.group.Wait()
}
