package caller

import (
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
)

// Versions divides the calls of a service between the versions of its rollout and
// records the results of their attempts.
type Versions interface {
	// Admit counts a new call and reports whether the new version serves it.
	Admit(service string, share config.Share, tokens float64, session string) bool
	// RecordAttempt records the result of an attempt.
	RecordAttempt(now time.Time, r AttemptReport)
}

// Result is the result of an attempt, as evidence about its version.
type Result int

// Results of attempts.
const (
	// ResultAnswered is a complete answer.
	ResultAnswered Result = iota
	// ResultFailed is a refusal, an error response, a stall or a missed deadline.
	ResultFailed
	// ResultCrashed is a connection that broke before any token.
	ResultCrashed
	// ResultTruncated is a connection that broke after part of the answer.
	ResultTruncated
)

// AttemptReport describes one attempt that ended.
type AttemptReport struct {
	Service, Version, Route, Class, Domain string
	Result                                 Result
	// TimeToFirstToken is the time to the first token, or to the response
	// headers if there were no tokens. InterTokenLatency is the mean time between
	// tokens. Both are zero if not measured.
	TimeToFirstToken, InterTokenLatency, CompletionTime time.Duration
	// Joined is when the upstream was first seen in its current incarnation.
	Joined time.Time
}

// SessionHeader is the header with the name of a session, whose calls all stay on
// one version.
const SessionHeader = "X-Session"

// reportAttempt reports the result of an attempt to Versions. It skips client
// disconnects, moves, shutdowns and requests that cannot be sent, which say
// nothing about the version.
func (a *API) reportAttempt(now time.Time, at *attempt, f *failure) {
	if a.Versions == nil || at.version == "" {
		return
	}
	c := at.call
	report := AttemptReport{
		Service: c.service.Name, Version: at.version, Route: c.route, Class: c.class.Name,
		Domain: at.target.Domain, Joined: at.target.Joined,
	}
	if f != nil {
		switch f.kind {
		case kindMoved, kindClientGone, kindShutdown, kindInvalid:
			return
		case kindBroken:
			report.Result = ResultCrashed
			if f.progress {
				report.Result = ResultTruncated
			}
		default:
			report.Result = ResultFailed
		}
	} else if c.status >= http.StatusBadRequest {
		// Invalid requests fail on both versions alike.
		report.Result = ResultFailed
	}
	if n := at.delivered.Load(); n > 0 && !at.firstTokenAt.IsZero() {
		report.TimeToFirstToken = at.firstTokenAt.Sub(at.start)
		if n > 1 {
			report.InterTokenLatency = now.Sub(at.firstTokenAt) / time.Duration(n-1)
		}
	} else if !at.responseStart.IsZero() {
		report.TimeToFirstToken = at.responseStart.Sub(at.start)
	}
	report.CompletionTime = now.Sub(at.start)
	a.Versions.RecordAttempt(now, report)
}
