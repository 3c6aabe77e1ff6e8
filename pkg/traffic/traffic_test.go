package traffic

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

func plan() *Plan {
	p := &Plan{
		Version:  3,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "short", Host: "h.example", Prefix: "/x/", Kind: Lookup, Timeout: time.Second, MaxAttempts: 1, Split: []Weight{{"a", 1}}},
			{Name: "long", Host: "h.example", Prefix: "/x/y/", Kind: Stream, Timeout: time.Second, MaxAttempts: 1, Split: []Weight{{"a", 9}, {"b", 1}}},
		},
		Accounts: []Account{{Name: "one", Keys: []string{HashKey("k1")}}},
	}
	p.buildIndexes()
	return p
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	p := plan()
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/x/1", "short"},
		{"H.EXAMPLE:8080", "/x/y/1", "long"},
		{"h.example", "/x/yy", "short"},
		{"h.example", "/z/", ""},
		{"other.example", "/x/1", ""},
	} {
		got := ""
		if r, ok := p.Match(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := plan().Routes[1]
	for _, c := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999999999999, "b"}} {
		if got := r.PickService(c.draw); got != c.want {
			t.Errorf("draw %v: got %q, want %q", c.draw, got, c.want)
		}
	}
	if got := (Route{Split: []Weight{{"a", 1}, {"b", 0}}}).PickService(1); got != "a" {
		t.Errorf("a service of weight 0 was picked: %q", got)
	}
}

func TestCheckRejectsInvalidPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Plan)
		want   string
	}{
		{"unknown service", func(p *Plan) { p.Routes[0].Split[0].Service = "c" }, "unknown service"},
		{"same host and prefix", func(p *Plan) { p.Routes[1].Prefix = "/x/" }, "share the host and prefix"},
		{"zero total weight", func(p *Plan) { p.Routes[0].Split[0].Weight = 0 }, "add up to 0"},
		{"no timeout", func(p *Plan) { p.Routes[0].Timeout = 0 }, "no timeout"},
		{"shared key", func(p *Plan) { p.Accounts = append(p.Accounts, Account{Name: "two", Keys: p.Accounts[0].Keys}) }, "share a key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := plan()
			c.change(p)
			err := p.Check()
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	if err := plan().Check(); err != nil {
		t.Errorf("a valid plan was refused: %v", err)
	}
}

func TestPlanStoresHashedKeys(t *testing.T) {
	data, err := Encode(plan())
	if err != nil {
		t.Fatal(err)
	}
	p, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if a, ok := p.AccountByKey("k1"); !ok || a.Name != "one" {
		t.Errorf("got account %v, %v, want one", a, ok)
	}
	if _, ok := p.AccountByKey(HashKey("k1")); ok {
		t.Error("the hash of a key was accepted as a key")
	}
}

// Guards against a bucket that allows more than rate × window + burst.
func TestBucketLimitsRate(t *testing.T) {
	var b Bucket
	start := time.Unix(1000, 0)
	spent := 0.0
	for i := range 8000 {
		if b.Take(start.Add(time.Duration(i)*time.Millisecond), 100, 50, 1) {
			spent++
		}
	}
	if got, want := spent, 100*8+50+1.0; got > want {
		t.Errorf("got %v in 8 s, want at most %v", got, want)
	}
}

// Load pattern: one account sends small and large requests at several times its limit.
// Guards against large requests that starve its small ones.
func TestBucketServesSmallRequestsOverLimit(t *testing.T) {
	var b Bucket
	start := time.Unix(1000, 0)
	served := map[float64]int{}
	const rate, burst = 36_000.0, 36_000.0
	requested := 0
	for ms := 0; ms < 20_000; ms += 50 {
		requested++
		for _, cost := range []float64{200, 12_000} {
			if b.Take(start.Add(time.Duration(ms)*time.Millisecond), rate, burst, cost) {
				served[cost]++
			}
		}
	}
	if got := float64(served[200]) / float64(requested); got < 0.9 {
		t.Errorf("got %.2f of the small requests served, want at least 0.9", got)
	}
	if spent := float64(served[200])*200 + float64(served[12_000])*12_000; spent < 0.95*rate*20 || served[12_000] == 0 {
		t.Errorf("got %v tokens spent of %v, want the limit used", spent, rate*20)
	}
}

// Load pattern: a large plan that changes several times a second is sent to 72 nodes
// with 10 Mbit/s each. Guards against send queues that exceed the leader's memory, and
// against transfers so long that the link of a node counts as silent.
func TestEncodeCompressesLargePlan(t *testing.T) {
	p := plan()
	for i := range 1700 {
		r := p.Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("r-%x", i*7919), fmt.Sprintf("/%x/%x/", i*104729, i)
		p.Routes = append(p.Routes, r)
	}
	text, err := json.Marshal(p.Routes)
	if err != nil {
		t.Fatal(err)
	}
	p.Source = text
	data, err := Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	const linkBytesPerSecond, nodes, memoryBytes = 10_000_000 / 8, 72, 64 << 20
	if got, want := len(data), linkBytesPerSecond/8; got > want {
		t.Errorf("got %d bytes, want at most an eighth of a second of a link, %d", got, want)
	}
	if got, want := 6*nodes*len(data), memoryBytes; got > want {
		t.Errorf("six changes to all nodes: got %d bytes, want at most %d", got, want)
	}
	again, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(again.Routes), len(p.Routes); got != want || string(again.Source) != string(text) {
		t.Errorf("got %d routes, want %d and the same source", got, want)
	}
}
