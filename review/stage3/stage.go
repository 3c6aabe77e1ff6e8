// Command stage3 plays the cases of the third review: it starts the project's program as
// separate processes on loopback addresses, with stand-ins for clients, runners and the
// platform, and judges what these have seen.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	clientPort    = 18221
	readinessPort = 18224
	controlPort   = 18229
	internalPort  = 17600
	runnerPort    = 18668
	cloudPort     = 18225
	beatInterval  = 1200 * time.Millisecond
	host          = "shop.example"
	signature     = "3e1b.07.5a2.600.0.c9f2a4d1"
	// started is how long a deployment may take until it serves.
	startTimeout = 30 * time.Second
)

// node is one process of the system.
type node struct {
	name, ip string
	voter    bool
	port     int // for other machines

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ending bool // the stage has sent a signal that ends the process
}

// stage is a small deployment with its stand-ins.
type stage struct {
	network byte
	lock    net.Listener
	dir     string
	trouble bool
	record  *os.File
	began   time.Time
	log     *os.File
	voters  []*node
	entries []*node
	runners []*runner
	// seeds are the core machines that settings files name; the first ones if it is empty.
	seeds []*node
	// paths holds the proxies between machines, if there are any.
	paths map[[2]*node]*path

	mu      sync.Mutex
	ownEnds []string
	leads   *node // the core machine that has said last that it leads
}

// errCannotRun marks a case that could not run.
var errCannotRun = errors.New("the case could not run")

func newStage(recordPath string, voters, entries int) (*stage, error) {
	dir, err := os.MkdirTemp("", "stage3-")
	if err != nil {
		return nil, err
	}
	s := &stage{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if s.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, err
	}
	if s.network, s.lock, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range voters {
		s.voters = append(s.voters, &node{name: fmt.Sprint("core-", i+1), ip: s.ip(1, i+1), voter: true, port: internalPort})
	}
	for i := range entries {
		s.entries = append(s.entries, &node{name: fmt.Sprint("frontend-", i+1), ip: s.ip(2, i+1), port: internalPort})
	}
	s.note("the case starts, with its disruption: %v", s.trouble)
	return s, nil
}

// freeNetwork returns the second octet of loopback addresses that no other run uses while the listener
// is open.
func freeNetwork() (byte, net.Listener, error) {
	for range 50 {
		n := byte(100 + rand.IntN(100))
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, controlPort)); err == nil {
			return n, lock, nil
		}
	}
	return 0, nil, errors.New("no network is free")
}

// nodes lists all machines.
func (s *stage) nodes() []*node { return slices.Concat(s.voters, s.entries) }

