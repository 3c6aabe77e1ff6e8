package replica

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/wal"
	"github.com/jaystage/jaystage/pkg/wire"
)

// testTimeout bounds the wait for a condition that must become true. It says nothing
// about how soon it should.
const testTimeout = 60 * time.Second

// mutation disables one rule, so that a run shows which test fails without it.
var mutation = flag.String("mutation", "", "rule to disable: leaseReceipt, newID, noWait or ignoreExpiry")

// cluster runs replicas in the test process, connected over loopback.
type cluster struct {
	t      testing.TB
	dir    string
	voters []string
	seeds  []string

	mu        sync.Mutex
	addresses map[string]string
	isolated  map[string]bool
	groupSize int // Config.GroupSize of all nodes
	newFS     func(name string) wal.FS
	joiners   []string // voters outside the initial group
	nodes     map[string]*testReplica
	hooks     hooks
	onReply   map[string]func(kind string) error
}

// testReplica is one running replica.
type testReplica struct {
	*Replica
	cancel context.CancelFunc
	done   chan struct{}
	server *httptest.Server
}

func newCluster(t testing.TB, voters ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), voters: voters, seeds: voters, addresses: map[string]string{},
		isolated: map[string]bool{}, nodes: map[string]*testReplica{}, onReply: map[string]func(string) error{},
	}
	switch *mutation {
	case "":
	case "leaseReceipt":
		c.hooks.leaseReceipt = true
	case "newID":
		c.hooks.newID = true
	case "noWait":
		c.hooks.noWait = true
	case "ignoreExpiry":
		c.hooks.ignoreExpiry = true
	default:
		t.Fatalf("unknown mutation %q", *mutation)
	}
	t.Cleanup(func() {
		for name := range c.nodes {
			c.cancel(name)
		}
		for name := range c.nodes {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) start(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.startOne(name)
	}
}

func (c *cluster) startOne(name string) {
	c.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("JAYSTAGE_TEST_LOG") != "" {
		log.SetOutput(os.Stderr)
		log.SetLevel(logrus.DebugLevel)
	}
	links := peer.New(peer.Config{Name: name, Incarnation: 1, Key: []byte("0123456789abcdef"), Log: log, Address: c.address})
	hooks := c.hooks
	hooks.drop = func(to, _ string) bool { return c.partitioned(name, to) }
	hooks.onReply = func(kind string) error {
		c.mu.Lock()
		f := c.onReply[name]
		c.mu.Unlock()
		if f == nil {
			return nil
		}
		return f(kind)
	}
	joins := contains(c.joiners, name)
	voter := contains(c.voters, name) || joins
	if c.newFS != nil {
		hooks.fs = c.newFS(name)
	}
	r, err := Open(Config{
		Entry: config.Node{Name: name, Domain: "d-" + name}, Voter: voter, JoinOnly: joins, GroupSize: c.groupSize, DataDir: filepath.Join(c.dir, name),
		InitialVoters: c.voters, Seeds: c.seeds, Links: links, Log: log.WithField("node", name), hooks: hooks,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	server := httptest.NewServer(links.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	m := &testReplica{Replica: r, cancel: cancel, done: make(chan struct{}), server: server}
	c.mu.Lock()
	c.addresses[name], c.nodes[name] = server.Listener.Addr().String(), m
	c.mu.Unlock()
	linksCtx, stopLinks := context.WithCancel(context.Background())
	linksDone := make(chan struct{})
	go func() { defer close(linksDone); links.Run(linksCtx) }()
	go func() {
		defer close(m.done)
		_ = r.Run(ctx)
		stopLinks()
		<-linksDone
		server.CloseClientConnections()
		server.Close()
	}()
}

func contains(list []string, name string) bool {
	for _, l := range list {
		if l == name {
			return true
		}
	}
	return false
}

func (c *cluster) address(name string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.addresses[name]
	return a, ok
}

func (c *cluster) partitioned(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[from] || c.isolated[to]
}

// isolate partitions a node from all other nodes or ends the partition.
func (c *cluster) isolate(name string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = isolated
}

func (c *cluster) node(name string) *testReplica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

func (c *cluster) cancel(name string) { c.node(name).cancel() }

// stop shuts a node down gracefully.
func (c *cluster) stop(name string) {
	m := c.node(name)
	m.cancel()
	<-m.done
}

// kill stops a node without any message to the other nodes, as when its VM is lost.
func (c *cluster) kill(name string) {
	c.isolate(name, true)
	c.stop(name)
	c.isolate(name, false)
}

// wipe removes the data directory of a stopped node.
func (c *cluster) wipe(name string) {
	c.t.Helper()
	if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
		c.t.Fatal(err)
	}
}

// eventually polls a condition until it holds; after testTimeout the test fails.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) ready(names ...string) {
	c.t.Helper()
	for _, name := range names {
		eventually(c.t, name+" has a lease", func() bool { _, ok := c.node(name).View(time.Now()); return ok })
	}
}

// leader waits until one of the given nodes leads and returns its name.
func (c *cluster) leader(among ...string) string {
	c.t.Helper()
	var name string
	eventually(c.t, "a node leads", func() bool {
		for _, n := range among {
			if c.node(n).isLeader() {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (m *testReplica) isLeader() bool {
	return m.voter != nil && m.voter.linearizableRead(func(*leaderState) {}) == nil
}

func change(id, key, value string, base uint64) wire.Change {
	return wire.Change{ID: id, Base: base, Items: []wire.Item{{Key: key, Value: []byte(value)}}}
}

func (c *cluster) change(node, id, key, value string) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	m := c.node(node)
	for {
		got, err := m.Change(ctx, change(id, key, value, m.view.version()))
		if err != nil {
			c.t.Fatalf("change %s through %s: %v", id, node, err)
		}
		if len(got.Conflict) == 0 {
			return got.Version
		}
		id += "+"
	}
}

// inForce waits until a version is in force on all nodes.
func (c *cluster) inForce(node string, version uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := c.node(node).WaitInForce(ctx, version); err != nil {
		c.t.Fatalf("version %d is not in force: %v", version, err)
	}
}

func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i+1))
	}
	return list
}
