package rollout

import (
	"cmp"
	"time"
)

// Evidence is what Step judges by.
type Evidence struct {
	// Step is the step that the counts belong to; counts of another step are
	// not judged.
	Step int
	// Total holds the counts of the step from all nodes.
	Total Set
	// Recent holds the part of Total that came after the last window boundary.
	Recent Set
	// Window is the number of window boundaries passed in this step.
	Window int
	// Drained holds the failure domains out of service; their counts are not
	// judged, since their requests end early for reasons of their own.
	Drained map[string]bool
	// OldReady and NewReady count the ready upstreams of each version.
	OldReady, NewReady int
	// UndoInForce is true when the entry with share 0 of this rollout is in force
	// on every node.
	UndoInForce bool
}

// window is how long Recent reaches back at most. A fault that starts late in a
// long step shows in Recent before it shows in Total.
const window = 60 * time.Second

type nodeCounts struct {
	incarnation, sequence uint64
	set, base             Set
}

// Collector merges the nodes' reports on the leader. It is soft state: a new
// leader starts with an empty one and fills it from the next reports.
type Collector struct {
	rollout string
	step    int
	nodes   map[string]*nodeCounts
	lost    []*nodeCounts
	windows int
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{nodes: make(map[string]*nodeCounts)} }

// Add takes one report. Reports of another rollout or step, repeated ones and
// ones that were overtaken change nothing.
func (c *Collector) Add(r Report) {
	if r.Rollout != c.rollout || r.Step != c.step {
		return
	}
	n, ok := c.nodes[r.Node]
	switch {
	case !ok:
		// The counts seen first after a change of leader may be minutes old, so
		// they belong to Total only.
		n = &nodeCounts{base: r.Set.Clone()}
		if c.windows == 0 {
			n.base = Set{}
		}
		c.nodes[r.Node] = n
	case r.Incarnation < n.incarnation, r.Incarnation == n.incarnation && r.Sequence <= n.sequence:
		return
	case r.Incarnation > n.incarnation:
		c.lost = append(c.lost, n)
		n = &nodeCounts{base: Set{}}
		c.nodes[r.Node] = n
	}
	n.incarnation, n.sequence, n.set = r.Incarnation, r.Sequence, r.Set
}

// Evidence returns the merged counts for the rollout's present step.
func (c *Collector) Evidence(now time.Time, r Rollout) Evidence {
	if r.ID != c.rollout || r.Step != c.step {
		c.rollout, c.step, c.lost = r.ID, r.Step, nil
		c.windows = int(now.Sub(r.StepStarted) / window)
		clear(c.nodes)
	}
	if w := int(now.Sub(r.StepStarted) / window); w > c.windows {
		c.windows = w
		for _, n := range c.all() {
			n.base = n.set.Clone()
		}
	}
	e := Evidence{Step: c.step, Window: c.windows, Total: Set{}, Recent: Set{}}
	for _, n := range c.all() {
		e.Total.Merge(n.set)
		if c.windows == 0 {
			continue
		}
		for k, v := range n.set {
			recent := v
			if b, ok := n.base[k]; ok {
				d := v.Minus(b)
				recent = &d
			}
			e.Recent.At(k).Merge(recent)
		}
	}
	return e
}

func (c *Collector) all() []*nodeCounts {
	list := make([]*nodeCounts, 0, len(c.nodes)+len(c.lost))
	for _, n := range c.nodes {
		list = append(list, n)
	}
	return append(list, c.lost...)
}

func compareKeys(a, b Key) int {
	cold := 0
	switch {
	case a.Cold && !b.Cold:
		cold = 1
	case b.Cold && !a.Cold:
		cold = -1
	}
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Class, b.Class), cmp.Compare(a.Domain, b.Domain), cold)
}