func (s *stage) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.network, group, i) }

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) settings(n *node, bootstrap bool) (string, error) {
	var seeds []string
	from := s.seeds
	if len(from) == 0 {
		from = s.voters
	}
	for _, v := range from[:min(3, len(from))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", v.ip, controlPort))
	}
	lines := []string{
		"node_name=" + n.name, "ip=" + n.ip, "zone=gulberg", "region=punjab", "zones.gulberg=punjab",
		fmt.Sprintf("internal_ports=%d,%d", n.port, n.port+15), "seed_nodes=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", bootstrap), fmt.Sprintf("fault_counted=%v", n.voter),
		"limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.file_descriptors=4100", "limits.link_mbps=1000.0",
		"discovery=registration", "entry=virtual_ip", fmt.Sprintf("heartbeat_interval_ms=%d", beatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,places",
		fmt.Sprintf("fault_tolerance.machines=%d", (len(s.voters)-1)/2), "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_timeout_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.revoke_fail_closed=true", "bounds.revoke_timeout_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_budget_slack=56", "bounds.quota_window_s=8",
		"bounds.quota_overrun=0.1", "bounds.quota_slack=140000", "bounds.fencing_enforced=true", "bounds.lease_ms=3000",
		"bounds.thaw_slack_ms=300", "bounds.usage_window_s=5", "bounds.usage_tolerance=0.05", "bounds.usage_late_s=10",
		"bounds.exposure_share=0.1", "bounds.exposure_slack=50", "bounds.rollback_ms=5000", "bounds.cold_overrun=1.5", "bounds.cold_slack=5",
		"bounds.evacuation_ms=5000", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.reuse_window_s=10", "config_mode=highest",
		fmt.Sprintf("cloud.address=%s:%d", s.ip(9, 1), cloudPort), "cloud.rate_per_s=50.0", "cloud.duties=usage_reporting", "cloud.duty_per_s=50.0",
	}
	dir := filepath.Join(s.dir, n.name)
	if n.voter {
		lines = append(lines, "machine_class=core", "serves=control_plane", fmt.Sprintf("listen.control_plane=%s:%d", n.ip, controlPort),
			"limits.disk_mb=128", "data_dir="+filepath.Join(dir, "data"))
	} else {
		lines = append(lines, "machine_class=frontend", "serves=frontend", "limits.disk_mb=0",
			fmt.Sprintf("listen.frontend=%s:%d", n.ip, clientPort), fmt.Sprintf("listen.readiness=%s:%d", n.ip, readinessPort))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "local.conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts a process with the command of the deploy file.
func (s *stage) start(n *node, bootstrap bool) error {
	path, err := s.settings(n, bootstrap)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/jaystage-platform")
	cmd.Env = []string{"JAYSTAGE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	out := &lines{s: s, n: n}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd, n.ending = cmd, false
	exited := make(chan struct{})
	n.exited = exited
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		own := !n.ending
		n.cmd = nil
		n.mu.Unlock()
		close(exited)
		if own {
			s.note("the process of %s ended by itself: %v", n.name, err)
			s.mu.Lock()
			s.ownEnds = append(s.ownEnds, n.name)
			s.mu.Unlock()
		}
	}()
	return nil
}

// signal sends a signal to a process and returns a channel that is closed once it has ended.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	n.ending = n.ending || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	_ = n.cmd.Process.Signal(sig)
	return n.exited
}

func (s *stage) ends() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ownEnds...)
}

// close ends all processes.
func (s *stage) close() {
	for _, n := range s.nodes() {
		<-n.signal(syscall.SIGKILL)
	}
	for _, r := range s.runners {
		r.kill()
	}
	_ = s.log.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = exec.Command("cp", filepath.Join(s.dir, "log"), keep).Run()
	}
	_ = s.lock.Close()
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// startAll starts all processes and the platform's API, registers the runners, sends the
// config and waits until all entry nodes are ready.
func (s *stage) startAll(config any) error {
	cloud, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(9, 1), cloudPort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(cloud) }()
	for _, n := range s.nodes() {
		if err := s.start(n, true); err != nil {
			return err
		}
	}
	for _, r := range s.runners {
		go r.beat()
	}
	end := time.Now().Add(startTimeout)
	for status := 0; status != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: no confirmation of the config", errCannotRun)
		}
		status, _ = s.call(http.MethodPut, "/config", config)
	}
	for _, n := range s.entries {
		for !s.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	s.note("all machines serve")
	return nil
}

func (s *stage) ready(n *node) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a call to the first voter that answers it.
func (s *stage) call(method, path string, body any) (int, []byte) {
	for _, v := range s.voters {
		if status, data := s.callAt(v, method, path, body); status != 0 && status < 500 {
			return status, data
		}
	}
	return 0, nil
}

func (s *stage) callAt(v *node, method, path string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", v.ip, controlPort, path), reader)
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// lines passes the output of a process on to the log and notes when it says that it leads.
type lines struct {
	s *stage
	n *node
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("this node became the leader")) {
		l.s.mu.Lock()
		l.s.leads = l.n
		l.s.mu.Unlock()
	}
	return l.s.log.Write(b)
}

// lastLeader returns the core machine that has said last that it leads; nil if none has.
func (s *stage) lastLeader() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads
}
