package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines of a stage.
const (
	controlPort   = 18229
	clientPort    = 18221
	readinessPort = 18224
	// firstPeerPort is the port for traffic between nodes on the first machine. Each machine has
	// its own, so that the path from one machine to another can run through a proxy.
	firstPeerPort = 17600
	runnerPort    = 18080
)

// playTimeout bounds the time of one play.
const playTimeout = 110 * time.Second

// startTimeout bounds the time until the deployment serves.
const startTimeout = 20 * time.Second

// machine is one VM of the deployment.
type machine struct {
	name, ip, zone string
	voter          bool
	// spare is true if the machine is not there at first.
	spare    bool
	dir      string
	peerPort int
	cmd      *exec.Cmd
}

// stage is a deployment with its stand-ins.
type stage struct {
	network  string // the first three octets of all addresses
	dir      string
	started  time.Time
	machines []*machine
	runners  []*runnerProcess
	paths    []*path
	cloud    *http.Server
	// entryLimits are the limits of entry nodes in their settings.
	entryLimits []string

	mu     sync.Mutex
	record *os.File
	log    *os.File
	runs   []run
}

// run is one run of a request at a runner.
type run struct{ runner, attempt, path string }

func newStage(record string) (*stage, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "jaystage-review-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	s := &stage{
		dir: dir, started: time.Now(), record: file, log: log,
		entryLimits: []string{"limits.memory_mb=284", "limits.file_descriptors=4100"},
	}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.network, controlPort))
		if err == nil {
			_ = l.Close()
			return s, nil
		}
	}
	return nil, fmt.Errorf("no network is free")
}

// endInTime ends everything and the program after playTimeout, or when the program is told to end.
func (s *stage) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(playTimeout):
		}
		s.note("the case was ended before it was over")
		s.close()
		os.Exit(exitFailed)
	}()
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) ip(n int) string { return fmt.Sprintf("%s.%d", s.network, n) }

// addMachines adds voters and entry nodes in three zones.
func (s *stage) addMachines(voters, entryNodes int) error {
	for i := range voters + entryNodes {
		m := &machine{name: fmt.Sprintf("m%d", i), ip: s.ip(i + 1), zone: "zone-" + string(rune('a'+i%3)), voter: i < voters, peerPort: firstPeerPort + i}
		m.dir = filepath.Join(s.dir, m.name)
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return err
		}
		s.machines = append(s.machines, m)
	}
	return s.openPaths()
}

// address returns the address of a port of the machine.
func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (s *stage) voters() (list []*machine) {
	for _, m := range s.machines {
		if m.voter {
			list = append(list, m)
		}
	}
	return list
}

func (s *stage) entryNodes() (list []*machine) {
	for _, m := range s.machines {
		if !m.voter {
			list = append(list, m)
		}
	}
	return list
}

// startCloud starts the platform's own API. It accepts every call with the newest fence.
func (s *stage) startCloud() error {
	l, err := net.Listen("tcp", s.ip(200)+":18225")
	if err != nil {
		return err
	}
	s.cloud = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })}
	go func() { _ = s.cloud.Serve(l) }()
	return nil
}

