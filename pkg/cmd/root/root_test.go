package root

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	f := &factory.Factory{Streams: factory.Streams{Out: &o, Err: &e}, HTTP: &http.Client{}}
	code = Main(context.Background(), f, args)
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"an unknown command is a usage error", []string{"confg"}, factory.ExitUsage},
		{"an unknown subcommand is a usage error", []string{"domain", "lst"}, factory.ExitUsage},
		{"a missing argument is a usage error", []string{"domain", "drain"}, factory.ExitUsage},
		{"an invalid file has its own exit code", []string{"config", "check", "absent.toml"}, factory.ExitInvalid},
		{"a node without settings is a usage error", []string{"node"}, factory.ExitUsage},
		{"an unreachable node is a general failure", []string{"domain", "list", "--address", "127.0.0.1:1"}, factory.ExitFailed},
		{"help succeeds", []string{"domain", "--help"}, factory.ExitOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, errOut := run(tt.args...)
			if got != tt.want {
				t.Errorf("exit code of %v: got %d (%s), want %d", tt.args, got, errOut, tt.want)
			}
		})
	}
}

func TestEveryCommandHasExample(t *testing.T) {
	var check func(c *ffcli.Command)
	check = func(c *ffcli.Command) {
		if len(c.Subcommands) == 0 && c.Name != "version" && !strings.Contains(c.LongHelp, "Example:\n  ") {
			t.Errorf("help of %q: got no example, want one", c.ShortUsage)
		}
		for _, sub := range c.Subcommands {
			check(sub)
		}
	}
	check(NewCmdRoot(&factory.Factory{Streams: factory.Streams{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}}))
}

func TestCompletionListsSubcommandsAndFlags(t *testing.T) {
	_, out, _ := run("completion", "bash")
	for _, want := range []string{"'/domain') words='list drain resume'", "'/config/apply') words='--address"} {
		if !strings.Contains(out, want) {
			t.Errorf("completion script: got no %q", want)
		}
	}
}
