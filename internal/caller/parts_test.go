package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// linkedNode is one of several APIs that share what they learn about crashes.
type linkedNode struct {
	api         *API
	url         string
	server      *httptest.Server
	partitioned atomic.Bool
}

// newLinkedNodes returns n APIs in front of the fixture's upstreams, after modifying each
// with changes. Messages from and to a partitioned node are lost.
func newLinkedNodes(t *testing.T, f *fixture, n int, changes ...func(*API)) []*linkedNode {
	t.Helper()
	var nodes []*linkedNode
	for i := range n {
		api := New(routing.Node{Name: fmt.Sprint("n", i), Incarnation: 1}, f, f.registry, f.api.Log)
		policy := routing.DefaultPolicy()
		policy.ReportLag = 0
		api.Slots = NewSlots(time.Now(), api.Slots.self, policy)
		for _, change := range changes {
			change(api)
		}
		api.refreshSlots(time.Now())
		server := httptest.NewServer(api.Handler())
		nodes = append(nodes, &linkedNode{api: api, url: server.URL, server: server})
	}
	for _, from := range nodes {
		from.link(nodes)
	}
	for _, n := range nodes {
		ctx, stop := testContext()
		done := n.api.StartMaintenance(ctx)
		t.Cleanup(func() {
			n.server.CloseClientConnections()
			n.server.Close()
			stop()
			<-done
			n.api.Transport.Close()
		})
	}
	return nodes
}

// link makes the node send what it learns to the others.
func (n *linkedNode) link(nodes []*linkedNode) {
	toOthers := func(send func(to *API)) {
		for _, to := range nodes {
			if to != n && !n.partitioned.Load() && !to.partitioned.Load() {
				send(to.api)
			}
		}
	}
	n.api.Suspects.Broadcast = func(list []routing.Suspect) {
		toOthers(func(to *API) {
			for _, s := range list {
				to.Suspects.Merge(time.Now(), s)
			}
		})
	}
	n.api.Suspects.BroadcastClear = func(f routing.Fingerprint) { toOthers(func(to *API) { to.Suspects.Clear(f) }) }
	n.api.Parts.Broadcast = func(crashes []poison.Record) {
		toOthers(func(to *API) {
			if missing := to.Parts.Merge(time.Now(), crashes, nil); len(missing) > 0 {
				n.api.Parts.Merge(time.Now(), nil, missing)
			}
		})
	}
}

// Guards against a part that a node blocks although requests with it were answered at
// another, before or after the crashes.
func TestAnswersAtOtherNodesClearParts(t *testing.T) {
	const part poison.Part = 7
	for _, c := range []struct {
		name     string
		answered bool
	}{{"answered", true}, {"not answered", false}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			other, p := NewParts(), NewParts()
			if c.answered {
				other.recordAnswer(now, []poison.Part{part})
			}
			p.Broadcast = func(crashes []poison.Record) { p.Merge(now, nil, other.Merge(now, crashes, nil)) }
			for i := range 3 {
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				p.table.RecordCrash(at, poison.NewUpstream("u", fmt.Sprint(i)), at.Add(-time.Millisecond), []poison.Part{part})
			}
			for i := range 3 {
				p.update(now.Add(2*time.Second + time.Duration(i)*blockInterval))
			}
			if got, want := p.isBlocked([]poison.Part{part}), !c.answered; got != want {
				t.Errorf("blocked: got %v, want %v", got, want)
			}
		})
	}
	t.Run("an answered chat proves its messages", func(t *testing.T) {
		f := newFixture(t, nil)
		f.addModel(t, "m1", fastModel(), nil)
		nodes := newLinkedNodes(t, f, 1)
		resp := nodes[0].chat(t, "shared", "own")
		if _, _, err := readTokens(resp.Body, nil); err != nil {
			t.Fatal(err)
		}
		message := poison.NewPart("chat", `messages{"role":"user","content":"shared"}`)
		eventually(t, "the message is proven", func() bool {
			nodes[0].api.Parts.mu.Lock()
			defer nodes[0].api.Parts.mu.Unlock()
			_, proven := nodes[0].api.Parts.table.Proven(time.Now(), message)
			return proven
		})
	})
}

// chat sends a chat with the given messages to the node.
func (n *linkedNode) chat(t *testing.T, messages ...string) *http.Response {
	t.Helper()
	var list []string
	for _, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":6,"messages":[%s]}`, strings.Join(list, ","))
	req, err := http.NewRequest(http.MethodPost, n.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func wantRefusedForCrashes(t *testing.T, resp *http.Response) {
	t.Helper()
	var p Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Code != verdict.CodeCrashes {
		t.Errorf("got %s %+v, %v, want %s", resp.Status, p, err, verdict.CodeCrashes)
	}
}

// Load pattern: requests that have nothing in common but one message crash each upstream
// that runs them (incident inc1). Guards against a node that takes each of them for a new
// request, also after it was partitioned while the others learned of the message, and
// against refused requests that share the other messages.
func TestCrashingMessageIsRefusedByAllNodes(t *testing.T) {
	const (
		freeCrashes = 5 // by when the message must be recognised
		lateCrashes = 3 // that are allowed later than the contact time after them
	)
	f := newFixture(t, func(s *config.Site) { s.Services[0].Classes[0].CompletionTarget = seconds(120) })
	for i := range 8 {
		m := fastModel()
		m.CrashOn = "poison"
		f.addModel(t, fmt.Sprint("m", i), m, nil)
	}
	nodes := newLinkedNodes(t, f, 3)
	crashes := func() (n uint64) {
		for _, p := range f.procs {
			n += p.Incarnation() - 1
		}
		return n
	}
	nodes[2].partitioned.Store(true)
	for i := 0; crashes() < freeCrashes; i++ {
		wantRefusedForCrashes(t, nodes[i%2].chat(t, "shared", "poison", fmt.Sprint("request ", i)))
	}
	time.Sleep(2 * time.Second) // less than the contact time of 3 s
	before := crashes()
	for i := range 6 {
		wantRefusedForCrashes(t, nodes[i%2].chat(t, fmt.Sprint("other ", i), "poison", fmt.Sprint("later request ", i)))
	}
	nodes[2].partitioned.Store(false)
	time.Sleep(2 * time.Second)
	wantRefusedForCrashes(t, nodes[2].chat(t, "shared", "poison", "request after the partition"))
	// A further crash is needed to tell the message from "shared", which all had so far.
	if got := crashes() - before; got > lateCrashes {
		t.Errorf("crashes after %d had the message in common: got %d, want at most %d", before, got, lateCrashes)
	}
	for i, n := range nodes {
		if resp := n.chat(t, "shared", "harmless", fmt.Sprint("sound request ", i)); resp.StatusCode != http.StatusOK {
			t.Errorf("request with the same key and first message at node %d: got %s, want 200", i, resp.Status)
		}
	}
}
