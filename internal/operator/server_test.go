package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// memoryState is a key space without replication.
type memoryState struct{ space *state.Space }

func (s memoryState) Change(_ context.Context, c wire.Change) (wire.Changed, error) {
	return s.space.Apply(c), nil
}

func (s memoryState) View(time.Time) (*config.View, bool) {
	view, err := config.NewView(s.space.Version, s.space.Items)
	return view, err == nil
}

func (s memoryState) History(context.Context, uint64) ([]wire.Record, error) {
	return s.space.History, nil
}
func (s memoryState) WaitInForce(context.Context, uint64) error { return nil }
func (s memoryState) ChangeVoters(context.Context, wire.Voters) error {
	return errors.New("no such voter")
}

// newTestServer returns a client of a server that has one service with version v1.
func newTestServer(t *testing.T, token string) (*Client, memoryState) {
	t.Helper()
	s := memoryState{state.NewSpace()}
	items, err := config.Items(config.Site{Services: []config.Service{{Name: "chat", Version: "v1"}}})
	if err != nil {
		t.Fatal(err)
	}
	s.space.Apply(wire.Change{Items: items})
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := &Server{State: s, Events: event.NewRing(10), Tokens: bearer.Tokens{"op": bearer.Hash("secret")}, Log: log, Now: time.Now}
	h := httptest.NewServer(server.Handler())
	t.Cleanup(h.Close)
	return &Client{Address: strings.TrimPrefix(h.URL, "http://"), Token: token, HTTP: h.Client()}, s
}

func assertStatus(t *testing.T, err error, want int) {
	t.Helper()
	var status *StatusError
	if !errors.As(err, &status) || status.Status != want {
		t.Errorf("error: got %v, want status %d", err, want)
	}
}

func TestServer(t *testing.T) {
	ctx := context.Background()
	t.Run("a request with a wrong token reads and changes nothing", func(t *testing.T) {
		c, s := newTestServer(t, "guess")
		_, err := c.Config(ctx)
		assertStatus(t, err, http.StatusUnauthorized)
		_, err = c.Change(ctx, wire.Change{ID: "1", Items: []wire.Item{{Key: "drain/domain/x", Value: []byte(`{}`)}}})
		assertStatus(t, err, http.StatusUnauthorized)
		if s.space.Version != 1 {
			t.Errorf("version: got %d, want 1", s.space.Version)
		}
	})
	t.Run("a file from before a rollout does not revert its version", func(t *testing.T) {
		c, s := newTestServer(t, "secret")
		_, err := c.Change(ctx, wire.Change{ID: "1", Base: 1, Items: []wire.Item{{Key: "service/chat", Value: []byte(`{"name":"chat","version":"v0"}`)}}})
		assertStatus(t, err, http.StatusBadRequest)
		if s.space.Version != 1 {
			t.Errorf("version: got %d, want 1", s.space.Version)
		}
	})
	t.Run("an operator cannot set a drain under another name", func(t *testing.T) {
		c, _ := newTestServer(t, "secret")
		if _, err := c.Change(ctx, wire.Change{ID: "1", Base: 1, Author: "other", Items: []wire.Item{{Key: "drain/domain/x", Value: []byte(`{"author":"other"}`)}}}); err != nil {
			t.Fatal(err)
		}
		view, err := c.Config(ctx)
		if got := view.DrainedDomains["x"].Author; err != nil || got != "op" {
			t.Errorf("author: got %q, %v, want op", got, err)
		}
	})
	t.Run("a retry after a lost response is not applied twice", func(t *testing.T) {
		c, s := newTestServer(t, "secret")
		change := wire.Change{ID: "1", Base: 1, Items: []wire.Item{{Key: "drain/domain/x", Value: []byte(`{}`)}}}
		for i, want := range []bool{false, true} {
			got, err := c.Change(ctx, change)
			if err != nil || got.Repeated != want || got.Version != 2 {
				t.Errorf("response %d: got %+v, %v, want version 2, repeated %v", i+1, got, err, want)
			}
		}
		if s.space.Version != 2 {
			t.Errorf("version: got %d, want 2", s.space.Version)
		}
	})
	t.Run("the second of two concurrent changes gets a conflict", func(t *testing.T) {
		c, _ := newTestServer(t, "secret")
		set := func(id, reason string) wire.Changed {
			got, err := c.Change(ctx, wire.Change{ID: id, Base: 1, Items: []wire.Item{{Key: "drain/domain/x", Value: []byte(`{"reason":"` + reason + `"}`)}}})
			if err != nil {
				t.Fatal(err)
			}
			return got
		}
		if first, second := set("1", "a"), set("2", "b"); len(first.Conflict) != 0 || len(second.Conflict) != 1 {
			t.Errorf("conflicts: got %d and %d, want 0 and 1", len(first.Conflict), len(second.Conflict))
		}
	})
	t.Run("malformed JSON has no effect", func(t *testing.T) {
		c, s := newTestServer(t, "secret")
		req, err := http.NewRequest(http.MethodPost, "http://"+c.Address+"/v1/changes", strings.NewReader(`{"id":"1","items":[`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := c.HTTP.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || s.space.Version != 1 {
			t.Errorf("got %s and version %d, want 400 and version 1", resp.Status, s.space.Version)
		}
	})
}
