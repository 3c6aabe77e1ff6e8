package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
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

// Load pattern: the disks of all voters are full for some seconds each, one after another
// and never two at once, under a stream of changes. Guards against changes that are refused
// or stay unanswered after the last disk has room again, on any voter, and against a voter
// that does not catch up.
func TestChangesContinueAfterFullDisksInTurn(t *testing.T) {
	// The disks are full for longer than replaceAfter.
	const fullTime, gap, ackTime = replaceAfter + 300*time.Millisecond, 200 * time.Millisecond, 5 * time.Second
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size, " voters"), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, names("v", size)...)
			c.groupSize = size
			full := make(map[string]*atomic.Bool)
			for _, name := range c.voters {
				full[name] = &atomic.Bool{}
			}
			c.newFS = func(name string) wal.FS { return fullDisk{full: full[name]} }
			c.start(c.voters...)
			c.ready(c.voters...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var joins sync.WaitGroup
			defer func() { cancel(); joins.Wait() }()
			for _, name := range c.voters {
				joins.Add(1)
				go func() { defer joins.Done(); c.node(name).Join(ctx) }()
			}
			changes := c.streamChanges(c.voters...)
			for i := range size {
				name := c.voters[i]
				if i%2 == 0 {
					name = c.leader(c.voters...)
				}
				full[name].Store(true)
				time.Sleep(fullTime)
				full[name].Store(false)
				time.Sleep(gap)
			}
			acked := changes.end()
			for _, name := range c.voters {
				askCtx, stop := context.WithTimeout(ctx, ackTime)
				key, start := "domain/last-"+name, time.Now()
				got, err := c.node(name).Change(askCtx, change(key, key, `{"name":"x"}`, ^uint64(0)))
				if err != nil || len(got.Conflict) > 0 {
					t.Errorf("change through %s after all disks have room again: got %v and conflicts %v", name, err, got.Conflict)
				}
				view, err := c.node(name).Current(askCtx)
				if err != nil || view.Version < got.Version {
					t.Errorf("read through %s after all disks have room again: got %v", name, err)
				}
				stop()
				t.Logf("%s answered after %v", name, time.Since(start).Round(time.Millisecond))
				acked = append(acked, key)
			}
			t.Logf("%d changes were acknowledged", len(acked))
			for _, name := range c.voters {
				c.wantKept(name, acked)
			}
			c.wantGroup(c.voters[0], c.voters...)
			c.wantOneLeader(c.voters...)
		})
	}
}

// Guards against a process that ends because the disk of its voter is full when it starts,
// and against one that starts all the same where only an operator can help.
func TestVoterStartsOnFullDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	full := &atomic.Bool{}
	c.newFS = func(name string) wal.FS {
		if name == "c" {
			return fullDisk{full: full}
		}
		return wal.OS{}
	}
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	c.change("a", "one", "domain/x", `{"name":"x"}`)
	c.stop("c")
	full.Store(true)
	c.start("c")
	c.ready("c") // its session needs no disk
	if step, ok := c.node("c").voter.ownMembership(t.Context()); ok {
		t.Errorf("got the membership %+v of a voter that has not read its directory", step)
	}
	version := c.change("c", "two", "domain/y", `{"name":"y"}`)
	full.Store(false)
	eventually(t, "the voter has applied what was committed meanwhile", func() bool {
		applied := make(chan uint64, 1)
		m := c.node("c")
		m.voter.inbox <- request{run: func() { applied <- m.voter.machine.Space.Version }}
		return <-applied >= version
	})
	c.stop("c")
	path := filepath.Join(c.dir, "c")
	for _, damage := range []struct {
		name string
		do   func() error
	}{
		{"damaged identity", func() error { return os.WriteFile(filepath.Join(path, "identity"), []byte("{"), 0o600) }},
		{"no directory", func() error { return errors.Join(os.RemoveAll(path), os.WriteFile(path, nil, 0o600)) }},
	} {
		if err := damage.do(); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(Config{Entry: config.Node{Name: "c"}, Voter: true, DataDir: path, Links: noLinks{}, Log: logrus.New()}); err == nil {
			t.Errorf("%s: got no error", damage.name)
		}
	}
}

// emptyFilesDisk is a full disk on which files can still be created, but not written.
type emptyFilesDisk struct{ fullDisk }

func (d emptyFilesDisk) Create(name string) (wal.File, error) {
	f, err := d.OS.Create(name)
	return fullFile{f, d.full}, err
}

// Guards against a voter that runs out of file descriptors while its disk is full, because
// each attempt to open the directory leaves some open.
func TestFailedOpensLeaveNoFileOpen(t *testing.T) {
	full := &atomic.Bool{}
	for name, disk := range map[string]wal.FS{"no new files": fullDisk{full: full}, "empty files": emptyFilesDisk{fullDisk{full: full}}} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			r, err := Open(Config{Entry: config.Node{Name: "a"}, Voter: true, DataDir: filepath.Join(t.TempDir(), "a"), Links: noLinks{}, Log: log, hooks: hooks{fs: disk}})
			if err != nil {
				t.Fatal(err)
			}
			if err := r.voter.log.Close(); err != nil {
				t.Fatal(err)
			}
			full.Store(true)
			const attempts = 100
			before := openFiles(t)
			for range attempts {
				if err := r.voter.open(); !errors.Is(err, syscall.ENOSPC) {
					t.Fatalf("got %v, want ENOSPC", err)
				}
			}
			if after := openFiles(t); after-before >= attempts/2 {
				t.Errorf("got %d open files after %d failed attempts, and %d before", after, attempts, before)
			}
			full.Store(false)
			if err := r.voter.open(); err != nil {
				t.Errorf("with room again: %v", err)
			}
			if err := r.voter.log.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// openFiles returns the number of open files of the process.
func openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}

// noLinks reaches no other node.
type noLinks struct{}

func (noLinks) Handle(string, peer.Handler)                          {}
func (noLinks) Send(string, string, any) error                       { return peer.ErrUnreachable }
func (noLinks) Call(context.Context, string, string, any, any) error { return peer.ErrUnreachable }
func (noLinks) CloseIfSilent(string)                                 {}
