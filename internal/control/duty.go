package control

import (
	"context"
	"errors"
	"time"
)

// dutyShare is the share of MinLeadTime for which a confirmed leader may call the platform.
// A later leader waits for all of MinLeadTime, so a call has the rest of it to arrive.
const dutyShare = 0.5

// errPaused is returned when too much time has passed since the leadership was confirmed.
var errPaused = errors.New("this process was paused since a quorum confirmed that it leads")

// callPlatform makes a call to the platform that only the leader of a term may make. A
// process that was paused or cut off may not know yet that another one leads, and not
// every platform checks the fencing token, so a quorum confirms the leadership right
// before the call.
func (c *Control) callPlatform(ctx context.Context, term uint64, call func(context.Context) error) error {
	asked := c.bootTime()
	if err := c.State.ConfirmLeading(term); err != nil {
		return err
	}
	remaining := c.dutyRemaining(asked, c.bootTime())
	if remaining <= 0 {
		return errPaused
	}
	ctx, cancel := context.WithTimeout(ctx, min(remaining, callTimeout))
	defer cancel()
	return call(ctx)
}

// dutyRemaining returns how long a voter may call the platform whose leadership was
// confirmed at some moment after asked.
func (c *Control) dutyRemaining(asked, now time.Time) time.Duration {
	if c.MinLeadTime <= 0 {
		return callTimeout // leaders may take turns at any time
	}
	return time.Duration(dutyShare*float64(c.MinLeadTime)) - now.Sub(asked)
}
