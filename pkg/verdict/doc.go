// Package verdict defines an error type that reports whether a request may have run
// on an upstream. Every failure returned to a client carries a verdict, so that the client
// can decide whether a retry is safe.
package verdict
