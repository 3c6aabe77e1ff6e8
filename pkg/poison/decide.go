package poison

import (
	"cmp"
	"slices"
	"time"
)

// Block is a part that no upstream may get.
type Block struct {
	Part Part
	// With lists the parts that were open at the same crashes, so that any of them may be
	// the cause. The block then applies to prompts with all of them; a prompt with some
	// shows which it is.
	With []Part
}

// Applies reports whether the block applies to a prompt with these parts.
func (b Block) Applies(parts []Part) bool {
	if !slices.Contains(parts, b.Part) {
		return false
	}
	for _, p := range b.With {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// Blocked lists the blocked parts. A crash does not count against a part if another blocked
// part, which more crashes have in common, explains it, or if it belongs to an outage: other
// upstreams crashed at the same time without the part.
func (t *Table) Blocked(now time.Time) []Block {
	t.removeExpired(now)
	settled := make(map[Part][]Crash)
	var candidates []Part
	for p, all := range t.crashes {
		if p == AnyPart || successive(all) < minSuccessive {
			continue
		}
		if list := t.isolated(now, p); successive(list) >= minSuccessive {
			settled[p] = list
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b Part) int {
		return cmp.Or(cmp.Compare(len(settled[b]), len(settled[a])), cmp.Compare(a, b))
	})
	explained := make(map[Upstream]bool)
	var blocks []Block
	for len(candidates) > 0 {
		// Parts with equally many crashes do not explain each other.
		n := 1
		for n < len(candidates) && len(settled[candidates[n]]) == len(settled[candidates[0]]) {
			n++
		}
		group := slices.DeleteFunc(slices.Clone(candidates[:n]), func(p Part) bool {
			unexplained := slices.DeleteFunc(slices.Clone(settled[p]), func(c Crash) bool { return explained[c.Upstream] })
			return successive(unexplained) < minSuccessive
		})
		candidates = candidates[n:]
		for _, p := range group {
			block := Block{Part: p}
			for _, q := range group {
				if q != p && sameUpstreams(settled[p], settled[q]) {
					block.With = append(block.With, q)
				}
			}
			blocks = append(blocks, block)
		}
		for _, p := range group {
			for _, c := range settled[p] {
				explained[c.Upstream] = true
			}
		}
	}
	return blocks
}

// sameUpstreams reports whether two lists have the same upstreams.
func sameUpstreams(a, b []Crash) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c Crash) bool {
		return !slices.ContainsFunc(b, func(d Crash) bool { return c.Upstream == d.Upstream })
	})
}

// Explained reports whether every crash of a part also has one of the blocked parts, which
// have more crashes: the part was only open beside them.
func (t *Table) Explained(p Part, blocks []Block) bool {
	own := t.crashes[p]
	for _, c := range own {
		if !slices.ContainsFunc(blocks, func(b Block) bool {
			other := t.crashes[b.Part]
			return len(other) > len(own) && slices.ContainsFunc(other, func(d Crash) bool { return d.Upstream == c.Upstream })
		}) {
			return false
		}
	}
	return len(own) > 0
}

// isolated lists the settled crashes of a part that belong to no outage.
func (t *Table) isolated(now time.Time, p Part) []Crash {
	own := make(map[Upstream]bool)
	for _, c := range t.crashes[p] {
		own[c.Upstream] = true
	}
	var out []Crash
	for _, c := range t.crashes[p] {
		outage := slices.ContainsFunc(t.crashedBetween(c.At.Add(-outageWindow), c.At.Add(outageWindow)), func(o Crash) bool { return !own[o.Upstream] })
		if !outage && now.Sub(c.At) >= SettleTime {
			out = append(out, c)
		}
	}
	return out
}

// crashedBetween lists the crashes of all upstreams from first to last.
func (t *Table) crashedBetween(first, last time.Time) []Crash {
	all := t.crashes[AnyPart]
	byTime := func(c Crash, at time.Time) int { return c.At.Compare(at) }
	from, _ := slices.BinarySearchFunc(all, first, byTime)
	to, _ := slices.BinarySearchFunc(all, last.Add(1), byTime)
	return all[from:to]
}

// successive returns the largest number of crashes each of which hit a request that was
// sent after the one before. Upstreams that crash together in an outage count as one. The
// list is sorted by time.
func successive(list []Crash) int {
	n := 0
	var last time.Time
	for _, c := range list {
		if n == 0 || c.Sent.After(last) {
			n, last = n+1, c.At
		}
	}
	return n
}
