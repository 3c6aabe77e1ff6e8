// Package traffic holds the traffic plan of a deployment: which client accounts may
// call which routes, and which services answer them. It decides without I/O and
// reads no clock.
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

// Kind says what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	// Lookup requests are idempotent.
	Lookup Kind = "lookup"
	// Booking requests run at most once for each attempt of a client.
	Booking Kind = "booking"
	// Stream requests are answered by a series of numbered events. They run at most
	// once unless the route allows a stream to be resumed.
	Stream Kind = "stream"
)

// Plan is one version of the traffic rules. Holders must not change it.
type Plan struct {
	// Version orders plans; only a higher one replaces the present one.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
	// Source is the document as the operator sent it, for reading it back.
	Source json.RawMessage `json:"source"`

	routesByHost   map[string][]*Route // longest prefix first
	servicesByName map[string]*Service
	accountsByKey  map[string]*Account // by hash of the key
}

// Route selects requests by host and path and says how they are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time for which a request may be kept without its final
	// answer.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time to the answer, or to the first event of a stream, within
	// which it has its full value to the caller.
	TargetLatency time.Duration `json:"objective"`
	// TargetGap is the longest pause between two events of a stream that is on time.
	TargetGap time.Duration `json:"gap"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int      `json:"priority"`
	Split    []Weight `json:"split"`
	// MaxAttempts is the largest number of upstreams that one attempt of a client may
	// be sent to; at least 1.
	MaxAttempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// HasPrompt is true when requests carry a prompt for a model engine.
	HasPrompt bool `json:"prompt"`
	// Resumable allows a stream to continue on another upstream.
	Resumable bool `json:"resume"`
}

// Repeatable tells whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Lookup || (r.Kind == Stream && r.Resumable) }

// Weight is a service's share of a route, relative to the other weights.
type Weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check.
	HealthPath string `json:"health"`
	// MaxConnections is the number of connections that one upstream accepts from all
	// nodes together.
	MaxConnections int `json:"connections"`
	// ColdDuration is how long an upstream stays cold after its start.
	ColdDuration time.Duration `json:"cold"`
	// MaxColdRate is the number of requests a second that a cold upstream tolerates from
	// all nodes together; zero for no limit.
	MaxColdRate float64  `json:"coldrate"`
	Engine      *Engine  `json:"engine,omitempty"`
	Scaling     *Scaling `json:"scaling,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `json:"slots"`
	// KVCacheTokens is the number of tokens that the KV cache holds.
	KVCacheTokens int `json:"memory"`
	// KVBackup is true when engines send a run's memory to another engine as it grows.
	KVBackup bool `json:"backups"`
	// KVTransfer is true when engines copy a run's memory to another engine on demand.
	KVTransfer bool `json:"moves"`
}

// Scaling bounds how many upstreams may be ordered in each failure domain.
type Scaling struct {
	Min      int           `json:"min"`
	Max      int           `json:"max"`
	BootTime time.Duration `json:"boot"`
	// SpotPriceRatio is the price of a reclaimable upstream relative to another one's.
	SpotPriceRatio float64 `json:"spot"`
	// Prices holds the price of a second for each failure domain.
	Prices map[string]float64 `json:"prices"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Keys are the SHA-256 hashes, hexadecimal, of the account's bearer keys.
	Keys []string `json:"keys"`
	// Priority replaces the priority of routes when it is set.
	Priority *int `json:"priority,omitempty"`
	// Rate and Burst bound what the account may ask of all nodes together, in tokens
	// when Tokens is set, otherwise in requests. A zero Rate is no limit.
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Tokens bool    `json:"tokens"`
	// DefaultCost is what a request without a token count is charged.
	DefaultCost float64 `json:"plain"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int           `json:"header"` // bytes
	MaxBodyBytes   int64         `json:"body"`   // bytes
	HeaderTimeout  time.Duration `json:"headers"`
	IdleTimeout    time.Duration `json:"idle"`
}

// HashKey returns the form in which a plan keeps a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// maxPlanBytes bounds a decoded plan, in bytes. Operators send at most a quarter of it.
const maxPlanBytes = 64 << 20

// Decode reads a plan that Encode wrote and prepares it for look-ups.
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

// Encode writes a plan for the replicated state. It is compressed: a change goes to
// every node, and the routes of a plan are much alike.
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

// Match returns the route of a host and path: among those of the host, the one with
// the longest prefix that begins the path.
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

// AccountByKey returns the account that holds a bearer key.
func (p *Plan) AccountByKey(key string) (*Account, bool) {
	a, ok := p.accountsByKey[HashKey(key)]
	return a, ok
}

// AccountByName returns the account of a name.
func (p *Plan) AccountByName(name string) (*Account, bool) {
	i := slices.IndexFunc(p.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil, false
	}
	return &p.Accounts[i], true
}

// Service returns a service by name.
func (p *Plan) Service(name string) (*Service, bool) {
	s, ok := p.servicesByName[name]
	return s, ok
}

// PickService returns the service for a request of the route. The draw is in [0, 1); equal
// draws pick equal services.
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
	// Rounding may leave a draw just below 1 behind the last weight.
	for _, w := range slices.Backward(r.Split) {
		if w.Weight > 0 {
			return w.Service
		}
	}
	return ""
}
