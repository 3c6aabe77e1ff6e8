// Package stream follows a streamed answer and continues it on another upstream
// from the tokens that the caller already has.
package stream
