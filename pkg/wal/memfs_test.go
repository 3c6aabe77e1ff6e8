package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"
)

var (
	errCrash = errors.New("process was killed")
	errDisk  = errors.New("input/output error")
)

// inode is a file. A crash may lose the data after the first synced bytes.
type inode struct {
	data   []byte
	synced int
}

// memFS is an in-memory file system. A crash may lose any sectors of unsynced data, and
// the most recent unsynced changes of the directory.
type memFS struct {
	rng             *rand.Rand
	names           map[string]*inode         // files in the directory, by path
	durable         map[string]*inode         // files that are certain to remain after a crash, by path
	unsyncedChanges []func(map[string]*inode) // changes of the directory since its last sync

	crashIn       int // operations until the process is killed; 0 for never
	fullIn        int // operations until the disk is full
	fullFor       int // operations that the disk then refuses
	failSync      bool
	ignoreSync    bool // mutation: syncing a file does nothing
	ignoreSyncDir bool // mutation: syncing the directory does nothing
}

func newMemFS(seed uint64) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, 2)), names: map[string]*inode{}, durable: map[string]*inode{}}
}

// countOperation counts an operation and returns errCrash if the process is killed before it.
func (m *memFS) countOperation() error {
	if m.crashIn == 1 {
		return errCrash
	}
	if m.crashIn > 1 {
		m.crashIn--
	}
	if m.fullIn > 0 {
		m.fullIn--
	} else if m.fullFor > 0 {
		m.fullFor--
		return syscall.ENOSPC
	}
	return nil
}

// crash simulates a power loss: it randomly discards unsynced data and directory changes.
func (m *memFS) crash() {
	for _, change := range m.unsyncedChanges[:m.rng.IntN(len(m.unsyncedChanges)+1)] {
		change(m.durable)
	}
	m.unsyncedChanges, m.names, m.crashIn = nil, map[string]*inode{}, 0
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[name]
		end := f.synced + m.rng.IntN(len(f.data)-f.synced+1)
		f.data = f.data[:end]
		for start := f.synced; start < end; start = (start/sectorBytes + 1) * sectorBytes {
			if m.rng.IntN(4) == 0 {
				clear(f.data[start:min((start/sectorBytes+1)*sectorBytes, end)])
			}
		}
		f.synced = end
		m.names[name] = f
	}
}

func (m *memFS) changeDirectory(change func(map[string]*inode)) {
	change(m.names)
	m.unsyncedChanges = append(m.unsyncedChanges, change)
}

func (m *memFS) MkdirAll(string) error { return m.countOperation() }

func (m *memFS) ReadDir(string) ([]string, error) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		names = append(names, filepath.Base(name))
	}
	return names, m.countOperation()
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.data), m.countOperation()
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	if m.names[name] != nil {
		return nil, fs.ErrExist
	}
	f := &inode{}
	m.changeDirectory(func(names map[string]*inode) { names[name] = f })
	return &memFile{m, f}, nil
}

func (m *memFS) Truncate(name string, size int64) error {
	f := m.names[name]
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return m.countOperation()
}

func (m *memFS) SyncFile(name string) error {
	return (&memFile{m, m.names[name]}).Sync()
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	f := m.names[from]
	m.changeDirectory(func(names map[string]*inode) {
		delete(names, from)
		names[to] = f
	})
	return nil
}

func (m *memFS) Remove(name string) error {
	if m.names[name] == nil {
		return fs.ErrNotExist
	}
	if err := m.countOperation(); err != nil {
		return err
	}
	m.changeDirectory(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countOperation(); err != nil || m.ignoreSyncDir {
		return err
	}
	for _, change := range m.unsyncedChanges {
		change(m.durable)
	}
	m.unsyncedChanges = nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return &memFile{fs: m}, m.countOperation() }

// FileID returns the address of the inode. A renamed file keeps it; a copy has a different
// one.
func (m *memFS) FileID(name string) (string, error) {
	return fmt.Sprintf("%p", m.names[name]), m.countOperation()
}

type memFile struct {
	fs    *memFS
	inode *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	start := len(f.inode.data)
	f.inode.data = append(f.inode.data, b...)
	err := f.fs.countOperation()
	if errors.Is(err, syscall.ENOSPC) {
		n := f.fs.rng.IntN(len(b)) // as much as fits
		f.inode.data = f.inode.data[:start+n]
		return n, err
	}
	return len(b), err
}

func (f *memFile) Sync() error {
	if f.fs.failSync {
		return errDisk
	}
	if err := f.fs.countOperation(); err != nil || f.fs.ignoreSync {
		return err
	}
	f.inode.synced = len(f.inode.data)
	return nil
}

func (f *memFile) Close() error { return nil }
