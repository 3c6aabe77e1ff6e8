// Package config holds the site configuration: client accounts, services, failure
// domains and the rules for rollouts. Operators write it as a base TOML file with an
// overlay per site. The replicated key space stores each account, service and domain as
// a separate entry, and a node reads all entries as a View.
package config

// Kind selects how a service's requests are handled.
type Kind string

// Kinds of services.
const (
	// KindModel is a service with the OpenAI-compatible API.
	KindModel Kind = "model"
	// KindPlain is any other HTTP service.
	KindPlain Kind = "plain"
)

// Site is one deployment's configuration.
type Site struct {
	Name     string    `toml:"name" json:"name"`
	Accounts []Account `toml:"account" json:"account"`
	Domains  []Domain  `toml:"domain" json:"domain"`
	Services []Service `toml:"service" json:"service"`
}

// Account is a client account.
type Account struct {
	Name string `toml:"name" json:"name"`
	// TokenHash is the SHA-256 of the bearer token, in hexadecimal.
	TokenHash string `toml:"token" json:"token"`
	// Weight is the account's relative share of contended upstreams, above zero.
	Weight float64 `toml:"weight" json:"weight"`
	// Concurrency is the maximum number of open requests of the account on all nodes
	// together; zero for no limit.
	Concurrency int `toml:"concurrency" json:"concurrency"`
	// Class is the default class of the account's model requests.
	Class string `toml:"class" json:"class"`
}

// Domain is a failure domain.
type Domain struct {
	Name string `toml:"name" json:"name"`
	// Region groups failure domains that are close to each other.
	Region string `toml:"region" json:"region"`
	// Delay is the one-way network delay to the other domains of the region.
	Delay Duration `toml:"delay" json:"delay"`
}

// Service is a service that clients use.
type Service struct {
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Version is the version that serves all traffic when no rollout is running.
	Version string `toml:"version" json:"version"`
	// Models lists the model names by which clients address a model service.
	Models []string `toml:"models" json:"models"`
	// Classes lists the classes of requests; the first is the default.
	Classes []Class `toml:"class" json:"class"`
	// Routes lists the routes of a plain service, the most specific first: the first
	// match is used.
	Routes []Route `toml:"route" json:"route"`
	// StatusPath is the path that returns the outcome of a request, with {key} in place of
	// the idempotency key; empty when the service has no such path.
	StatusPath string `toml:"status" json:"status"`
	// InitialConcurrency is the limit on concurrent requests of a newly started upstream.
	InitialConcurrency int `toml:"start" json:"start"`
	// Rollout holds the rules for moving traffic to another version.
	Rollout Rollout `toml:"rollout" json:"rollout"`
}

// Class is a request class with its latency targets.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Priority orders classes under overload: the class with the lowest number is shed
	// last.
	Priority int `toml:"priority" json:"priority"`
	// FirstTokenTarget is the target for the time to the first token or byte.
	FirstTokenTarget Duration `toml:"first" json:"first"`
	// InterTokenTarget is the target for the time between two tokens.
	InterTokenTarget Duration `toml:"between" json:"between"`
	// CompletionTarget is the deadline of the whole response.
	CompletionTarget Duration `toml:"complete" json:"complete"`
	// ProgressTimeout is how long an upstream may send nothing before the request is
	// continued on another upstream.
	ProgressTimeout Duration `toml:"progress" json:"progress"`
	// Deferrable is true when requests may wait in a queue until just before their
	// deadline.
	Deferrable bool `toml:"delay" json:"delay"`
}

// Route holds the settings of the requests of a plain service under one path prefix.
type Route struct {
	// Path is the prefix of the path after /s/SERVICE.
	Path string `toml:"path" json:"path"`
	// Methods lists the methods that the route matches; empty for all.
	Methods []string `toml:"methods" json:"methods"`
	// Class names the class of the route's requests.
	Class string `toml:"class" json:"class"`
	// AtMostOnce is true when a request must not run more than once.
	AtMostOnce bool `toml:"once" json:"once"`
	// KeyOptional is true when an AtMostOnce route accepts requests without an
	// Idempotency-Key header; such a request is recorded under a generated key.
	KeyOptional bool `toml:"keyless" json:"keyless"`
}

// Rollout holds the rules for moving a service's traffic to another version.
type Rollout struct {
	// Steps lists the new version's traffic shares in increasing order, in (0, 1].
	Steps []float64 `toml:"steps" json:"steps"`
	// Canary is the maximum share of the first step, before the new version is first
	// judged.
	Canary float64 `toml:"canary" json:"canary"`
	// RollbackReserve is the time before the deadline that is reserved for a rollback.
	RollbackReserve Duration `toml:"undo" json:"undo"`
	// Soak is the minimum duration of a step; zero for one minute.
	Soak Duration `toml:"soak" json:"soak"`
}
