// Package verdict defines the error type that tells whether a request may have
// run on an upstream. Every failure that reaches a caller carries a verdict, so
// that the caller can decide whether sending the request again is safe.
package verdict
