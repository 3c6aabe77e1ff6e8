package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Key prefixes in the replicated key space.
const (
	PrefixSite          = "site/"
	PrefixAccount       = "account/"
	PrefixDomain        = "domain/"
	PrefixService       = "service/"
	PrefixDrainDomain   = "drain/domain/"
	PrefixDrainUpstream = "drain/upstream/"
	PrefixRollout       = "rollout/"
	PrefixNode          = "node/"
	siteNameKey         = PrefixSite + "name"
	invalidEntryFormat  = "entry %s of the configuration cannot be read"
)

// SitePrefixes returns the key prefixes of the site configuration. Applying a site
// configuration replaces all entries under them.
func SitePrefixes() []string {
	return []string{PrefixSite, PrefixAccount, PrefixDomain, PrefixService}
}

// Drain records why a failure domain or an upstream gets no new work.
type Drain struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Since is the start of the drain, Unix time in milliseconds.
	Since int64 `json:"since"`
	// StartMillis limits the drain of an upstream to processes that started at or before
	// this Unix time in milliseconds; zero for no limit.
	StartMillis int64 `json:"born,omitempty"`
}

// Node is a node with a live session.
type Node struct {
	Name string `json:"name"`
	// Incarnation is the incarnation of the session. A process that loses its session
	// starts another one.
	Incarnation uint64 `json:"incarnation"`
	// ProcessIncarnation is the incarnation of the process: its start time, Unix time in
	// nanoseconds.
	ProcessIncarnation uint64 `json:"process"`
	// PeerAddress is the address of the node's listener for other nodes.
	PeerAddress string `json:"peer"`
	// AnnounceAddress is the address of the node's listener for upstreams.
	AnnounceAddress string `json:"announce"`
	Domain          string `json:"domain"`
	Cell            string `json:"cell"`
	// Voter is true when the node stores the replicated state.
	Voter bool `json:"voter,omitempty"`
}

// Share holds the part of a rollout that nodes need to split the traffic of a service. The
// entry in the key space is a rollout.Rollout, which has more fields.
type Share struct {
	ID string `json:"id"`
	// From and To are the versions; To gets Fraction of the traffic.
	From string `json:"from"`
	To   string `json:"to"`
	// Fraction is in [0, 1] and applies to the total traffic of all nodes.
	Fraction float64 `json:"share"`
	// Bad is true once To has been judged bad. To then gets no new work
	// at all.
	Bad bool `json:"bad"`
	// Step is the current step; nodes count outcomes for each step.
	Step  int    `json:"step"`
	Phase string `json:"phase"`
	Rules struct {
		// Warmup is how long an upstream counts as cold after it starts.
		Warmup time.Duration `json:"warmup"`
	} `json:"rules"`
}

// Ended reports whether the rollout has ended.
func (s Share) Ended() bool { return s.Phase == "done" || s.Phase == "undone" }

// View is an immutable, decoded snapshot of the key space. Callers must not modify it.
type View struct {
	Version  uint64             `json:"version"`
	Site     string             `json:"site"`
	Accounts map[string]Account `json:"accounts"`
	// AccountByTokenHash maps the SHA-256 of each bearer token, in hexadecimal, to its
	// account.
	AccountByTokenHash map[string]string  `json:"-"`
	Domains            map[string]Domain  `json:"domains"`
	Services           map[string]Service `json:"services"`
	// Models maps each model name to its service.
	Models           map[string]string `json:"models"`
	DrainedDomains   map[string]Drain  `json:"drained_domains"`
	DrainedUpstreams map[string]Drain  `json:"drained_upstreams"`
	// Shares holds, by service, the rollouts that have not ended and those that ended
	// because the new version was judged bad.
	Shares map[string]Share `json:"shares"`
	// Rollouts holds the last rollout of each service, an encoded rollout.Rollout.
	Rollouts map[string]json.RawMessage `json:"rollouts"`
	Nodes    map[string]Node            `json:"nodes"`
	// Plan is the current traffic plan; nil before the first one.
	Plan *traffic.Plan `json:"-"`
	// Moves holds the last move of each service's traffic.
	Moves map[string]Move `json:"moves"`
	// Usage holds the settled usage windows, also some that the platform has accepted.
	Usage map[string]Usage `json:"-"`
	// Fleets holds the fleet size of each service whose upstreams are ordered from the
	// platform.
	Fleets map[string]Fleet `json:"fleets"`
	// BlockedParts holds the parts of prompts that no upstream may get.
	BlockedParts map[poison.Part]BlockedPart `json:"blocked_parts"`

	planEntryVersion uint64 // version of the entry that Plan was decoded from
	// entryVersions holds the version of each entry that the view was decoded from.
	entryVersions map[string]uint64
}

// PlanHasService reports whether a service is in the traffic plan. Before the first plan,
// every service may be.
func (v *View) PlanHasService(name string) bool {
	if v.Plan == nil {
		return true
	}
	_, ok := v.Plan.Service(name)
	return ok
}

