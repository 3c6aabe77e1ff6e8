package table

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

const docs = "../../../../docs/"

// Fails when docs/CAPACITY.md has a table that the command does not print from
// docs/capacity.toml, or lacks one that it prints.
func TestPageMatchesCommandOutput(t *testing.T) {
	page, err := os.ReadFile(docs + "CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, size := range []string{"full", "today"} {
		var out bytes.Buffer
		if err := tableRun(&Options{Streams: factory.Streams{Out: &out}, Slopes: docs + "capacity.toml", Size: size}); err != nil {
			t.Fatal(err)
		}
		for section := range strings.SplitSeq(out.String(), "\n\n**") {
			section = strings.TrimSpace(section)
			lines += strings.Count(section, "\n|")
			if !strings.Contains(string(page), section+"\n") {
				t.Errorf("docs/CAPACITY.md lacks this table printed by jaystage capacity table --size %s:\n%s", size, section)
			}
		}
	}
	if got := strings.Count(string(page), "\n|"); got != lines {
		t.Errorf("table lines in docs/CAPACITY.md: got %d, want the %d that the command prints", got, lines)
	}
}

func TestUnknownSizeIsUsageError(t *testing.T) {
	err := tableRun(&Options{Size: "huge"})
	var exit *factory.ExitError
	if !errors.As(err, &exit) || exit.Code != factory.ExitUsage {
		t.Errorf("error: got %v, want a usage error", err)
	}
}
