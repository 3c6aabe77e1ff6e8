package replica

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jaystage/jaystage/pkg/wal"
)

// fullDisk fails writes with ENOSPC while full is set.
type fullDisk struct {
	wal.OS
	full *atomic.Bool
}

func (d fullDisk) Create(name string) (wal.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.OS.Create(name)
	return fullFile{f, d.full}, err
}

type fullFile struct {
	wal.File
	full *atomic.Bool
}

func (f fullFile) Write(b []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// Guards against a voter that exits, or that never becomes a voter again, after its
// disk was full for a while.
func TestVoterRecoversAfterFullDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	full := map[string]*atomic.Bool{}
	var mu sync.Mutex
	for _, name := range c.voters {
		full[name] = &atomic.Bool{}
	}
	c.newFS = func(name string) wal.FS {
		mu.Lock()
		defer mu.Unlock()
		return fullDisk{full: full[name]}
	}
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	leader := c.leader("a", "b", "c")
	c.change(leader, "one", "domain/x", `{"name":"x"}`)
	full[leader].Store(true)
	var others []string
	for _, name := range c.voters {
		if name != leader {
			others = append(others, name)
		}
	}
	c.change(others[0], "two", "domain/y", `{"name":"y"}`)
	next := c.leader(others...)
	version := c.change(next, "three", "domain/z", `{"name":"z"}`)
	full[leader].Store(false)
	eventually(t, "the voter has applied what was committed meanwhile", func() bool {
		applied := make(chan uint64, 1)
		m := c.node(leader)
		m.voter.inbox <- request{run: func() { applied <- m.voter.machine.Space.Version }}
		return <-applied >= version
	})
}
