package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines; each machine has its own loopback address.
const (
	binary        = "target/jaystage-platform"
	clientPort    = "8221"
	readinessPort = "8224"
	controlPort   = "8229"
	cloudPort     = "8225"
	runnerPort    = "8080"
	metricsPort   = "9102" // set by the program
	peerPort      = "7600"
	// restartDelay is how long the platform waits before it restarts a process that ended.
	restartDelay = 500 * time.Millisecond
	// memoryCheckInterval is how often the platform looks at the memory of its processes.
	memoryCheckInterval = 50 * time.Millisecond
)

// world holds the processes and the record of one case.
type world struct {
	trouble bool
	started time.Time
	dir     string
	network int // second octet of the loopback addresses

	mu       sync.Mutex
	record   io.Writer
	machines []*machine
	closers  []func()
	ending   bool
	// cores, memoryMB and tolerance are settings of the deployment.
	tolerance int
	memoryMB  int
}

// machine is one machine of the system with its process.
type machine struct {
	w          *world
	name, host string
	core       bool
	dir        string
	seeds      []string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool // the platform has stopped or killed the process
	ends     int  // times that the process ended by itself, or was killed for its memory
}

func newWorld(record io.Writer, trouble bool) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("run the build line of deploy/system.toml first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, started: time.Now(), dir: dir, record: record, tolerance: 2, memoryMB: 284}
	for range 50 {
		w.network = 20 + rand.IntN(200)
		if w.addressesFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// addressesFree reports whether the ports are free on the first addresses of the network.
func (w *world) addressesFree() bool {
	for i := 1; i <= 16; i++ {
		for _, port := range []string{clientPort, readinessPort, controlPort, cloudPort, runnerPort, metricsPort, peerPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(w.host(i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) host(i int) string { return fmt.Sprintf("127.%d.1.%d", w.network, i) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	w.ending = true
	machines, closers := w.machines, w.closers
	w.mu.Unlock()
	for _, m := range machines {
		<-m.signal(syscall.SIGKILL)
	}
	for _, c := range closers {
		c()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) isEnding() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ending
}

// add adds a machine that is not started yet. seeds are hosts of core machines.
func (w *world) add(i int, core bool, seeds []string) *machine {
	kind := "frontend"
	if core {
		kind = "core"
	}
	m := &machine{w: w, name: fmt.Sprintf("%s-%d", kind, i), host: w.host(i), core: core, seeds: seeds}
	m.dir = filepath.Join(w.dir, m.name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, m)
	return m
}

// settings returns the lines of the machine's settings file.
func (m *machine) settings(bootstrap bool) []string {
	var seeds []string
	for _, s := range m.seeds {
		seeds = append(seeds, net.JoinHostPort(s, controlPort))
	}
	lines := []string{
		"node_name=" + m.name, "ip=" + m.host, "zone=a", "region=r", "zones.a=r", "internal_ports=" + peerPort + ",7615",
		"seed_nodes=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap), fmt.Sprintf("fault_counted=%v", m.core),
		"limits.cpu_share=0.96", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", m.w.memoryMB), "limits.file_descriptors=4096",
		"limits.link_mbps=1000.0", "discovery=registration", "entry=virtual_ip", "heartbeat_interval_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,stream,tenants,leader,rollout,places",
		fmt.Sprintf("fault_tolerance.machines=%d", m.w.tolerance), "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_timeout_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.revoke_fail_closed=true", "bounds.revoke_timeout_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_budget_slack=52", "bounds.fencing_enforced=true",
		"bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.usage_window_s=5", "bounds.usage_tolerance=0.05", "bounds.usage_late_s=10",
		"bounds.exposure_share=0.1", "bounds.exposure_slack=50", "bounds.rollback_ms=5000", "bounds.evacuation_ms=5000", "bounds.recovery_s=12",
		"config_mode=highest", "cloud.address=" + net.JoinHostPort(m.w.host(15), cloudPort), "cloud.rate_per_s=50.0", "cloud.duties=usage_reporting",
		"cloud.duty_per_s=50.0",
	}
	if m.core {
		return append(lines, "role=voter", "machine_class=core", "serves=control_plane", "listen.control_plane="+net.JoinHostPort(m.host, controlPort),
			"data_dir="+filepath.Join(m.dir, "data"), "limits.disk_mb=128")
	}
	return append(lines, "role=entry", "machine_class=frontend", "serves=frontend", "listen.frontend="+net.JoinHostPort(m.host, clientPort),
		"listen.readiness="+net.JoinHostPort(m.host, readinessPort), "limits.disk_mb=0")
}

// start starts the machine's process as the deploy file says.
func (m *machine) start(bootstrap bool) error {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.dir, "local.conf")
	if err := os.WriteFile(path, []byte(strings.Join(m.settings(bootstrap), "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary)
	cmd.Env = []string{"JAYSTAGE_BOOT=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	if m.w.isEnding() {
		_ = cmd.Process.Kill() // close has passed this machine already
	}
	m.cmd, m.exited, m.expected = cmd, make(chan struct{}), false
	m.w.note("%s at %s: process %d started", m.name, m.host, cmd.Process.Pid)
	go m.watch(cmd, m.exited)
	return nil
}

// watch waits for the end of a process and restarts it if it ended by itself.
func (m *machine) watch(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	m.mu.Lock()
	expected := m.expected
	m.cmd = nil
	if !expected {
		m.ends++
	}
	m.mu.Unlock()
	m.w.note("%s: process ended: %s, stopped by the platform: %v", m.name, cmd.ProcessState, expected)
	close(exited)
	if expected || m.w.isEnding() {
		return
	}
	m.notePanic()
	time.Sleep(restartDelay)
	if !m.w.isEnding() {
		_ = m.start(false)
	}
}

// notePanic writes the functions at the top of a panic in the process's log to the record.
func (m *machine) notePanic() {
	data, err := os.ReadFile(filepath.Join(m.dir, "log"))
	if err != nil {
		return
	}
	if i := strings.LastIndex(string(data), "\npanic: "); i >= 0 {
		lines := strings.SplitN(string(data[i+1:]), "\n", 20)
		lines = slices.DeleteFunc(lines[:len(lines)-1], func(l string) bool { return strings.HasPrefix(l, "\t") || l == "" })
		m.w.note("%s: %s", m.name, strings.Join(lines, "\n           "))
	}
}

// signal sends a signal to the process as the platform. The channel is closed once the
// process has ended.
func (m *machine) signal(s syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	m.expected = true
	_ = m.cmd.Process.Signal(s)
	return m.exited
}

// endCount returns how often the process ended by itself or for its memory.
func (m *machine) endCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// residentMB returns the resident memory of the machine's process; zero if it has none.
func (m *machine) residentMB() float64 {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// enforceMemory kills the process when it uses more memory than its settings allow, as the
// platform does, until the case ends.
func (m *machine) enforceMemory() {
	peak := 0.0
	for !m.w.isEnding() {
		time.Sleep(memoryCheckInterval)
		now := m.residentMB()
		if now >= peak+20 {
			peak = now
			m.w.note("%s: %.0f MB of %d MB in use", m.name, now, m.w.memoryMB)
		}
		if now <= float64(m.w.memoryMB) {
			continue
		}
		m.mu.Lock()
		if m.cmd != nil {
			m.w.note("%s: killed by the platform: %.0f MB in use, more than %d MB", m.name, now, m.w.memoryMB)
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
		peak = 0
		time.Sleep(restartDelay)
	}
}

// startCloud starts the platform's own API, which accepts every call.
func (w *world) startCloud() error {
	l, err := net.Listen("tcp", net.JoinHostPort(w.host(15), cloudPort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rw.WriteHeader(http.StatusOK)
	})}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return nil
}

// ready reports whether a frontend machine says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(m.host, readinessPort) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(machines []*machine) error {
	for _, m := range machines {
		until := time.Now().Add(10 * time.Second)
		for !m.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not become ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
