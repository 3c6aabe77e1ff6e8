package replica

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/jaystage/jaystage/pkg/wal"
)

// simFile is a file of a simDisk. A loss of power removes the data after the synced bytes.
type simFile struct {
	id     int
	data   []byte
	synced int
}

// simDisk is an in-memory file system that refuses writes while it is full. Directory
// changes are durable at once.
type simDisk struct {
	rng    *rand.Rand
	files  map[string]*simFile
	lastID int
	full   bool
}

// refuse returns ENOSPC with a probability while the disk is full.
func (d *simDisk) refuse(share float64) error {
	if d.full && d.rng.Float64() < share {
		return syscall.ENOSPC
	}
	return nil
}

// losePower removes random parts of what was not synced.
func (d *simDisk) losePower() {
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		f.data = f.data[:f.synced+d.rng.IntN(len(f.data)-f.synced+1)]
		f.synced = len(f.data)
	}
}

func (d *simDisk) MkdirAll(string) error { return d.refuse(0.1) }

func (d *simDisk) ReadDir(string) (names []string, err error) {
	for name := range d.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (d *simDisk) ReadFile(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (d *simDisk) Create(name string) (wal.File, error) {
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	if err := d.refuse(0.5); err != nil {
		return nil, err
	}
	d.lastID++
	f := &simFile{id: d.lastID}
	d.files[name] = f
	return &openFile{d, f}, nil
}

func (d *simDisk) Truncate(name string, size int64) error {
	if err := d.refuse(0.2); err != nil {
		return err
	}
	f := d.files[name]
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return nil
}

func (d *simDisk) Rename(from, to string) error {
	if err := d.refuse(0.4); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *simDisk) Remove(name string) error {
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	if err := d.refuse(0.1); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *simDisk) SyncDir(string) error { return d.refuse(0.2) }

func (d *simDisk) SyncFile(name string) error {
	return (&openFile{d, d.files[name]}).Sync()
}

func (d *simDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), d.refuse(0.1) }

func (d *simDisk) FileID(name string) (string, error) { return fmt.Sprint(d.files[name].id), nil }

type openFile struct {
	disk *simDisk
	file *simFile
}

// Write stores a part of the data on a full disk, as the kernel does.
func (f *openFile) Write(b []byte) (int, error) {
	n, err := len(b), error(nil)
	if f.disk.full && f.disk.rng.IntN(10) > 0 { // small writes may still fit into the last block
		n, err = f.disk.rng.IntN(len(b)), syscall.ENOSPC
	}
	f.file.data = append(f.file.data, b[:n]...)
	return n, err
}

func (f *openFile) Sync() error {
	if err := f.disk.refuse(0.3); err != nil {
		return err
	}
	f.file.synced = len(f.file.data)
	return nil
}

func (f *openFile) Close() error { return nil }
