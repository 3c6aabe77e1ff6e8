package settings

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/jaystage/jaystage/internal/tomlfile"
)

func TestLoadAcceptsExamples(t *testing.T) {
	for _, name := range []string{"n1.toml", "n2.toml", "n3.toml"} {
		t.Run("documented example is valid: "+name, func(t *testing.T) {
			if _, err := Load(filepath.Join("..", "..", "examples", "loopback", name)); err != nil {
				t.Errorf("Load: got %v, want no error", err)
			}
		})
	}
}

func TestCheckRefusesUnsafeSettings(t *testing.T) {
	base := func() Settings {
		s, err := Load(filepath.Join("..", "..", "examples", "loopback", "n1.toml"))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	tests := []struct {
		name   string
		change func(*Settings)
		want   string
	}{
		{"links without TLS are limited to loopback", func(s *Settings) { s.Listen.Peers = "10.0.0.1:7004" }, "security.plaintext"},
		{"a voter needs a data directory", func(s *Settings) { s.Node.DataDir = "" }, "node.data"},
		{"a memory below zero is rejected", func(s *Settings) { s.Node.Memory = -1 }, "node.memory"},
		{"a short peer key is rejected", func(s *Settings) { s.Security.PeerKey = "short" }, "security.peer_key"},
		{"a token in plain text is rejected", func(s *Settings) { s.Security.OperatorTokens[0].Hash = "secret" }, "security.operator[demo].token"},
		{"a node listed as a voter must be a voter", func(s *Settings) { s.Node.Voter = false }, "node.voter"},
		{"links without TLS require plaintext = true", func(s *Settings) { s.Security.Plaintext = false }, "security.cert"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := base()
			tt.change(&s)
			var got []string
			s.check(func(key, _ string, _ ...any) { got = append(got, key) })
			if len(got) != 1 || got[0] != tt.want {
				t.Errorf("problems: got %v, want [%s]", got, tt.want)
			}
		})
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	_, err := Load("absent.toml")
	var got tomlfile.Problems
	if !errors.As(err, &got) || got[0].File != "absent.toml" {
		t.Errorf("Load: got %v, want a problem that names the file", err)
	}
}
