// Package problem writes error responses as application/problem+json documents (RFC
// 9457).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Document is the body of an error response.
type Document struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail"`
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
}

// New returns the document for an error.
func New(e *verdict.Error) Document {
	return Document{
		Type: "urn:jaystage:problem:" + string(e.Code), Title: http.StatusText(e.Status),
		Status: e.Status, Detail: e.Detail, Code: e.Code, Verdict: e.Verdict.String(),
	}
}

// WholeSeconds formats a Retry-After value as RFC 9110 defines it, rounded up.
func WholeSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// FractionalSeconds formats a Retry-After value for clients that accept fractions of a
// second.
func FractionalSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// Write sends the error response. formatRetryAfter formats the Retry-After value.
func Write(w http.ResponseWriter, e *verdict.Error, formatRetryAfter func(time.Duration) string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	// The status has been sent. An error means that the client is gone; ignore it.
	_ = json.NewEncoder(w).Encode(New(e))
}
