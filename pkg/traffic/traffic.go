// Package traffic defines the traffic plan of a deployment: its routes, the services
// behind them and the client accounts that may call them. It also holds the rate
// limits, the retry budget and the rules for moving traffic to a new version. It does
// no I/O and reads no clock.
package traffic

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines which requests may be retried.
type Kind string

// Kinds of routes.
const (
	// Lookup requests are idempotent.
	Lookup Kind = "lookup"
	// Booking requests run at most once for each attempt of a client.
	Booking Kind = "booking"
	// Stream requests get a response of numbered events. They run at most once unless
	// the route is resumable.
	Stream Kind = "stream"
)

// Access tells who may use the routes of a plan that are not public.
type Access string

const (
	// AccessOpen lets every request pass, with or without a bearer key.
	AccessOpen Access = "open"
	// AccessKeys lets requests pass that carry a key of an account; none if no account has one.
	AccessKeys Access = "keys"
)

// Plan is one version of the traffic plan. Callers must not modify it.
type Plan struct {
	// Version orders plans; only a higher version replaces the current plan.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	// Access is empty in a plan that a release without it has recorded; see RequiresKey.
	Access Access `json:"access,omitempty"`
	Limits Limits `json:"limits"`
	// Source is the document as the operator sent it, returned when the operator reads
	// the plan.
	Source json.RawMessage `json:"source"`

	routesByHost   map[string][]*Route // longest prefix first
	servicesByName map[string]*Service
	accountsByKey  map[string]*Account // by HashKey of the bearer key
}

// Route matches requests by host and path prefix and defines how they are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix starts and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time from a request to the end of its response.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the target for the time to the response, or to the first event of
	// a stream. A later response is worth less to the client.
	TargetLatency time.Duration `json:"objective"`
	// TargetGap is the target for the time between two events of a stream.
	TargetGap time.Duration `json:"gap"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int      `json:"priority"`
	Split    []Weight `json:"split"`
	// MaxAttempts is the largest number of attempts on upstreams for one attempt of a
	// client; at least 1.
	MaxAttempts int `json:"attempts"`
	// Public is true when requests need no bearer key.
	Public bool `json:"public"`
	// HasPrompt is true when requests carry a prompt for a model engine.
	HasPrompt bool `json:"prompt"`
	// Resumable is true when a stream may continue on another upstream.
	Resumable bool `json:"resume"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Lookup || (r.Kind == Stream && r.Resumable) }

// Weight is a service's share of a route, relative to the other weights.
type Weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path for health checks.
	HealthPath string `json:"health"`
	// MaxConnections is the number of connections that one upstream accepts from all
	// nodes together.
	MaxConnections int `json:"connections"`
	// ColdDuration is how long an upstream is cold after its start.
	ColdDuration time.Duration `json:"cold"`
	// MaxColdRate is the number of requests per second that a cold upstream tolerates from
	// all nodes together; zero means no limit.
	MaxColdRate float64  `json:"coldrate"`
	Engine      *Engine  `json:"engine,omitempty"`
	Scaling     *Scaling `json:"scaling,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `json:"slots"`
	// KVCacheTokens is the capacity of the KV cache in tokens.
	KVCacheTokens int `json:"memory"`
	// KVBackup is true when engines copy the KV cache of a running request to another
	// engine as it grows.
	KVBackup bool `json:"backups"`
	// KVTransfer is true when engines copy the KV cache of a running request to another
	// engine on demand.
	KVTransfer bool `json:"moves"`
}

// Scaling bounds the number of upstreams that may be ordered in each failure domain.
type Scaling struct {
	Min      int           `json:"min"`
	Max      int           `json:"max"`
	BootTime time.Duration `json:"boot"`
	// SpotPriceRatio is the price of a spot upstream, which may be reclaimed, relative to
	// that of an on-demand one.
	SpotPriceRatio float64 `json:"spot"`
	// Prices is the price of an upstream per second, by failure domain.
	Prices map[string]float64 `json:"prices"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Keys are the account's bearer keys in the form that HashKey returns.
	Keys []string `json:"keys"`
	// Priority overrides the priority of routes unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Rate (per second) and Burst limit the account across all nodes, in tokens if
	// Tokens is true, otherwise in requests. A zero Rate means no limit.
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Tokens bool    `json:"tokens"`
	// DefaultCost is the cost of a request without a token count.
	DefaultCost float64 `json:"plain"`
}

// Limits bound the size and duration of client input.
type Limits struct {
	MaxHeaderBytes int           `json:"header"`
	MaxBodyBytes   int64         `json:"body"`
	HeaderTimeout  time.Duration `json:"headers"`
	IdleTimeout    time.Duration `json:"idle"`
}

// HashKey returns the form in which a plan stores a bearer key: its SHA-256 hash in
// hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// maxPlanBytes bounds a decompressed plan. A document that an operator sends is at most
// a quarter of it.
const maxPlanBytes = 64 << 20

// Decode decodes a plan that Encode returned and builds its indexes.
func Decode(data []byte) (*Plan, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("traffic plan: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxPlanBytes))
	if err != nil {
		return nil, fmt.Errorf("traffic plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, fmt.Errorf("traffic plan: %w", err)
	}
	p.buildIndexes()
	return &p, nil
}

// Encode encodes a plan for the replicated state. The result is compressed because
// every change is sent to every node and the routes of a plan are very similar.
func Encode(p *Plan) ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (p *Plan) buildIndexes() {
	p.routesByHost, p.servicesByName, p.accountsByKey = make(map[string][]*Route), make(map[string]*Service), make(map[string]*Account)
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		p.routesByHost[host] = append(p.routesByHost[host], r)
	}
	for _, list := range p.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Services {
		p.servicesByName[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Accounts {
		for _, key := range p.Accounts[i].Keys {
			p.accountsByKey[key] = &p.Accounts[i]
		}
	}
}

// Match returns the route for a host, with or without a port, and a path: of the host's
// routes, the one with the longest matching prefix.
func (p *Plan) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for _, r := range p.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests of routes that are not public need a key of an account.
// A list of accounts that has become empty takes all keys away; it opens no route.
func (p *Plan) RequiresKey() bool {
	if p.Access == "" {
		return len(p.Accounts) > 0
	}
	return p.Access == AccessKeys
}

// AccountByKey returns the account with the bearer key, which is given unhashed.
func (p *Plan) AccountByKey(key string) (*Account, bool) {
	a, ok := p.accountsByKey[HashKey(key)]
	return a, ok
}

// AccountByName returns the account with the name.
func (p *Plan) AccountByName(name string) (*Account, bool) {
	i := slices.IndexFunc(p.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil, false
	}
	return &p.Accounts[i], true
}

// Service returns the service with the name.
func (p *Plan) Service(name string) (*Service, bool) {
	s, ok := p.servicesByName[name]
	return s, ok
}

// PickService returns the service for a request of the route, chosen by weight. The draw
// is in [0, 1); equal draws pick the same service.
func (r Route) PickService(draw float64) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	at := draw * float64(total)
	for _, w := range r.Split {
		if at < float64(w.Weight) {
			return w.Service
		}
		at -= float64(w.Weight)
	}
	// Because of rounding, a draw just below 1 may lie beyond the last weight.
	for _, w := range slices.Backward(r.Split) {
		if w.Weight > 0 {
			return w.Service
		}
	}
	return ""
}
