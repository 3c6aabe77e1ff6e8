package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/pelletier/go-toml/v2"

	_ "github.com/jaystage/jaystage/platform" // go test must not reuse a result for another state of the program
)

const repositoryRoot = "../.."

var fullCommit = regexp.MustCompile(`^[0-9a-f]{40}$`)

// productionCommit returns the commit that deploy/system.toml names as the release that
// upgrades start from.
func productionCommit(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct {
		Production string `toml:"production"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatalf("deploy/system.toml: %v", err)
	}
	if !fullCommit.MatchString(deploy.Production) {
		t.Fatalf("deploy/system.toml: production is %q; write the full hash of a commit, as git rev-parse prints it", deploy.Production)
	}
	return deploy.Production
}

// requireCommit fails the test if the clone does not contain a commit.
func requireCommit(t testing.TB, commit string) {
	t.Helper()
	if out, err := exec.Command("git", "-C", repositoryRoot, "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		t.Fatalf("commit %s, which deploy/system.toml names as production, is not in this clone (%v %s); "+
			"fetch it with git fetch --unshallow, or git fetch origin %s", commit, err, bytes.TrimSpace(out), commit)
	}
}

// buildCommit builds the program of a commit from the repository's history, in a directory
// and Go workspace of its own.
func buildCommit(t testing.TB, commit string) string {
	t.Helper()
	requireCommit(t, commit)
	dir := t.TempDir()
	archive := filepath.Join(dir, "archive.tar")
	tree := filepath.Join(dir, "tree")
	if err := os.Mkdir(tree, 0o700); err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(dir, "jaystage-platform")
	build := exec.Command("go", "build", "-o", binary, "./cmd/jaystage-platform")
	build.Dir = tree
	build.Env = append(build.Environ(), "GOWORK=") // the tree's own go.work
	for _, cmd := range []*exec.Cmd{
		exec.Command("git", "-C", repositoryRoot, "archive", "--format=tar", "-o", archive, commit),
		exec.Command("tar", "-xf", archive, "-C", tree),
		build,
	} {
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("build of %s: %v: %v\n%s", commit, cmd.Args, err, out)
		}
	}
	return binary
}
