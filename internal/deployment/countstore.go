package deployment

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// countFile is the file in a voter's data directory that holds the counts of usage windows.
const countFile = "usage-counts"

// countStore keeps the counts of usage windows in a file. Each save replaces the file, so that
// after a power loss it holds what was saved last or the time before.
type countStore struct{ dir string }

// Save implements control.CountStore.
func (s countStore) Save(data []byte) error {
	path := filepath.Join(s.dir, countFile)
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Load implements control.CountStore.
func (s countStore) Load() ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(s.dir, countFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return data, err
}
