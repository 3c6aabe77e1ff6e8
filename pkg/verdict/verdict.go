package verdict

import (
	"errors"
	"time"
)

// Verdict reports whether a request may have run on an upstream.
type Verdict int

const (
	// MayHaveRun means that at least one byte of the request may have reached an
	// upstream and no answer shows whether the request ran. It is the zero value, so
	// that an error without a verdict is never treated as safe to retry.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream has run or will run the request.
	NotRun
	// Ran means that an upstream ran the request, even if its answer was lost.
	Ran
)

// String returns the form used in problem documents and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Code is a stable, documented identifier for a kind of failure.
type Code string

// Codes of the failures that are returned to clients, as listed in docs/operators.md.
const (
	CodeBadRequest        Code = "bad-request"
	CodeUnauthenticated   Code = "unauthenticated"
	CodeUnknownService    Code = "unknown-service"
	CodeUnknownModel      Code = "unknown-model"
	CodeTooLarge          Code = "too-large"
	CodeOverloaded        Code = "overloaded"
	CodeAccountLimit      Code = "account-limit"
	CodeDeadline          Code = "deadline-cannot-be-met"
	CodeDeadlineExceeded  Code = "deadline-exceeded"
	CodeNoUpstream        Code = "no-upstream"
	CodeLeaseExpired      Code = "configuration-lease-expired"
	CodeShuttingDown      Code = "shutting-down"
	CodeUpstreamFailed    Code = "upstream-failed"
	CodeCrashes           Code = "request-crashes-upstreams"
	CodeKeyRequired       Code = "idempotency-key-required"
	CodeKeyReused         Code = "idempotency-key-reused"
	CodeKeyExpired        Code = "idempotency-key-expired"
	CodeOutcomeUnknown    Code = "outcome-unknown"
	CodeStateUnavailable  Code = "state-unavailable"
	CodeInternal          Code = "internal"
	CodeAnswerTooLarge    Code = "answer-too-large"
	CodeCallerGone        Code = "caller-gone"
	CodeMethodNotAllowed  Code = "method-not-allowed"
	CodeTooManyKeys       Code = "too-many-idempotency-keys"
	CodeInProgress        Code = "still-in-progress"
	CodeRequestIncomplete Code = "request-incomplete"
)

// Error is the failure of a request, with its verdict.
type Error struct {
	// Verdict is NotRun only when no byte of the request can have reached an
	// upstream or the upstream reported that it did not run the request.
	Verdict Verdict
	// Code has the same meaning in all releases.
	Code Code
	// Status is the HTTP status code of the response, 400 to 599.
	Status int
	// RetryAfter is how long the client should wait before a retry; zero if waiting
	// does not help.
	RetryAfter time.Duration
	// Detail is one sentence that explains the failure to a person. It must not
	// contain request content or secrets.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Code) + " (" + e.Verdict.String() + "): " + e.Detail
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of the first Error in err's chain, or MayHaveRun if there is
// none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns the first Error in err's chain. If there is none, it wraps err in an
// Error with CodeInternal and the verdict MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Code: CodeInternal, Status: 500, Detail: "the request failed inside jaystage", Cause: err}
}
