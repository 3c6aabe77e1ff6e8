package routing

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

func candidate(id string, change func(*Candidate)) Candidate {
	c := Candidate{
		ID: id, Domain: "gulberg", PricePerHour: 1, Limit: 8, FreeSlots: 4, PrefillRate: 8000, InterTokenLatency: 20 * time.Millisecond,
		Expires: time.Unix(10, 0),
	}
	if change != nil {
		change(&c)
	}
	return c
}

func TestChoose(t *testing.T) {
	chat := Request{PromptTokens: 500, OutputTokens: 100, FirstTokenTarget: time.Second, Interactive: true}
	longChat := Request{PromptTokens: 8000, OutputTokens: 100, FirstTokenTarget: 10 * time.Second}
	tests := []struct {
		name string
		r    Request
		a, b func(*Candidate) // changes to the candidates a and b
		want string
	}{
		{"prefers the cheaper upstream that meets the target", chat, func(c *Candidate) { c.PricePerHour = 2 }, nil, "b"},
		{"skips a cheap upstream that misses the target", chat, func(c *Candidate) { c.PricePerHour, c.Running, c.Waiting = 0.1, 8, 30 }, nil, "b"},
		{"counts own requests since the last report", chat, func(c *Candidate) { c.SentSinceReport = 8 }, nil, "b"},
		{"prefers a cached prefix", longChat, nil, func(c *Candidate) { c.CachedTokens = 7000 }, "b"},
		{"skips a drained upstream", chat, func(c *Candidate) { c.Drained = true }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"skips a leaving upstream", chat, func(c *Candidate) { c.Leaving = true }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"skips an expired announcement", chat, func(c *Candidate) { c.Expires = time.Unix(1, 0) }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"skips a suspect upstream", chat, func(c *Candidate) { c.Suspect = true }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"skips an upstream without a free slot", chat, func(c *Candidate) { c.FreeSlots = 0 }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"keeps a long prompt away from interactive requests", longChat, func(c *Candidate) { c.OpenInteractive = 3 }, nil, "b"},
		{"keeps an interactive request away from a long prompt", chat, func(c *Candidate) { c.PrefillTokens = 8000 }, nil, "b"},
		{"keeps long prompts within the prefill budget", longChat, func(c *Candidate) { c.PrefillTokens = 10000 }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"skips an upstream that is reclaimed before the request ends", chat, func(c *Candidate) { c.TimeToReclaim = time.Second }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"prefers a VM that cannot be reclaimed at the same price", chat, func(c *Candidate) { c.Reclaimable = true }, nil, "b"},
		{"prefers an upstream that has loaded the adapter", Request{PromptTokens: 500, OutputTokens: 10, FirstTokenTarget: 300 * time.Millisecond, Adapter: "x"}, nil, func(c *Candidate) { c.Adapters = []string{"x"} }, "b"},
		{"a retry avoids a suspect failure domain", Request{PromptTokens: 10, OutputTokens: 10, AvoidDomains: []string{"gulberg"}}, nil, func(c *Candidate) { c.Domain, c.PricePerHour = "cantt", 9 }, "b"},
		{"uses a suspect failure domain if there is no other", Request{PromptTokens: 10, OutputTokens: 10, AvoidDomains: []string{"gulberg"}}, nil, func(c *Candidate) { c.Drained = true }, "a"},
		{"a retry skips an upstream that failed the request", Request{PromptTokens: 10, OutputTokens: 10, FailedUpstreams: []string{"a"}}, nil, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
		{"runs a crash suspect only on an idle upstream", Request{PromptTokens: 10, OutputTokens: 10, Isolated: true}, func(c *Candidate) { c.Running = 1 }, func(c *Candidate) { c.PricePerHour = 9 }, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := Choose(time.Unix(5, 0), tt.r, []Candidate{candidate("a", tt.a), candidate("b", tt.b)})
			if !ok || got.ID != tt.want {
				t.Errorf("choice: got %q, want %q", got.ID, tt.want)
			}
		})
	}
}

func TestDirectory(t *testing.T) {
	now := time.Unix(0, 0)
	d := NewDirectory(time.Second)
	a := wire.Announce{ID: "u", Incarnation: 1, Sequence: 5, Ready: true, Reclaim: 1, Serving: []wire.Serving{{Service: "chat", Version: "v1"}}}
	d.ApplyAnnouncement(now, a, time.Hour)
	d.RecordSend("u", true)
	a.Sequence, a.Leaving = 4, true
	d.ApplyAnnouncement(now, a, time.Hour)
	got := d.Candidates(now.Add(time.Minute), Query{Service: "chat", Version: "v1"}, NewHolder(Node{}), nil)
	if len(got) != 1 || got[0].Leaving || got[0].SentSinceReport != 1 || got[0].TimeToReclaim <= 0 {
		t.Errorf("candidates after an older announcement: got %+v, want u with one request sent and under a reclaim notice", got)
	}
	if got := d.Candidates(now, Query{Service: "chat", Version: "v2"}, NewHolder(Node{}), nil); len(got) != 0 {
		t.Errorf("candidates of a version that no upstream serves: got %+v, want none", got)
	}
}

func TestPrefix(t *testing.T) {
	blocks := HashBlocks("model", "aaaabbbbccccdd", 4)
	other := HashBlocks("model", "aaaaxxxxcccc", 4)
	t.Run("equal blocks after a different block do not count", func(t *testing.T) {
		p := NewPrefixIndex(16, 4)
		p.RecordPrompt("u", blocks)
		if got := p.CachedBlocks("u", other); got != 1 {
			t.Errorf("cached blocks: got %d, want 1", got)
		}
	})
	t.Run("the index stays within its bounds", func(t *testing.T) {
		p := NewPrefixIndex(2, 2)
		for _, u := range []string{"u", "v", "w"} {
			p.RecordPrompt(u, blocks)
		}
		if got := p.Len("u") + p.Len("v") + p.Len("w"); got != 4 {
			t.Errorf("blocks: got %d, want 4", got)
		}
		if got := p.CachedBlocks("w", blocks); got != 2 {
			t.Errorf("cached blocks after eviction: got %d, want the 2 leading blocks", got)
		}
	})
	t.Run("a gap in the events removes the confirmed blocks", func(t *testing.T) {
		p := NewPrefixIndex(16, 4)
		p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 1, Sequence: 1, Stored: blocks})
		if gap := p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 1, Sequence: 3}); !gap {
			t.Error("gap: got false, want true")
		}
		if got := p.CachedBlocks("u", blocks); got != 0 {
			t.Errorf("cached blocks: got %d, want 0", got)
		}
	})
	t.Run("late events of an older incarnation are ignored", func(t *testing.T) {
		p := NewPrefixIndex(16, 4)
		p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 2, Sequence: 1, Stored: blocks})
		p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 1, Sequence: 9, Cleared: true})
		p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 2, Sequence: 1, Removed: blocks})
		if got := p.CachedBlocks("u", blocks); got != 3 {
			t.Errorf("cached blocks: got %d, want 3", got)
		}
	})
	t.Run("a restarted upstream has an empty cache", func(t *testing.T) {
		p := NewPrefixIndex(16, 4)
		p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 1, Sequence: 1, Stored: blocks})
		p.ApplyEvent(CacheEvent{Upstream: "u", Incarnation: 2, Sequence: 1})
		if got := p.CachedBlocks("u", blocks); got != 0 {
			t.Errorf("cached blocks: got %d, want 0", got)
		}
	})
}