func (s *stage) settings(m *machine, bootstrap bool) string {
	var seeds []string
	for _, v := range s.voters() {
		seeds = append(seeds, fmt.Sprintf("%s:%d", v.ip, controlPort))
	}
	class, lines := "frontend", []string{
		fmt.Sprintf("listen.frontend=%s:%d", m.ip, clientPort), fmt.Sprintf("listen.readiness=%s:%d", m.ip, readinessPort),
	}
	if m.voter {
		class, lines = "core", []string{
			fmt.Sprintf("listen.control_plane=%s:%d", m.ip, controlPort), "data_dir=" + filepath.Join(m.dir, "data"),
			"limits.memory_mb=280", "limits.file_descriptors=4096",
		}
	}
	if !m.voter {
		lines = append(lines, s.entryLimits...)
	}
	lines = append(lines, "node_name="+m.name, "machine_class="+class, "ip="+m.ip, "zone="+m.zone, "region=r1",
		fmt.Sprintf("internal_ports=%d,%d", m.peerPort, m.peerPort), "seed_nodes="+strings.Join(seeds[:min(3, len(seeds))], ","),
		fmt.Sprintf("bootstrap=%v", bootstrap), "heartbeat_interval_ms=1200", fmt.Sprintf("fault_tolerance.machines=%d", (len(s.voters())-1)/2),
		"bounds.contact_timeout_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8",
		"bounds.config_apply_ms=2000", "bounds.revoke_fail_closed=true", "bounds.revoke_timeout_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.retry_window_s=10", "bounds.retry_budget_slack=56", "bounds.fencing_enforced=true", "bounds.lease_ms=3000", "bounds.usage_window_s=5",
		"bounds.exposure_share=0.1", "bounds.exposure_slack=50", "bounds.rollback_ms=5000", "config_mode=highest",
		"cloud.address="+s.ip(200)+":18225", "cloud.duties=usage_reporting")
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a machine with the command of the deploy file.
func (s *stage) start(m *machine, bootstrap bool) error {
	settings := filepath.Join(m.dir, "local.conf")
	if err := os.WriteFile(settings, []byte(s.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	m.cmd = exec.Command("target/jaystage-platform")
	m.cmd.Env = []string{"JAYSTAGE_BOOT=" + settings, "PATH=" + os.Getenv("PATH")}
	m.cmd.Stdout, m.cmd.Stderr = s.log, s.log
	return m.cmd.Start()
}

// startAll starts all machines and waits until the entry nodes are ready.
func (s *stage) startAll(config string) error {
	if err := s.startCloud(); err != nil {
		return err
	}
	for _, m := range s.machines {
		if m.spare {
			continue
		}
		if err := s.start(m, true); err != nil {
			return err
		}
	}
	if status, err := s.order(http.MethodPut, "/config", config, startTimeout); err != nil || status != http.StatusOK {
		return fmt.Errorf("config: status %d, %w", status, err)
	}
	s.note("the config is acknowledged")
	return s.awaitReady()
}

func (s *stage) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, m := range s.entryNodes() {
		for !s.ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.note("all entry nodes are ready")
	return nil
}

func (s *stage) ready(m *machine) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// order sends an order of the operator until a voter acknowledges or refuses it.
func (s *stage) order(method, target, body string, timeout time.Duration) (int, error) {
	end := time.Now().Add(timeout)
	var last error
	for i := 0; time.Now().Before(end); i++ {
		voter := s.voters()[i%len(s.voters())]
		status, _, err := s.call(voter, method, target, body)
		if err == nil && status < http.StatusInternalServerError {
			return status, nil
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("no voter answered %s %s: %w", method, target, last)
}

// call makes one call of the operator to a voter, who answers within a second or is given up.
func (s *stage) call(voter *machine, method, target, body string) (int, string, error) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", voter.ip, controlPort, target), strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Timeout: time.Second, Transport: transport}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(sig syscall.Signal) { _ = m.cmd.Process.Signal(sig) }

// kill ends the process of a machine and waits for its end.
func (m *machine) kill() {
	if m.cmd != nil && m.cmd.Process != nil {
		m.signal(syscall.SIGKILL)
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// close ends everything that was started.
func (s *stage) close() {
	for _, m := range s.machines {
		m.kill()
	}
	for _, r := range s.runners {
		r.kill()
	}
	for _, p := range s.paths {
		_ = p.listener.Close()
	}
	if s.cloud != nil {
		_ = s.cloud.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
	_ = s.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// runnerProcess is the process of a runner.
type runnerProcess struct {
	id, address string
	cmd         *exec.Cmd
}

// startRunner starts a runner of a service as a process of its own. Flags are those of runRunner.
func (s *stage) startRunner(service string, flags ...string) (*runnerProcess, error) {
	n := len(s.runners)
	r := &runnerProcess{id: fmt.Sprintf("i-%d", n), address: fmt.Sprintf("%s:%d", s.ip(101+n), runnerPort)}
	var voters []string
	for _, v := range s.voters() {
		voters = append(voters, fmt.Sprintf("%s:%d", v.ip, controlPort))
	}
	args := append([]string{"runner", "-id", r.id, "-address", r.address, "-service", service, "-zone", "zone-" + string(rune('a'+n%3)), "-voters", strings.Join(voters, ",")}, flags...)
	r.cmd = exec.Command(os.Args[0], args...)
	r.cmd.Stderr = s.log
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	s.runners = append(s.runners, r)
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go s.readRuns(r.id, out)
	return r, nil
}

// readRuns records what a runner writes: the attempt and path of each request that it runs.
func (s *stage) readRuns(id string, out io.Reader) {
	for scan := bufio.NewScanner(out); scan.Scan(); {
		attempt, target, _ := strings.Cut(scan.Text(), " ")
		s.mu.Lock()
		s.runs = append(s.runs, run{id, attempt, target})
		s.mu.Unlock()
		s.note("runner %s runs %s %s", id, attempt, target)
	}
}

// runsOf returns the runs of a request.
func (s *stage) runsOf(attempt string) (list []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.attempt == attempt {
			list = append(list, r)
		}
	}
	return list
}

func (r *runnerProcess) signal(sig syscall.Signal) { _ = r.cmd.Process.Signal(sig) }

// kill ends the runner's process and waits for its end.
func (r *runnerProcess) kill() {
	if r.cmd != nil && r.cmd.Process != nil {
		r.signal(syscall.SIGKILL)
		_ = r.cmd.Wait()
		r.cmd = nil
	}
}
