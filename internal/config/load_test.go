package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/tomlfile"
)

func TestExamplesLoad(t *testing.T) {
	for _, files := range [][]string{
		{"consortium/base.toml", "consortium/lahore.toml"},
		{"federwerk/base.toml", "federwerk/austria-east.toml"},
		{"loopback/site.toml"},
	} {
		t.Run("documented example is accepted: "+files[0], func(t *testing.T) {
			paths := make([]string, 0, len(files))
			for _, f := range files {
				paths = append(paths, filepath.Join("..", "..", "examples", f))
			}
			if _, err := Load(paths[0], paths[1:]...); err != nil {
				t.Errorf("Load(%v): got %v, want no error", files, err)
			}
		})
	}
}

const goodBase = `name = "x"
[[account]]
name = "a"
token = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
weight = 1
[[service]]
name = "s"
kind = "plain"
version = "v1"
start = 1
[[service.class]]
name = "c"
first = "1s"
complete = "2s"
progress = "1s"
[[service.route]]
path = "/"
class = "c"
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func assertProblems(t *testing.T, err error, want []tomlfile.Problem) {
	t.Helper()
	var got tomlfile.Problems
	errors.As(err, &got)
	for _, w := range want {
		if !slices.ContainsFunc(got, func(p tomlfile.Problem) bool { return p.Line == w.Line && p.Key == w.Key }) {
			t.Errorf("problems: got\n%v\nwant one at line %d for %s", got, w.Line, w.Key)
		}
	}
	if len(got) != len(want) {
		t.Errorf("number of problems: got %d, want %d:\n%v", len(got), len(want), got)
	}
}

func TestLoadReportsEveryProblemAtItsLine(t *testing.T) {
	tests := []struct {
		name, text string
		want       []tomlfile.Problem
	}{
		{"unknown key", goodBase + "pth = \"/\"\n", []tomlfile.Problem{{Line: 19, Key: "service[s].route[0].pth"}}},
		{"duration without a unit", goodBase + "[[service.class]]\nname = \"d\"\nfirst = 1\ncomplete = \"2\"\nprogress = \"1s\"\n", []tomlfile.Problem{
			{Line: 21, Key: "service[s].class[d].first"}, {Line: 22, Key: "service[s].class[d].complete"},
		}},
		{"two elements with the same name", goodBase + "[[service.class]]\nname = \"c\"\nfirst = \"1s\"\ncomplete = \"2s\"\nprogress = \"1s\"\n", []tomlfile.Problem{
			{Line: 19, Key: "service[s].class[c]"},
		}},
		{"all invalid values are reported", goodBase + "[[service.class]]\nname = \"d\"\nfirst = \"3s\"\ncomplete = \"2s\"\nprogress = \"0s\"\n", []tomlfile.Problem{
			{Line: 21, Key: "service[s].class[d].first"}, {Line: 23, Key: "service[s].class[d].progress"},
		}},
		{"truncated file", goodBase + "[[service", []tomlfile.Problem{{Line: 19, Key: ""}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Load(write(t, "base.toml", tt.text))
			assertProblems(t, err, tt.want)
		})
	}
}

func TestOverlayMergesByName(t *testing.T) {
	overlay := "name = \"y\"\n[[service]]\nname = \"s\"\nversion = \"v2\"\n[[service.class]]\nname = \"c\"\ncomplete = \"9s\"\n"
	site, err := Load(write(t, "base.toml", goodBase), write(t, "overlay.toml", overlay))
	if err != nil {
		t.Fatal(err)
	}
	t.Run("overlay value replaces base value", func(t *testing.T) {
		if got, want := site.Services[0].Version, "v2"; got != want {
			t.Errorf("version: got %s, want %s", got, want)
		}
	})
	t.Run("values missing in the overlay are kept", func(t *testing.T) {
		got, want := site.Services[0].Classes[0], Class{
			Name: "c", FirstTokenTarget: Duration(time.Second), CompletionTarget: Duration(9 * time.Second),
			ProgressTimeout: Duration(time.Second),
		}
		if got != want {
			t.Errorf("class: got %+v, want %+v", got, want)
		}
	})
	t.Run("problem in an overlay is reported at its line", func(t *testing.T) {
		bad := write(t, "overlay.toml", "[[service]]\nname = \"s\"\nstart = 0\n")
		_, err := Load(write(t, "base.toml", goodBase), bad)
		var got tomlfile.Problems
		errors.As(err, &got)
		if len(got) != 1 || got[0].File != bad || got[0].Line != 3 {
			t.Errorf("problems: got %v, want one at line 3 of the overlay", got)
		}
	})
}

func FuzzLoad(f *testing.F) {
	f.Add(goodBase)
	f.Add("[[service]]\nname = 1\nclass = [1, {name = \"x\"}]\n[service.x]\n")
	f.Add("a.b.c = [[1], {}]\n[a.b]\nd = 1\n")
	f.Add("[[account")
	f.Fuzz(func(_ *testing.T, text string) {
		d := tomlfile.Parse("fuzz.toml", []byte(text))
		var site Site
		if d.Decode(&site) {
			site.check(d.Report)
		}
		_ = d.Err()
	})
}
