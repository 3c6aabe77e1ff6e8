package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	// Sync returns after all written data is on the disk.
	Sync() error
}

// FS is the file system that a log uses. Tests replace it with an implementation that
// loses unsynced writes.
type FS interface {
	// MkdirAll creates a directory and its parents.
	MkdirAll(dir string) error
	// ReadDir returns the file names in a directory in ascending order.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates a file. It fails if the file exists.
	Create(name string) (File, error)
	// Truncate shortens a file and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock locks a file against other processes until the returned closer is closed.
	Lock(name string) (io.Closer, error)
	// SyncFile syncs the content of a file that an earlier process wrote.
	SyncFile(name string) error
	// FileID returns an identifier of a file. A renamed file keeps its identifier; a copy
	// has a different one.
	FileID(name string) (string, error)
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FS. It syncs the parent directory to make the new directory
// durable.
func (OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(dir))
}

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w: %s is locked by another process", ErrLocked, name)
	}
	return f, nil
}

// SyncFile implements FS.
func (OS) SyncFile(name string) (err error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return f.Sync()
}

// FileID implements FS. The identifier consists of the inode number and, if the file
// system records it, the creation time. Copying or restoring a file cannot preserve them.
func (OS) FileID(name string) (string, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, name, 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return "", fmt.Errorf("stat %s: %w", name, err)
	}
	id := fmt.Sprintf("%d", st.Ino)
	if st.Mask&unix.STATX_BTIME != 0 {
		id += fmt.Sprintf(":%d.%09d", st.Btime.Sec, st.Btime.Nsec)
	}
	return id, nil
}

// OSWithoutFileID is OS for file systems whose inode numbers and creation times change
// across restarts. A copied or restored directory cannot be detected there. The leader of
// the group still detects a directory that lacks entries which the voter acknowledged.
type OSWithoutFileID struct{ OS }

// FileID implements FS. It returns the same identifier for all files.
func (OSWithoutFileID) FileID(string) (string, error) { return "unstamped", nil }
