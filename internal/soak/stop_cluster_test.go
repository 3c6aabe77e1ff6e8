package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// stopGrace is the time from SIGTERM to SIGKILL in the tests of a planned stop.
	stopGrace    = 8 * time.Second
	stopPeerPort = 27600
	// stopStartTime bounds the start of a cluster.
	stopStartTime = 20 * time.Second
)

// stopProcess is one run of a node's process. The fields after exited are set before it closes.
type stopProcess struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	endedAt time.Time
	state   *os.ProcessState
}

// stopNode is a VM whose process is started and stopped as the platform does.
type stopNode struct {
	name, host, dir string
	voter           bool

	mu      sync.Mutex
	process *stopProcess // nil before the first start
}

// stopCluster is a deployment in which entry nodes are stopped. Its nodes reach each other
// directly.
type stopCluster struct {
	t        testing.TB
	binary   string
	dir      string
	network  byte
	lock     net.Listener // holds the network
	grace    time.Duration
	memoryMB int         // of each node
	nodes    []*stopNode // voters first
	record   *runRecord
	// upstreams holds the stand-ins by service.
	upstreams map[string][]*stopUpstream
	nextID    atomic.Int64
	end       func()
}

// nodeStop is a planned stop of a process.
type nodeStop struct {
	at      time.Time
	process *stopProcess
	killed  atomic.Bool
}

// newStopCluster starts a cluster that serves stopPlan. close ends it.
func newStopCluster(t testing.TB, network byte, entries int, grace time.Duration) *stopCluster {
	t.Helper()
	network, lock := claimNetwork(t, network)
	dir, err := os.MkdirTemp("", "jaystage-stop-")
	if err != nil {
		t.Fatal(err)
	}
	c := &stopCluster{
		t: t, binary: sharedBinary(t), dir: dir, network: network, lock: lock, grace: grace, memoryMB: 300,
		record: &runRecord{runs: make(map[string][]*upstreamRun)}, upstreams: make(map[string][]*stopUpstream),
	}
	for i := range voters + entries {
		n := &stopNode{name: fmt.Sprint("vm", i), host: fmt.Sprintf("127.%d.1.%d", network, i+1), dir: filepath.Join(dir, fmt.Sprint("vm", i)), voter: i < voters}
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	for i := range c.nodes {
		c.start(i, true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	announced := c.startUpstreams(ctx)
	c.end = func() { cancel(); <-announced }
	c.putStopPlan()
	for i := range entries {
		c.awaitReady(voters+i, stopStartTime)
	}
	return c
}

var (
	sharedBinaryOnce sync.Once
	sharedBinaryPath string
)

// TestMain removes the shared binary after all tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if sharedBinaryPath != "" {
		_ = os.RemoveAll(filepath.Dir(sharedBinaryPath))
	}
	os.Exit(code)
}

// sharedBinary builds the binary once for all clusters of this test run.
func sharedBinary(t testing.TB) string {
	t.Helper()
	sharedBinaryOnce.Do(func() {
		dir, err := os.MkdirTemp("", "jaystage-stop-binary-")
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, "jaystage-platform")
		if out, err := exec.Command("go", "build", "-o", path, "github.com/jaystage/jaystage/cmd/jaystage-platform").CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
		sharedBinaryPath = path
	})
	if sharedBinaryPath == "" {
		t.Fatal("the binary could not be built")
	}
	return sharedBinaryPath
}

