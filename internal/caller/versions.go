package caller

import (
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
)

// Versions divides the calls of a service in a rollout between its versions and
// learns what became of them.
type Versions interface {
	// Admit counts a new call and tells whether the new version serves it.
	Admit(service string, share config.Share, tokens float64, session string) bool
	Ended(now time.Time, e Ended)
}

// Result is how an attempt ended, as far as it speaks of the version.
type Result int

// Results of attempts.
const (
	// ResultAnswered is a whole answer.
	ResultAnswered Result = iota
	// ResultFailed is a refusal, an error answer, a stall or a missed deadline.
	ResultFailed
	// ResultCrashed is the end of the upstream.
	ResultCrashed
	// ResultCut is an answer that ended before it was whole.
	ResultCut
)

// Ended is one attempt that ended.
type Ended struct {
	Service, Version, Route, Class, Domain string
	Result                                 Result
	// First, Between and Complete are zero when there was no such time; Between is
	// the mean.
	First, Between, Complete time.Duration
	// Joined is when the upstream was first seen in its present incarnation.
	Joined time.Time
}

// SessionHeader names a session whose calls stay on one version.
const SessionHeader = "X-Session"

// reportEnd tells Versions how an attempt ended. Callers that left, moves and
// requests that cannot be sent say nothing of the version.
func (a *API) reportEnd(now time.Time, at *attempt, f *failure) {
	if a.Versions == nil || at.version == "" {
		return
	}
	c := at.call
	e := Ended{
		Service: c.service.Name, Version: at.version, Route: c.route, Class: c.class.Name,
		Domain: at.target.Domain, Joined: at.target.Joined,
	}
	if f != nil {
		switch f.kind {
		case kindMoved, kindCallerGone, kindShutdown, kindInvalid:
			return
		case kindBroken:
			e.Result = ResultCrashed
			if f.progress {
				e.Result = ResultCut
			}
		default:
			e.Result = ResultFailed
		}
	} else if c.status >= http.StatusBadRequest {
		// Requests that are wrong by themselves fail on both versions alike.
		e.Result = ResultFailed
	}
	if n := at.delivered.Load(); n > 0 && !at.firstToken.IsZero() {
		e.First = at.firstToken.Sub(at.begun)
		if n > 1 {
			e.Between = now.Sub(at.firstToken) / time.Duration(n-1)
		}
	} else if !at.response.IsZero() {
		e.First = at.response.Sub(at.begun)
	}
	e.Complete = now.Sub(at.begun)
	a.Versions.Ended(now, e)
}