// Items encodes a site configuration as entries of the key space.
func Items(site Site) ([]wire.Item, error) {
	var items []wire.Item
	add := func(key string, v any) error {
		value, err := json.Marshal(v)
		items = append(items, wire.Item{Key: key, Value: value})
		return err
	}
	if err := add(siteNameKey, site.Name); err != nil {
		return nil, err
	}
	for _, a := range site.Accounts {
		if err := add(PrefixAccount+a.Name, a); err != nil {
			return nil, err
		}
	}
	for _, d := range site.Domains {
		if err := add(PrefixDomain+d.Name, d); err != nil {
			return nil, err
		}
	}
	for _, s := range site.Services {
		if err := add(PrefixService+s.Name, s); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// NewView decodes the entries of the key space at the given version, except deleted ones.
func NewView(version uint64, items map[string]wire.Item) (*View, error) {
	return NextView(nil, version, items)
}

// NextView is like NewView, but reuses what has not changed since a previous view of the same
// key space: the traffic plan, which may be large, and the entries of nodes, leaving upstreams
// and usage windows, of which there are hundreds while changes come many times a second.
func NextView(previous *View, version uint64, items map[string]wire.Item) (*View, error) {
	v := &View{
		Version: version, Accounts: make(map[string]Account), AccountByTokenHash: make(map[string]string),
		Domains: make(map[string]Domain), Services: make(map[string]Service), Models: make(map[string]string),
		DrainedDomains: make(map[string]Drain), DrainedUpstreams: make(map[string]Drain),
		Shares: make(map[string]Share), Rollouts: make(map[string]json.RawMessage), Nodes: make(map[string]Node),
		Moves: make(map[string]Move), Usage: make(map[string]Usage), Fleets: make(map[string]Fleet), BlockedParts: make(map[poison.Part]BlockedPart),
	}
	v.entryVersions = make(map[string]uint64, len(items))
	for _, key := range slices.Sorted(maps.Keys(items)) {
		item := items[key]
		if item.Deleted {
			continue
		}
		v.entryVersions[key] = item.Version
		if previous.holds(item) && v.reuseEntry(key, previous) {
			continue
		}
		if err := v.readEntry(item, previous); err != nil {
			return nil, fmt.Errorf(invalidEntryFormat+": %w", key, err)
		}
	}
	return v, nil
}

// holds reports whether the view was decoded from this version of an entry. Entries without a
// version have none to compare.
func (v *View) holds(item wire.Item) bool {
	return v != nil && item.Version > 0 && v.entryVersions[item.Key] == item.Version
}

// reuseEntry takes an unchanged entry over from a previous view; false if it must be decoded.
func (v *View) reuseEntry(key string, previous *View) bool {
	return reuse(v.Nodes, previous.Nodes, key, PrefixNode) ||
		reuse(v.DrainedUpstreams, previous.DrainedUpstreams, key, PrefixDrainUpstream) ||
		reuse(v.Usage, previous.Usage, key, PrefixUsage)
}

func reuse[T any](to, from map[string]T, key, prefix string) bool {
	name, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return false
	}
	value, ok := from[name]
	if ok {
		to[name] = value
	}
	return ok
}

func (v *View) readEntry(item wire.Item, previous *View) error {
	switch {
	case item.Key == KeyPlan:
		return v.readPlan(item, previous)
	case strings.HasPrefix(item.Key, PrefixMove):
		_, err := decodeInto(v.Moves, item, PrefixMove)
		return err
	case strings.HasPrefix(item.Key, PrefixPart):
		return v.readBlockedPart(item)
	case strings.HasPrefix(item.Key, PrefixFleet):
		_, err := decodeInto(v.Fleets, item, PrefixFleet)
		return err
	case strings.HasPrefix(item.Key, PrefixUsage):
		_, err := decodeInto(v.Usage, item, PrefixUsage)
		return err
	case item.Key == siteNameKey:
		return json.Unmarshal(item.Value, &v.Site)
	case strings.HasPrefix(item.Key, PrefixAccount):
		a, err := decodeInto(v.Accounts, item, PrefixAccount)
		v.AccountByTokenHash[a.TokenHash] = a.Name
		return err
	case strings.HasPrefix(item.Key, PrefixDomain):
		_, err := decodeInto(v.Domains, item, PrefixDomain)
		return err
	case strings.HasPrefix(item.Key, PrefixService):
		s, err := decodeInto(v.Services, item, PrefixService)
		for _, m := range s.Models {
			v.Models[m] = s.Name
		}
		return err
	case strings.HasPrefix(item.Key, PrefixDrainDomain):
		_, err := decodeInto(v.DrainedDomains, item, PrefixDrainDomain)
		return err
	case strings.HasPrefix(item.Key, PrefixDrainUpstream):
		_, err := decodeInto(v.DrainedUpstreams, item, PrefixDrainUpstream)
		return err
	case strings.HasPrefix(item.Key, PrefixRollout):
		share, err := decodeInto(v.Shares, item, PrefixRollout)
		service := strings.TrimPrefix(item.Key, PrefixRollout)
		if share.Ended() && !share.Bad {
			delete(v.Shares, service)
		}
		v.Rollouts[service] = item.Value
		return err
	case strings.HasPrefix(item.Key, PrefixNode):
		_, err := decodeInto(v.Nodes, item, PrefixNode)
		return err
	}
	return nil
}

func decodeInto[T any](m map[string]T, item wire.Item, prefix string) (T, error) {
	var value T
	err := json.Unmarshal(item.Value, &value)
	m[strings.TrimPrefix(item.Key, prefix)] = value
	return value, err
}

// SortedNodes returns the nodes with a live session, sorted by name.
func (v *View) SortedNodes() []Node {
	nodes := make([]Node, 0, len(v.Nodes))
	for _, name := range slices.Sorted(maps.Keys(v.Nodes)) {
		nodes = append(nodes, v.Nodes[name])
	}
	return nodes
}

// Class returns the service's class with the given name, or its default class if name is
// empty.
func (s Service) Class(name string) (Class, bool) {
	if name == "" && len(s.Classes) > 0 {
		return s.Classes[0], true
	}
	i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return s.Classes[i], true
}

// Route returns the first route that matches the method and path.
func (s Service) Route(method, path string) (Route, bool) {
	i := slices.IndexFunc(s.Routes, func(r Route) bool {
		return strings.HasPrefix(path, r.Path) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method))
	})
	if i < 0 {
		return Route{}, false
	}
	return s.Routes[i], true
}