// close kills all processes and removes the files, or keeps the logs if the test failed.
func (c *stopCluster) close(t testing.TB) {
	t.Helper()
	for i := range c.nodes {
		if p := c.running(i); p != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	c.end()
	for _, list := range c.upstreams {
		for _, u := range list {
			u.close()
		}
	}
	if *logDir != "" {
		for _, n := range c.nodes {
			if data, err := os.ReadFile(filepath.Join(n.dir, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("%s-%s.log", strings.ReplaceAll(t.Name(), "/", "-"), n.name)), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.dir)
	_ = c.lock.Close()
}

func (c *stopCluster) settingsPath(i int) string { return filepath.Join(c.nodes[i].dir, "local.conf") }

// settings returns the text of a node's settings file.
func (c *stopCluster) settings(i int, bootstrap bool) string {
	n := c.nodes[i]
	var seeds []string
	for _, v := range c.nodes[:voters] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", v.host, controlPort))
	}
	lines := []string{
		"node_name=" + n.name, "ip=" + n.host, "zone=a", fmt.Sprintf("internal_ports=%d,%d", stopPeerPort, stopPeerPort),
		"seed_nodes=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap), "heartbeat_interval_ms=300", fmt.Sprintf("limits.memory_mb=%d", c.memoryMB),
		"fault_tolerance.machines=1", fmt.Sprintf("bounds.grace_period_s=%v", c.grace.Seconds()), "bounds.revoke_fail_closed=true",
		"bounds.revoke_timeout_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.retry_budget_slack=50", "bounds.retry_window_s=10",
		"bounds.exposure_share=0.1",
	}
	if n.voter {
		lines = append(lines, fmt.Sprintf("listen.control_plane=%s:%d", n.host, controlPort), "data_dir="+filepath.Join(n.dir, "data"))
	} else {
		lines = append(lines, fmt.Sprintf("listen.frontend=%s:%d", n.host, clientPort), fmt.Sprintf("listen.readiness=%s:%d", n.host, readinessPort))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts a node's process and returns it.
func (c *stopCluster) start(i int, bootstrap bool) *stopProcess {
	n := c.nodes[i]
	if err := os.WriteFile(c.settingsPath(i), []byte(c.settings(i, bootstrap)), 0o600); err != nil {
		c.t.Error(err)
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Error(err)
	}
	p := &stopProcess{cmd: exec.Command(c.binary), exited: make(chan struct{})}
	p.cmd.Env = []string{"JAYSTAGE_BOOT=" + c.settingsPath(i), "PATH=" + os.Getenv("PATH")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		c.t.Errorf("start %s: %v", n.name, err)
		close(p.exited)
		return p
	}
	go func() {
		defer close(p.exited)
		defer log.Close()
		_ = p.cmd.Wait()
		p.endedAt, p.state = time.Now(), p.cmd.ProcessState
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = p
	return p
}

// running returns a node's process; nil if none runs.
func (c *stopCluster) running(i int) *stopProcess {
	n := c.nodes[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	select {
	case <-n.process.exited:
		return nil
	default:
		return n.process
	}
}

// terminate stops a node as the platform does: SIGTERM, and SIGKILL after the grace period.
func (c *stopCluster) terminate(i int) *nodeStop {
	s := &nodeStop{at: time.Now(), process: c.running(i)}
	if s.process == nil {
		c.t.Errorf("%s does not run and cannot be stopped", c.nodes[i].name)
		s.process = c.nodes[i].process
		return s
	}
	_ = s.process.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-s.process.exited:
		case <-time.After(c.grace):
			s.killed.Store(true)
			_ = s.process.cmd.Process.Kill()
		}
	}()
	return s
}

// wantExit checks that the process ended by itself, with code 0, within a time.
func (s *nodeStop) wantExit(t *testing.T, within time.Duration) {
	t.Helper()
	<-s.process.exited
	took := s.process.endedAt.Sub(s.at)
	t.Logf("the process ended %v after SIGTERM", took.Round(time.Millisecond))
	if s.killed.Load() {
		t.Errorf("end of the process: got none by %v after SIGTERM, want its own end", took)
	}
	if s.process.state == nil || !s.process.state.Success() {
		t.Errorf("exit: got %v, want code 0", s.process.state)
	}
	if took > within {
		t.Errorf("end of the process: got it %v after SIGTERM, want it within %v", took.Round(time.Millisecond), within)
	}
}

// newID returns an attempt ID that no other request has, also of another test run.
func (c *stopCluster) newID() string {
	return fmt.Sprintf("%d-%d-%d", c.network, os.Getpid(), c.nextID.Add(1))
}

func (c *stopCluster) clientAddress(i int) string {
	return net.JoinHostPort(c.nodes[i].host, fmt.Sprint(clientPort))
}

func (c *stopCluster) ready(i int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", c.nodes[i].host, readinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until an entry node is ready.
func (c *stopCluster) awaitReady(i int, within time.Duration) {
	for end := time.Now().Add(within); !c.ready(i); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Errorf("%s is not ready after %v", c.nodes[i].name, within)
			return
		}
	}
}

// control calls the control API of a voter and returns the status; zero without an answer.
func (c *stopCluster) control(voter int, method, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", net.JoinHostPort(c.nodes[voter].host, fmt.Sprint(controlPort)), path), strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// stopRoutes lists the routes of the plan: path prefix, kind, service, attempts, target
// latency in milliseconds, and whether streams are resumed.
var stopRoutes = []struct {
	prefix, kind, service string
	attempts, target      int
	resume                bool
}{
	{"book", "non_idempotent", "s", 2, 800, false},
	{"look", "idempotent", "s", 3, 800, false},
	{"chat", "streaming", "s", 1, 800, false},
	{"gen", "streaming", "s", 2, 800, true},
	{"gen3", "streaming", "s", 3, 800, true},
	// Requests wait up to 1.2 s for one of few places.
	{"few", "non_idempotent", "few", 1, 8000, false},
	{"crash", "idempotent", "crash", 3, 800, false},
	{"crashgen", "streaming", "crash", 3, 800, true},
	{"turn", "idempotent", "turn", 3, 800, false},
	{"reset", "idempotent", "reset", 3, 800, false},
	{"resetgen", "streaming", "reset", 3, 800, true},
	{"silent", "idempotent", "silent", 3, 800, false},
	{"silentbook", "non_idempotent", "silent", 2, 800, false},
	{"leave", "non_idempotent", "leave", 2, 800, false},
	{"leavechat", "streaming", "leave", 1, 800, false},
}

// putStopPlan sends the plan until it is acknowledged.
func (c *stopCluster) putStopPlan() {
	var routes, services []string
	seen := make(map[string]bool)
	for _, r := range stopRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":15000,"target_latency_ms":%d,"service":%q,"max_attempts":%d,"stream_resume":%v,"target_gap_ms":500}`,
			r.prefix, r.prefix, r.kind, r.target, r.service, r.attempts, r.resume))
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/health"}`, r.service))
		}
	}
	plan := fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		strings.Join(routes, ","), strings.Join(services, ","))
	for end := time.Now().Add(stopStartTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for v := range voters {
			if c.control(v, http.MethodPut, "/config", plan) == http.StatusOK {
				return
			}
		}
	}
	c.t.Error("the plan was not acknowledged")
}
