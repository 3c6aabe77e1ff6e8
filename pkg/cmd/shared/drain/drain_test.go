package drain

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/operator"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/wire"
)

type fakeClient struct {
	view             config.View
	result           wire.Changed
	changes          []wire.Change
	waitInForceCalls []uint64
}

func (c *fakeClient) Config(context.Context) (config.View, error) { return c.view, nil }

func (c *fakeClient) Change(_ context.Context, change wire.Change) (wire.Changed, error) {
	c.changes = append(c.changes, change)
	return c.result, nil
}

func (c *fakeClient) WaitInForce(_ context.Context, version uint64) (operator.InForceStatus, error) {
	c.waitInForceCalls = append(c.waitInForceCalls, version)
	return operator.InForceStatus{Version: version, InForce: len(c.waitInForceCalls) > 1}, nil
}

func newOptions(c *fakeClient) *Options {
	c.view.Version = 7
	c.view.Domains = map[string]config.Domain{"cantt": {Name: "cantt"}}
	return &Options{
		Streams: factory.Streams{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}, Client: func(factory.Target) Client { return c },
		Now: func() time.Time { return time.UnixMilli(1000) }, Kind: Domain, Name: "cantt", Reason: "power",
	}
}

func TestRun(t *testing.T) {
	t.Run("a drain is submitted with its reason, time and base version", func(t *testing.T) {
		c := &fakeClient{}
		if err := Run(context.Background(), newOptions(c)); err != nil {
			t.Fatal(err)
		}
		if len(c.changes) != 1 || c.changes[0].Base != 7 || c.changes[0].Items[0].Key != "drain/domain/cantt" {
			t.Fatalf("changes: got %+v, want one of drain/domain/cantt at base 7", c.changes)
		}
		var got config.Drain
		if err := json.Unmarshal(c.changes[0].Items[0].Value, &got); err != nil {
			t.Fatal(err)
		}
		if want := (config.Drain{Reason: "power", Since: 1000}); got != want {
			t.Errorf("drain: got %+v, want %+v", got, want)
		}
	})
	t.Run("an unknown failure domain is rejected", func(t *testing.T) {
		c := &fakeClient{}
		opts := newOptions(c)
		opts.Name = "cannt"
		if err := Run(context.Background(), opts); err == nil || len(c.changes) != 0 {
			t.Errorf("Run: got error %v and %d changes, want an error and none", err, len(c.changes))
		}
	})
	t.Run("a drain in force is not overwritten with a new time", func(t *testing.T) {
		c := &fakeClient{view: config.View{DrainedDomains: map[string]config.Drain{"cantt": {}}}}
		if err := Run(context.Background(), newOptions(c)); err != nil || len(c.changes) != 0 {
			t.Errorf("Run: got error %v and %d changes, want none", err, len(c.changes))
		}
	})
	t.Run("--wait returns only when the change is in force", func(t *testing.T) {
		c := &fakeClient{result: wire.Changed{Version: 8}}
		opts := newOptions(c)
		opts.Wait = true
		if err := Run(context.Background(), opts); err != nil {
			t.Fatal(err)
		}
		if got, want := len(c.waitInForceCalls), 2; got != want || c.waitInForceCalls[0] != 8 {
			t.Errorf("WaitInForce calls for version 8: got %v, want %d", c.waitInForceCalls, want)
		}
	})
	t.Run("a conflict with another operator has its own exit code", func(t *testing.T) {
		c := &fakeClient{result: wire.Changed{Version: 8, Conflict: []wire.Item{{Key: "drain/domain/cantt"}}}}
		err := Run(context.Background(), newOptions(c))
		if got, want := factory.ExitCode(err), factory.ExitConflict; got != want {
			t.Errorf("exit code: got %d, want %d", got, want)
		}
	})
}
