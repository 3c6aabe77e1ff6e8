package plan

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

func runPlan(t *testing.T, path string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := planRun(&Options{Streams: factory.Streams{Out: &out}, Now: func() time.Time { return time.Unix(1e9, 0) }, File: path})
	return out.String(), err
}

func TestPlan(t *testing.T) {
	t.Run("the example file starts a VM to replace the one with a reclaim notice", func(t *testing.T) {
		got, err := runPlan(t, filepath.Join("..", "..", "..", "..", "examples", "fleet", "consortium.toml"))
		if err != nil || !strings.Contains(got, "start assistant") {
			t.Errorf("plan: got %q, %v, want an order to start a VM of the assistant", got, err)
		}
	})
	t.Run("a file without prices returns the exit code for invalid files", func(t *testing.T) {
		_, err := runPlan(t, filepath.Join("..", "..", "..", "..", "examples", "loopback", "site.toml"))
		if got, want := factory.ExitCode(err), factory.ExitInvalid; got != want {
			t.Errorf("exit code: got %d, want %d", got, want)
		}
	})
}
