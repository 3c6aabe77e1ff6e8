package gateway

import (
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// call is one request of a client. Only its own goroutine uses it.
type call struct {
	g *Gateway
	w http.ResponseWriter
	r *http.Request

	start time.Time
	// limit is when the client or the route wants the final answer at the latest.
	deadline time.Time
	id       string
	view     *config.View
	route    *traffic.Route
	service  *traffic.Service
	account  *traffic.Account // nil on public routes
	body     []byte
	prompt   placement.Request
	cost     float64 // what the account is charged

	// limited is why the account's limit refused the call; nil when it did not.
	limitRefusal *spendResult

	// sent counts the upstreams that the call was sent to.
	attempts int
	// ran is the verdict of the last attempt that may have run; nil when none may.
	possiblyRan *verdict.Verdict
	// status is that of the answer that was passed on, or zero.
	status int

	// candidates is the number of upstreams at the last choice, and bars counts those
	// that could not get the call, by reason.
	candidates int
	exclusions map[string]int

	headersSent   bool // the client has the status and headers
	lastEvent     string
	version       string        // of the upstream that answered
	upstream      string        // the last one that the call was sent to
	cachedShare   float64       // the part of the shared prompt that it should hold
	expectedDelay time.Duration // delay that was expected there
	firstByteAt   time.Time
}

// priority returns the call's rank, 0 first.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// left returns the time until the call's limit.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// mayHaveRun returns the verdict over all attempts.
func (c *call) overallVerdict() verdict.Verdict {
	if c.possiblyRan == nil {
		return verdict.NotRun
	}
	return *c.possiblyRan
}
