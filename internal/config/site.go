// Package config holds the site configuration: client accounts, services,
// failure domains and the rules for rollouts. Operators write it as a base TOML
// file with an overlay per site; the replicated key space stores each account,
// service and domain as an entry of its own; a View is what a node reads.
package config

// Kind tells how a service's requests are handled.
type Kind string

// Kinds of services.
const (
	// KindModel is a service that speaks the OpenAI-compatible API.
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
	// TokenHash is the SHA-256 of the bearer token, hexadecimal.
	TokenHash string `toml:"token" json:"token"`
	// Weight is the account's part of a contended upstream relative to the other
	// accounts. Above zero.
	Weight float64 `toml:"weight" json:"weight"`
	// Concurrency is the most requests that the account may have open over all
	// nodes together; zero for no limit.
	Concurrency int `toml:"concurrency" json:"concurrency"`
	// Class is the class of the account's model requests that name none.
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

// Service is a service that callers use.
type Service struct {
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Version is the version that serves all traffic while no rollout runs.
	Version string `toml:"version" json:"version"`
	// Models lists the model names by which callers address a model service.
	Models []string `toml:"models" json:"models"`
	// Classes lists the classes of requests; the first is the default.
	Classes []Class `toml:"class" json:"class"`
	// Routes lists the routes of a plain service, the most specific first.
	Routes []Route `toml:"route" json:"route"`
	// StatusPath is the path that tells what became of a request, with {key} in place
	// of the idempotency key; empty when the service has none.
	StatusPath string `toml:"status" json:"status"`
	// InitialConcurrency is the number of concurrent requests a newly started upstream gets.
	InitialConcurrency int `toml:"start" json:"start"`
	// Rollout holds the rules for moving traffic to another version.
	Rollout Rollout `toml:"rollout" json:"rollout"`
}

// Class is a kind of request with its targets.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Priority orders classes under overload; the lowest number is shed last.
	Priority int `toml:"priority" json:"priority"`
	// FirstTokenTarget is the target for the first token or byte.
	FirstTokenTarget Duration `toml:"first" json:"first"`
	// InterTokenTarget is the target between two tokens.
	InterTokenTarget Duration `toml:"between" json:"between"`
	// CompletionTarget is the deadline of the whole answer.
	CompletionTarget Duration `toml:"complete" json:"complete"`
	// StallTimeout is the longest silence of an upstream before the request is
	// continued elsewhere.
	StallTimeout Duration `toml:"progress" json:"progress"`
	// Deferrable is true when the class may wait in a queue.
	Deferrable bool `toml:"delay" json:"delay"`
}

// Route is one group of paths of a plain service.
type Route struct {
	// Path is a prefix of the path below /s/SERVICE.
	Path string `toml:"path" json:"path"`
	// Methods lists the methods that the route takes; empty for all.
	Methods []string `toml:"methods" json:"methods"`
	// Class names the class of the route's requests.
	Class string `toml:"class" json:"class"`
	// AtMostOnce is true when a request may run at most once.
	AtMostOnce bool `toml:"once" json:"once"`
	// KeyOptional is true when a Once route takes requests without Idempotency-Key;
	// such a request is recorded under a key of its own.
	KeyOptional bool `toml:"keyless" json:"keyless"`
}

// Rollout holds the rules for moving a service's traffic to another version.
type Rollout struct {
	// Steps lists the shares of traffic of the new version, rising, in (0, 1].
	Steps []float64 `toml:"steps" json:"steps"`
	// Canary is the largest share before the first judgement.
	Canary float64 `toml:"canary" json:"canary"`
	// RollbackReserve is the time reserved before the deadline for taking the rollout back.
	RollbackReserve Duration `toml:"undo" json:"undo"`
	// Soak is the shortest duration of a step; zero for one minute.
	Soak Duration `toml:"soak" json:"soak"`
}
