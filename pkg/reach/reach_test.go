package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func wantLost(t *testing.T, p *Paths, want bool) {
	t.Helper()
	if _, got := p.Lost(); got != want {
		t.Errorf("lost: got %v, want %v", got, want)
	}
}

func wantRelayed(t *testing.T, p *Paths, now time.Time, address string, want bool) {
	t.Helper()
	if got := p.Relayed(now, address); got != want {
		t.Errorf("%s goes through another node: got %v, want %v", address, got, want)
	}
}

// lose makes p lose its path at start.
func lose(p *Paths) {
	for _, a := range []string{"a", "b"} {
		p.RecordFailure(start, a, NoConnection)
		p.RecordRelayed(start, a)
	}
}

func TestVerdict(t *testing.T) {
	t.Run("one lost upstream is no lost path", func(t *testing.T) {
		p := New()
		p.RecordFailure(at(0), "a", NoConnection)
		if p.ShouldAsk(at(0), "a") {
			t.Error("asks other nodes: got true, want false")
		}
		p.RecordFailure(at(300), "a", NoConnection)
		p.RecordRelayed(at(300), "a")
		wantLost(t, p, false)
		wantRelayed(t, p, at(300), "a", true)
		wantRelayed(t, p, at(300), "b", false)
	})
	t.Run("two that others reach are", func(t *testing.T) {
		p := New()
		lose(p)
		wantLost(t, p, true)
		wantRelayed(t, p, at(0), "c", true)
	})
	t.Run("upstreams that no node reaches are not", func(t *testing.T) {
		p := New()
		for _, a := range []string{"a", "b", "c"} {
			p.RecordFailure(at(0), a, NoConnection)
			p.RecordUnreached(at(0), a)
		}
		wantLost(t, p, false)
		wantRelayed(t, p, at(0), "a", false)
		if p.ShouldAsk(at(100), "a") || !p.ShouldAsk(at(600), "a") {
			t.Error("asks again: want not at once, but later")
		}
	})
	t.Run("silence of one upstream is not", func(t *testing.T) {
		p := New()
		p.RecordFailure(at(0), "a", NoAnswer)
		wantRelayed(t, p, at(0), "a", false)
		p.RecordFailure(at(0), "b", NoAnswer)
		wantRelayed(t, p, at(0), "a", true)
		wantRelayed(t, p, at(0), "c", false)
	})
	t.Run("failures are forgotten", func(t *testing.T) {
		p := New()
		p.RecordFailure(at(0), "a", NoConnection)
		p.RecordFailure(at(4000), "b", NoConnection)
		if p.Suspected(at(4000)) {
			t.Error("suspected: got true, want false")
		}
	})
}

func TestReturnOfThePath(t *testing.T) {
	t.Run("a new connection ends the loss for all", func(t *testing.T) {
		p := New()
		lose(p)
		if !p.RecordAnswer(at(500), "b") {
			t.Error("regained: got false, want true")
		}
		for _, a := range []string{"a", "b", "c"} {
			wantRelayed(t, p, at(500), a, false)
		}
	})
	t.Run("an old connection that lives on does not", func(t *testing.T) {
		p := New()
		lose(p)
		p.RecordAnswer(at(-500), "b")
		wantLost(t, p, true)
	})
	t.Run("probes follow the upstream that was reached last", func(t *testing.T) {
		p := New()
		lose(p)
		p.RecordRelayed(at(100), "c")
		if got, due := p.Probe(at(100)); got != "c" || !due {
			t.Errorf("probe: got %q, %v, want c, true", got, due)
		}
	})
	t.Run("no probe without a loss", func(t *testing.T) {
		p := New()
		p.RecordFailure(at(0), "a", NoConnection)
		if got, due := p.Probe(at(0)); due {
			t.Errorf("probe: got %q, want none", got)
		}
	})
}

func TestOrder(t *testing.T) {
	self := Node{"n0", "x"}
	nodes := []Node{self, {"n1", "x"}, {"n2", "x"}, {"n3", "x"}, {"n4", "y"}, {"n5", "y"}}
	domain := func(name string) string {
		return nodes[slices.IndexFunc(nodes, func(n Node) bool { return n.Name == name })].Domain
	}
	t.Run("own domain first, another one last", func(t *testing.T) {
		got := New().Order(at(0), self, nodes, "u")
		if len(got) != 3 || domain(got[0]) != "x" || domain(got[1]) != "x" || domain(got[2]) != "y" {
			t.Errorf("order: got %v, want two of x, then one of y", got)
		}
	})
	t.Run("never the node itself, nor one that could not help", func(t *testing.T) {
		p := New()
		for _, n := range []string{"n1", "n2", "n3"} {
			p.RecordHelpless(at(0), n)
		}
		for _, name := range p.Order(at(1000), self, nodes, "u") {
			if domain(name) != "y" {
				t.Errorf("asked: got %s, want nodes of y only", name)
			}
		}
		if got := p.Order(at(2000), self, nodes, "u"); domain(got[0]) != "x" {
			t.Errorf("order after the rest: got %v, want own domain first", got)
		}
	})
	t.Run("upstreams spread over nodes", func(t *testing.T) {
		first := make(map[string]bool)
		for i := range 50 {
			first[New().Order(at(0), self, nodes, fmt.Sprint("u", i))[0]] = true
		}
		if len(first) != 3 {
			t.Errorf("first nodes: got %v, want all three of the domain", first)
		}
	})
}
