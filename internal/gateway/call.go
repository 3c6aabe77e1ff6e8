package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// call is one client request. Only the goroutine that serves it may use it.
type call struct {
	g *Gateway
	w *clientWriter
	r *http.Request
	// ctx ends when the client leaves or, with the cause errStopped, at the end of a stop.
	ctx    context.Context
	cancel context.CancelCauseFunc

	start time.Time
	// deadline is when the response must be complete.
	deadline time.Time
	id       string
	// stateWait is how long the request waited for the node's lease and plan.
	stateWait time.Duration
	view      *config.View
	route     *traffic.Route
	service   *traffic.Service
	account   *traffic.Account // nil on public routes without a known key, or if the plan has no accounts
	body      []byte
	// bodyAccount counts the body in the node's budget; nil before it is read.
	bodyAccount *bounded.Account
	// bodyRead is when the body was complete; zero before.
	bodyRead time.Time
	phase    phaseValue
	prompt   placement.Request
	// maxOutput is the maximum number of output tokens; zero if the request names none.
	maxOutput int
	cost      float64 // charged to the account, in the units of its limit
	// parts lists what other requests may share that crash upstreams: the parts of the
	// prompt but the last, and, once the body was read, the request as a whole.
	parts []poison.Part

	// limitRefusal is set when the account's limit refused the call.
	limitRefusal *spendResult
	// roomRefusal is set when the call was refused for the room of its service.
	roomRefusal *roomRefusal

	// current is the attempt in progress whose answer is forwarded; nil between attempts.
	current *attempt
	// standbys are the attempts beside it, oldest first, and reports receives each one when its
	// answer has begun or it has failed.
	standbys []*standby
	reports  chan *standby
	// longestSilence is the longest time that a check has found the current attempt silent for.
	longestSilence time.Duration
	// attempts counts the attempts so far. Failed connects do not count.
	attempts int
	// possiblyRan is the verdict of the last attempt that ran or may have run; nil if
	// there was none.
	possiblyRan *verdict.Verdict
	// suspected is true once an upstream crashed under a request that had crashed another one.
	suspected bool
	// status is the status code of the forwarded response, or zero.
	status int

	// candidates is the number of candidates at the last choice, and exclusions counts
	// those that could not be chosen, by reason.
	candidates int
	exclusions map[string]int
	// heldUntil is when the first candidate may get requests again, if all of them wanted
	// none at the last choice; else zero.
	heldUntil time.Time

	// waited is how long the call has waited for places.
	waited time.Duration

	headersSent   bool          // the status and headers were sent to the client
	lastEventID   string        // of the last event with an ID that was sent to the client
	upstreamID    string        // of the last upstream chosen
	via           string        // node through which it was reached; empty if directly
	cachedShare   float64       // estimated share of the shared prompt in its cache
	expectedDelay time.Duration // estimated delay at that upstream
	chosen        choice        // of the last attempt whose answer was awaited
	chosenAt      time.Time     // when that attempt was started; zero before the first
	pauses        pauses        // between the events of a stream
	firstByteAt   time.Time     // when an upstream first started to respond
	answerLostAt  time.Time     // when the answer of an upstream that goes on was last lost
}

// priority returns the call's priority; 0 is the highest.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// remaining returns the time until the call's deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// overallVerdict returns the verdict over all attempts.
func (c *call) overallVerdict() verdict.Verdict {
	if c.possiblyRan == nil {
		return verdict.NotRun
	}
	return *c.possiblyRan
}
