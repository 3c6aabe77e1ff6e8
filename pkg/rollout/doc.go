// Package rollout decides how traffic moves from one version of a service to
// another. It is deterministic: every decision takes the current time as an argument.
package rollout
