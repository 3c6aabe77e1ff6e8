// Package stream parses the streamed answers of model engines (server-sent events)
// and continues an answer on another upstream after the tokens that the caller
// already has.
package stream
