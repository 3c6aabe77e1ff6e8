// Package stream parses the streamed answers of model engines (server-sent events)
// and continues an answer on another upstream after the tokens that the client
// already has.
package stream
