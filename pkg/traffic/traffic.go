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

	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Account // by hash of the key
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
	// Objective is the time to the answer, or to the first event of a stream, within
	// which it has its full value to the caller.
	Objective time.Duration `json:"objective"`
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration `json:"gap"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int      `json:"priority"`
	Split    []Weight `json:"split"`
	// Attempts is the largest number of upstreams that one attempt of a client may
	// be sent to; at least 1.
	Attempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Prompt is true when requests carry a prompt for a model engine.
	Prompt bool `json:"prompt"`
	// Resume allows a stream to continue on another upstream.
	Resume bool `json:"resume"`
}

// Repeatable tells whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Lookup || (r.Kind == Stream && r.Resume) }

// Weight is a service's share of a route, relative to the other weights.
type Weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string `json:"name"`
	// Health is the path of the health check.
	Health string `json:"health"`
	// Connections is the number of connections that one upstream accepts from all
	// nodes together.
	Connections int `json:"connections"`
	// Cold is how long an upstream stays cold after its start.
	Cold time.Duration `json:"cold"`
	// ColdRate is the number of requests a second that a cold upstream tolerates from
	// all nodes together; zero for no limit.
	ColdRate float64  `json:"coldrate"`
	Engine   *Engine  `json:"engine,omitempty"`
	Scaling  *Scaling `json:"scaling,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `json:"slots"`
	// Memory is the number of tokens that the KV cache holds.
	Memory int `json:"memory"`
	// Backups is true when engines send a run's memory to another engine as it grows.
	Backups bool `json:"backups"`
	// Moves is true when engines copy a run's memory to another engine on demand.
	Moves bool `json:"moves"`
}

// Scaling bounds how many upstreams may be ordered in each failure domain.
type Scaling struct {
	Min  int           `json:"min"`
	Max  int           `json:"max"`
	Boot time.Duration `json:"boot"`
	// Spot is the price of a reclaimable upstream relative to another one's.
	Spot float64 `json:"spot"`
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
	// Plain is what a request without a token count is charged.
	Plain float64 `json:"plain"`
}

// Limits bound what a client may send.
type Limits struct {
	Header  int           `json:"header"` // bytes
	Body    int64         `json:"body"`   // bytes
	Headers time.Duration `json:"headers"`
	Idle    time.Duration `json:"idle"`
}

// HashKey returns the form in which a plan keeps a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// largestPlan bounds a decoded plan, in bytes. Operators send at most a quarter of it.
const largestPlan = 64 << 20

// Decode reads a plan that Encode wrote and prepares it for look-ups.
func Decode(data []byte) (*Plan, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("traffic plan: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, largestPlan))
	if err != nil {
		return nil, fmt.Errorf("traffic plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, fmt.Errorf("traffic plan: %w", err)
	}
	p.index()
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

func (p *Plan) index() {
	p.hosts, p.services, p.keys = make(map[string][]*Route), make(map[string]*Service), make(map[string]*Account)
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		p.hosts[host] = append(p.hosts[host], r)
	}
	for _, list := range p.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Services {
		p.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Accounts {
		for _, key := range p.Accounts[i].Keys {
			p.keys[key] = &p.Accounts[i]
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
	for _, r := range p.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account that holds a bearer key.
func (p *Plan) Account(key string) (*Account, bool) {
	a, ok := p.keys[HashKey(key)]
	return a, ok
}

// Named returns the account of a name.
func (p *Plan) Named(name string) (*Account, bool) {
	i := slices.IndexFunc(p.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil, false
	}
	return &p.Accounts[i], true
}

// Service returns a service by name.
func (p *Plan) Service(name string) (*Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Pick returns the service for a request of the route. The draw is in [0, 1); equal
// draws pick equal services.
func (r Route) Pick(draw float64) string {
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
