package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	voters  = 3
	entries = 3
	// basePort is the first of the ports for traffic between nodes; each node has one
	// of its own, so that a proxy stands on every path between two nodes.
	basePort    = 27600
	clientPort  = 28080
	readyPort   = 28081
	controlPort = 28082
	windowTime  = 2 * time.Second
	revokeTime  = 4 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 4 * time.Second
)

// vm is one process of the system with what it runs on.
type vm struct {
	name, host string
	voter      bool
	dir        string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // by SIGSTOP
}

// world is a whole deployment on loopback addresses of its own.
type world struct {
	t      testing.TB
	binary string
	net    byte // second part of all addresses, so that runs do not meet
	vms    []*vm
	// paths holds the proxy from one VM to another.
	paths map[[2]int]*proxy
	cloud string
	log   *os.File
}

func (w *world) host(i int) string { return fmt.Sprintf("127.%d.1.%d", w.net, i+1) }

func newWorld(t testing.TB, number byte, binary, cloud string) *world {
	t.Helper()
	w := &world{t: t, binary: binary, net: number, paths: make(map[[2]int]*proxy), cloud: cloud}
	dir := t.TempDir()
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	w.log = log
	for i := range voters + entries {
		v := &vm{name: fmt.Sprint("vm", i), host: w.host(i), voter: i < voters, dir: filepath.Join(dir, fmt.Sprint("vm", i))}
		if err := os.MkdirAll(v.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		w.vms = append(w.vms, v)
	}
	for i := range w.vms {
		for j, to := range w.vms {
			if i == j {
				continue
			}
			p, err := newProxy(net.JoinHostPort(to.host, fmt.Sprint(basePort+i)), net.JoinHostPort(to.host, fmt.Sprint(basePort+j)))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = p.l.Close() })
			w.paths[[2]int{i, j}] = p
		}
	}
	t.Cleanup(w.end)
	return w
}

// settings writes a VM's settings file as the platform does.
func (w *world) settings(i int, first bool) string {
	v := w.vms[i]
	var seeds []string
	for j := range voters {
		seeds = append(seeds, net.JoinHostPort(w.host(j), fmt.Sprint(controlPort)))
	}
	lines := []string{
		"node_name=" + v.name, "ip=" + v.host, "zone=a", fmt.Sprintf("internal_ports=%d,%d", basePort+i, basePort+i),
		"seed_nodes=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", first), "heartbeat_interval_ms=300", "limits.memory_mb=300",
		"fault_tolerance.machines=1", fmt.Sprintf("bounds.grace_period_s=%v", graceTime.Seconds()), "bounds.revoke_fail_closed=true",
		fmt.Sprintf("bounds.revoke_timeout_ms=%d", revokeTime.Milliseconds()), "bounds.retry_budget_ratio=0.2", "bounds.retry_budget_slack=50",
		"bounds.retry_window_s=10", fmt.Sprintf("bounds.usage_window_s=%v", windowTime.Seconds()), "bounds.exposure_share=0.1",
		"cloud.address=" + w.cloud, "cloud.duties=usage_reporting",
	}
	if v.voter {
		lines = append(lines, fmt.Sprintf("listen.control_plane=%s:%d", v.host, controlPort), "data_dir="+filepath.Join(v.dir, "data"))
	} else {
		lines = append(lines, fmt.Sprintf("listen.frontend=%s:%d", v.host, clientPort), fmt.Sprintf("listen.readiness=%s:%d", v.host, readyPort))
	}
	path := filepath.Join(v.dir, "local.conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		w.t.Error(err)
	}
	return path
}

func (w *world) start(i int, first bool) {
	v := w.vms[i]
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		return
	}
	cmd := exec.Command(w.binary)
	cmd.Env = []string{"JAYSTAGE_BOOT=" + w.settings(i, first), "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = w.log, w.log
	if err := cmd.Start(); err != nil {
		w.t.Errorf("start %s: %v", v.name, err)
		return
	}
	exited := make(chan struct{})
	v.cmd, v.exited, v.stopped = cmd, exited, false
	go func() {
		defer close(exited)
		_ = cmd.Wait()
		v.mu.Lock()
		defer v.mu.Unlock()
		v.cmd = nil
	}()
}

