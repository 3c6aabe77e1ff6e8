// Package routing decides which upstream runs a request and how many requests
// each upstream gets. It is deterministic: the present time is an argument.
package routing
