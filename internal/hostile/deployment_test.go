package hostile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	clientPort    = 28080
	readinessPort = 28081
	controlPort   = 28082
	peerPort      = 27600
	upstreamPort  = 29000
	lockPort      = 28099
	// Networks 100 to 119 are used by no other package's tests.
	firstNetwork, lastNetwork = 100, 119
	startTimeout              = 30 * time.Second
	// requestTimeout is how long an ordinary caller waits for one answer.
	requestTimeout = 10 * time.Second
	// largeAnswerBytes is the length of the answers that clients do not read.
	largeAnswerBytes = 1 << 20
)

// limits are what the settings give to the process under test.
type limits struct{ memoryMB, descriptors int }

// process is a running process of the system.
type process struct {
	name, host string
	cmd        *exec.Cmd
	exited     chan struct{} // closed after the process has ended
}

// deployment is a voter, an entry node and an upstream.
type deployment struct {
	dir, prefix  string // prefix of the addresses
	binary       string
	lock         net.Listener
	voter, entry *process
	upstream     *http.Server
	end          context.CancelFunc
	announced    chan struct{}
}

var (
	binaryOnce sync.Once
	binaryPath string
)

// TestMain removes the binary after all tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if binaryPath != "" {
		_ = os.RemoveAll(filepath.Dir(binaryPath))
	}
	os.Exit(code)
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binaryOnce.Do(func() {
		dir, err := os.MkdirTemp("", "jaystage-hostile-binary-")
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, "jaystage-platform")
		if out, err := exec.Command("go", "build", "-o", path, "github.com/jaystage/jaystage/cmd/jaystage-platform").CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
		binaryPath = path
	})
	if binaryPath == "" {
		t.Fatal("the binary could not be built")
	}
	return binaryPath
}

// startDeployment starts the processes, with limits for each, and waits until the entry node
// serves. They end with the test.
func startDeployment(t *testing.T, l limits) *deployment {
	t.Helper()
	d := &deployment{binary: buildBinary(t), announced: make(chan struct{})}
	d.claimNetwork(t)
	dir, err := os.MkdirTemp("", "jaystage-hostile-")
	if err != nil {
		t.Fatal(err)
	}
	d.dir = dir
	ctx, cancel := context.WithCancel(context.Background())
	d.end = cancel
	d.startUpstream(t)
	d.voter = d.start(t, "voter", d.prefix+"1.1", l)
	d.entry = d.start(t, "entry", d.prefix+"1.2", l)
	t.Cleanup(func() { d.close(t) })
	go func() { defer close(d.announced); d.announce(ctx) }()
	d.await(t, "the plan is acknowledged", func() bool { return d.control(http.MethodPut, "/config", plan) == http.StatusOK })
	d.await(t, "the entry node is ready", func() bool {
		return status(http.MethodGet, fmt.Sprintf("http://%s/readiness", d.entry.address(readinessPort)), "") == http.StatusOK
	})
	return d
}

func (d *deployment) claimNetwork(t *testing.T) {
	t.Helper()
	for n := firstNetwork; n <= lastNetwork; n++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.4.1:%d", n, lockPort))
		if err == nil {
			d.prefix, d.lock = fmt.Sprintf("127.%d.", n), lock
			return
		}
	}
	t.Fatal("no network is free")
}

const plan = `{"version":1,"routes":[
{"name":"look","host":"h.example","path_prefix":"/look/","route_kind":"idempotent","timeout_ms":8000,"target_latency_ms":1000,"service":"s","max_attempts":2},
{"name":"large","host":"h.example","path_prefix":"/large/","route_kind":"idempotent","timeout_ms":8000,"target_latency_ms":1000,"service":"s","max_attempts":2}],
"services":[{"name":"s","health_path":"/health"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// startUpstream starts an upstream that answers all requests.
func (d *deployment) startUpstream(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("%s2.1:%d", d.prefix, upstreamPort))
	if err != nil {
		t.Fatal(err)
	}
	large := make([]byte, largeAnswerBytes)
	d.upstream = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answer := []byte("booked")
		if strings.HasPrefix(r.URL.Path, "/large/") {
			answer = large
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Runner-Signature", "sound")
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer)
	})}
	go func() { _ = d.upstream.Serve(l) }()
}

// announce reports the upstream's state until ctx is done.
func (d *deployment) announce(ctx context.Context) {
	address := fmt.Sprintf("%s2.1:%d", d.prefix, upstreamPort)
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		d.control(http.MethodPut, "/runners/"+address+"-1", fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"a","version":"v1","slots":1000,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`, address, sequence, born))
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// start starts a process of the system on one processor, as on its VM.
func (d *deployment) start(t *testing.T, name, host string, l limits) *process {
	t.Helper()
	dir := filepath.Join(d.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	lines := []string{
		"node_name=" + name, "ip=" + host, "zone=a", fmt.Sprintf("internal_ports=%d,%d", peerPort, peerPort),
		fmt.Sprintf("seed_nodes=%s1.1:%d", d.prefix, controlPort), "bootstrap=true", "heartbeat_interval_ms=300",
		fmt.Sprintf("limits.memory_mb=%d", l.memoryMB), fmt.Sprintf("limits.file_descriptors=%d", l.descriptors), "fault_tolerance.machines=0",
		"bounds.grace_period_s=4", "bounds.retry_budget_ratio=0.2", "bounds.retry_budget_slack=50", "bounds.retry_window_s=10", "bounds.exposure_share=0.1",
	}
	if name == "voter" {
		lines = append(lines, fmt.Sprintf("listen.control_plane=%s:%d", host, controlPort), "data_dir="+filepath.Join(dir, "data"))
	} else {
		lines = append(lines, fmt.Sprintf("listen.frontend=%s:%d", host, clientPort), fmt.Sprintf("listen.readiness=%s:%d", host, readinessPort))
	}
	settings := filepath.Join(dir, "local.conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, host: host, cmd: exec.Command(d.binary), exited: make(chan struct{})}
	p.cmd.Env = []string{"JAYSTAGE_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		defer close(p.exited)
		defer log.Close()
		_ = p.cmd.Wait()
	}()
	return p
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.host, port) }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (d *deployment) close(t *testing.T) {
	for _, p := range []*process{d.entry, d.voter} {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	d.end()
	<-d.announced
	_ = d.upstream.Close()
	if t.Failed() {
		for _, p := range []*process{d.entry, d.voter} {
			if log, err := os.ReadFile(filepath.Join(d.dir, p.name, "log")); err == nil {
				t.Logf("end of the log of the %s: %s", p.name, log[max(0, len(log)-2000):])
			}
		}
	}
	_ = os.RemoveAll(d.dir)
	_ = d.lock.Close()
}

func (d *deployment) await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(startTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no sign within %v that %s", startTimeout, what)
		}
	}
}

// control calls the voter and returns the status; zero without an answer.
func (d *deployment) control(method, path, body string) int {
	return status(method, fmt.Sprintf("http://%s1.1:%d%s", d.prefix, controlPort, path), body)
}

// status sends a request on a new connection and returns the status; zero without an answer.
func status(method, url, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