// signal sends a signal to a VM's process, by its id.
func (w *world) signal(i int, s syscall.Signal) <-chan struct{} {
	v := w.vms[i]
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	_ = v.cmd.Process.Signal(s)
	return v.exited
}

// end kills what the world has started.
func (w *world) end() {
	for i := range w.vms {
		<-w.signal(i, syscall.SIGKILL)
	}
	_ = w.log.Close()
}

// cut sets the mode of all paths from and to a VM.
func (w *world) cut(i int, m mode) {
	for pair, p := range w.paths {
		if pair[0] == i || pair[1] == i {
			p.set(m)
		}
	}
}

// tear appends bytes to the newest file of a stopped voter's log, as a power loss may
// leave a write that was not synced.
func (w *world) tear(rng *rand.Rand, i int) {
	names, err := filepath.Glob(filepath.Join(w.vms[i].dir, "data", "segment-*"))
	if err != nil || len(names) == 0 {
		return
	}
	f, err := os.OpenFile(names[len(names)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		w.t.Error(err)
		return
	}
	defer f.Close()
	if _, err := f.Write(bytes.Repeat([]byte{0}, 1+rng.IntN(64))); err != nil {
		w.t.Error(err)
	}
}

// wipe removes a stopped voter's disk.
func (w *world) wipe(i int) {
	if err := os.RemoveAll(filepath.Join(w.vms[i].dir, "data")); err != nil {
		w.t.Error(err)
	}
}

// fault is one disturbance; it returns once it is over.
type fault struct {
	name string
	run  func(w *world, rng *rand.Rand, i int)
}

func pause(rng *rand.Rand, least, most time.Duration) {
	time.Sleep(least + time.Duration(rng.Int64N(int64(most-least))))
}

var faults = []fault{
	{"kill", func(w *world, rng *rand.Rand, i int) {
		<-w.signal(i, syscall.SIGKILL)
		pause(rng, 100*time.Millisecond, 2*time.Second)
		w.start(i, false)
	}},
	{"stop", func(w *world, _ *rand.Rand, i int) { <-w.signal(i, syscall.SIGTERM); w.start(i, false) }},
	{"freeze", func(w *world, rng *rand.Rand, i int) {
		w.signal(i, syscall.SIGSTOP)
		pause(rng, 300*time.Millisecond, 6*time.Second)
		w.signal(i, syscall.SIGCONT)
	}},
	{"silence", func(w *world, rng *rand.Rand, i int) {
		w.cut(i, silent)
		pause(rng, 500*time.Millisecond, 10*time.Second)
		w.cut(i, pass)
	}},
	{"one way", func(w *world, rng *rand.Rand, i int) {
		w.cut(i, oneWay)
		pause(rng, 500*time.Millisecond, 4*time.Second)
		w.cut(i, pass)
	}},
	{"delay", func(w *world, rng *rand.Rand, i int) {
		w.cut(i, delayed)
		pause(rng, 500*time.Millisecond, 4*time.Second)
		w.cut(i, pass)
	}},
	{"reset", func(w *world, rng *rand.Rand, i int) {
		w.cut(i, refused)
		pause(rng, 100*time.Millisecond, 2*time.Second)
		w.cut(i, pass)
	}},
	{"torn write", func(w *world, rng *rand.Rand, i int) {
		<-w.signal(i, syscall.SIGKILL)
		if w.vms[i].voter {
			w.tear(rng, i)
		}
		w.start(i, false)
	}},
	{"lost disk", func(w *world, _ *rand.Rand, i int) {
		<-w.signal(i, syscall.SIGKILL)
		if w.vms[i].voter {
			w.wipe(i)
		}
		w.start(i, false)
		time.Sleep(4 * time.Second) // until it has caught up, no other voter is disturbed
	}},
}
