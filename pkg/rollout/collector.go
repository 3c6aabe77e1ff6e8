package rollout

import (
	"cmp"
	"time"
)

// Evidence holds the observations from which Step decides.
type Evidence struct {
	// Step is the step to which the counts belong; Step ignores counts of another
	// step.
	Step int
	// Total holds the counts of the step from all nodes.
	Total CountSet
	// Recent holds the part of Total that was received after the last window boundary.
	Recent CountSet
	// WindowsPassed is the number of window boundaries passed in this step.
	WindowsPassed int
	// DrainedDomains holds the drained failure domains. Their counts are ignored, since
	// their requests end early because of the drain.
	DrainedDomains map[string]bool
	// OldReady and NewReady count the ready upstreams of each version.
	OldReady, NewReady int
	// RollbackInForce is true when every node applies the share 0 of this rollout.
	RollbackInForce bool
}

// recentWindow is the maximum time that Recent covers. A fault that starts late in a long
// step is detected in Recent before it is detected in Total.
const recentWindow = 60 * time.Second

type nodeCounts struct {
	incarnation, sequence uint64
	// total holds the counts of the latest report, windowStart those at the last window
	// boundary.
	total, windowStart CountSet
}

// Collector merges the nodes' reports on the leader. It is not replicated: a new
// leader starts with an empty Collector and fills it from the next reports.
type Collector struct {
	rollout string
	step    int
	nodes   map[string]*nodeCounts
	// replaced holds the counts of earlier incarnations of restarted nodes.
	replaced []*nodeCounts
	windows  int // number of window boundaries passed in this step
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{nodes: make(map[string]*nodeCounts)} }

// Add applies one report. It ignores reports of another rollout or step, duplicates,
// and reports that arrive after a later one.
func (c *Collector) Add(r Report) {
	if r.Rollout != c.rollout || r.Step != c.step {
		return
	}
	n, ok := c.nodes[r.Node]
	switch {
	case !ok:
		// The first counts received after a leader change may be minutes old, so
		// they count in Total only.
		n = &nodeCounts{windowStart: r.Counts.Clone()}
		if c.windows == 0 {
			n.windowStart = CountSet{}
		}
		c.nodes[r.Node] = n
	case r.Incarnation < n.incarnation, r.Incarnation == n.incarnation && r.Sequence <= n.sequence:
		return
	case r.Incarnation > n.incarnation:
		c.replaced = append(c.replaced, n)
		n = &nodeCounts{windowStart: CountSet{}}
		c.nodes[r.Node] = n
	}
	n.incarnation, n.sequence, n.total = r.Incarnation, r.Sequence, r.Counts
}

// Evidence returns the merged counts for the rollout's current step.
func (c *Collector) Evidence(now time.Time, r Rollout) Evidence {
	if r.ID != c.rollout || r.Step != c.step {
		c.rollout, c.step, c.replaced = r.ID, r.Step, nil
		c.windows = int(now.Sub(r.StepStarted) / recentWindow)
		clear(c.nodes)
	}
	if w := int(now.Sub(r.StepStarted) / recentWindow); w > c.windows {
		c.windows = w
		for _, n := range c.allCounts() {
			n.windowStart = n.total.Clone()
		}
	}
	e := Evidence{Step: c.step, WindowsPassed: c.windows, Total: CountSet{}, Recent: CountSet{}}
	for _, n := range c.allCounts() {
		e.Total.Merge(n.total)
		if c.windows == 0 {
			continue
		}
		for k, v := range n.total {
			recent := v
			if b, ok := n.windowStart[k]; ok {
				d := v.Sub(b)
				recent = &d
			}
			e.Recent.GetOrCreate(k).Merge(recent)
		}
	}
	return e
}

func (c *Collector) allCounts() []*nodeCounts {
	list := make([]*nodeCounts, 0, len(c.nodes)+len(c.replaced))
	for _, n := range c.nodes {
		list = append(list, n)
	}
	return append(list, c.replaced...)
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
