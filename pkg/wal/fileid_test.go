package wal

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// TestOpenOnFileSystemWithUnstableFileIDs guards against a voter that refuses its own
// directory after a restart on a file system with unstable inode numbers. The test
// simulates the change by replacing the identity file with a copy, which has a
// different inode number.
func TestOpenOnFileSystemWithUnstableFileIDs(t *testing.T) {
	for _, c := range []struct {
		name string
		fs   FS
		want error
	}{{"with file ids", OS{}, ErrCopied}, {"without file ids", OSWithoutFileID{}, nil}} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "voter")
			open := func() error {
				l, err := Open(dir, Options{Name: "a", FS: c.fs})
				if err != nil {
					return err
				}
				return l.Close()
			}
			if err := open(); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, identityName)
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path+".copy", data, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(path+".copy", path); err != nil {
				t.Fatal(err)
			}
			if got := open(); !errors.Is(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
