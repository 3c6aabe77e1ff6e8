package caller

import (
	"context"

	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Bookings records requests that may run at most once.
type Bookings interface {
	Begin(ctx context.Context, b wire.Booking) (*replica.Attempt, wire.Booked, error)
	Await(ctx context.Context, b wire.Booking) (wire.Booked, error)
	Settle(ctx context.Context, b wire.Booking, answer wire.Answer) (wire.Booked, error)
}
