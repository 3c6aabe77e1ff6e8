package list

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/wire"
)

type fakeClient struct{ view config.View }

func (c fakeClient) Upstreams(context.Context) ([]upstream.Entry, error) {
	return []upstream.Entry{{Announce: wire.Announce{ID: "u", Domain: "cantt", Ready: true}}}, nil
}

func (c fakeClient) Config(context.Context) (config.View, error) { return c.view, nil }

func TestListShowsDrains(t *testing.T) {
	drain := map[string]config.Drain{"u": {}, "cantt": {}}
	tests := []struct {
		name string
		view config.View
		want string
	}{
		{"a drained upstream is shown as drained", config.View{DrainedUpstreams: drain}, " drained"},
		{"an upstream in a drained failure domain is shown as such", config.View{DrainedDomains: drain}, "domain drained"},
		{"an upstream without a drain is ready", config.View{}, "ready"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			opts := &Options{Streams: factory.Streams{Out: &out}, Client: func(factory.Target) Client { return fakeClient{tt.view} }}
			if err := listRun(context.Background(), opts); err != nil {
				t.Fatal(err)
			}
			if got := out.String(); !strings.Contains(got, tt.want) {
				t.Errorf("list: got %q, want it to contain %q", got, tt.want)
			}
		})
	}
}
