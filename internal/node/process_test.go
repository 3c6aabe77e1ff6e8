//go:build process

package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/internal/operator"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	waitTimeout = 90 * time.Second
	secret      = "secret"
)

// process is a node that runs as a separate process of the jaystage binary.
type process struct {
	t                                    *testing.T
	name, dir, settings                  string
	callers, upstreams, operators, peers string
	binary                               string
	cmd                                  *exec.Cmd
	done                                 chan struct{}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startProcesses builds the binary and starts three voters.
func startProcesses(t *testing.T) map[string]*process {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "jaystage")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/jaystage/jaystage/cmd/jaystage").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	nodes := map[string]*process{}
	var peers strings.Builder
	for _, name := range []string{"a", "b", "c"} {
		p := &process{
			t: t, name: name, dir: filepath.Join(dir, name), settings: filepath.Join(dir, name+".toml"), binary: binary,
			callers: freeAddress(t), upstreams: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t),
		}
		nodes[name] = p
		fmt.Fprintf(&peers, "[[peer]]\nname = %q\naddress = %q\nvoter = true\n", name, p.peers)
	}
	for _, p := range nodes {
		p.writeSettings(peers.String())
		p.start()
	}
	t.Cleanup(func() {
		for _, p := range nodes {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	})
	return nodes
}

func (p *process) writeSettings(peers string) {
	p.t.Helper()
	hash := bearer.Hash(secret)
	text := fmt.Sprintf(`[node]
name = %q
domain = "local"
cell = "one"
voter = true
data = %q
[listen]
callers = %q
upstreams = %q
operators = %q
peers = %q
[security]
peer_key = "0123456789abcdef"
plaintext = true
upstream = [{name = "u", token = %q}]
operator = [{name = "o", token = %q}]
[shutdown]
limit = "10s"
%s`, p.name, p.dir, p.callers, p.upstreams, p.operators, p.peers, hash, hash, peers)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.binary, "node", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	done := p.done
	go func() { defer close(done); _ = cmd.Wait(); _ = log.Close() }()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() { p.signal(syscall.SIGKILL); <-p.done }

func (p *process) client() *operator.Client {
	return &operator.Client{Address: p.operators, Token: secret, HTTP: &http.Client{Timeout: 15 * time.Second}}
}

func (p *process) ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + p.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// applyConfig starts a booking service that counts its runs, announces it to all nodes
// and submits a configuration for it.
func applyConfig(t *testing.T, nodes map[string]*process) *fake.Booking {
	t.Helper()
	service := &fake.Booking{}
	server := httptest.NewServer(service.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	announcer := &fake.Announcer{
		Nodes: []string{nodes["a"].upstreams, nodes["b"].upstreams, nodes["c"].upstreams}, Token: secret, HTTP: http.DefaultClient,
		State: func() wire.Announce {
			return wire.Announce{
				ID: "booking-1", Incarnation: 1, Address: server.Listener.Addr().String(), VM: "vm", Domain: "local", Ready: true,
				Serving: []wire.Serving{{Service: "booking", Version: "v1"}},
			}
		},
	}
	done := announcer.Run(ctx)
	t.Cleanup(func() { cancel(); <-done; server.CloseClientConnections(); server.Close() })
	second := config.Duration(time.Second)
	items, err := config.Items(config.Site{
		Name: "test", Accounts: []config.Account{{Name: "acc", TokenHash: bearer.Hash(secret), Weight: 1}},
		Domains: []config.Domain{{Name: "local"}},
		Services: []config.Service{{
			Name: "booking", Kind: config.KindPlain, Version: "v1", InitialConcurrency: 64, StatusPath: "/bookings/{key}",
			Classes: []config.Class{{Name: "booking", FirstTokenTarget: 5 * second, CompletionTarget: 20 * second, ProgressTimeout: 5 * second}},
			Routes:  []config.Route{{Path: "/bookings", Class: "booking", AtMostOnce: true}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the configuration is accepted", func() bool {
		got, err := nodes["a"].client().Change(ctx, wire.Change{ID: "site", Items: items})
		return err == nil && len(got.Conflict) == 0
	})
	return service
}

func (p *process) book(key string) (int, string, error) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.callers+"/s/booking/bookings", bytes.NewReader([]byte("{}")))
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("Idempotency-Key", key)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 25 * time.Second}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Guards against bookings that are lost or run twice, and against configuration
// changes that are reverted, when node processes are killed, suspended, stopped
// gracefully or restarted with an empty disk.
func TestProcessesKeepBookingsAndChangesThroughFaults(t *testing.T) {
	nodes := startProcesses(t)
	service := applyConfig(t, nodes)
	for name, p := range nodes {
		waitUntil(t, name+" is ready", p.ready)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]string{}
	for worker := range 4 {
		group.Go(func() { bookUntil(t, stop, nodes, worker, &mu, answers) })
	}
	version := uint64(0)
	for i, fault := range []func(*process){
		func(p *process) { p.kill(); p.start() },
		func(p *process) { p.signal(syscall.SIGSTOP); time.Sleep(3 * time.Second); p.signal(syscall.SIGCONT) },
		func(p *process) { p.signal(syscall.SIGTERM); <-p.done; p.start() },
		func(p *process) { p.kill(); replaceDisk(t, p, nodes) },
	} {
		p := nodes[[]string{"a", "b", "c", "a"}[i]]
		fault(p)
		waitUntil(t, p.name+" is ready again", p.ready)
		waitUntil(t, "a change is accepted", func() bool {
			value, _ := json.Marshal(config.Domain{Name: fmt.Sprint("d", i)})
			got, err := p.client().Change(t.Context(), wire.Change{ID: fmt.Sprint("change", i), Base: 1 << 40, Items: []wire.Item{{Key: fmt.Sprint("domain/d", i), Value: value}}})
			if err == nil && got.Version < version {
				t.Errorf("the configuration version went back from %d to %d", version, got.Version)
			}
			version = max(version, got.Version)
			return err == nil
		})
	}
	close(stop)
	group.Wait()
	checkOutcomes(t, nodes, service, answers)
}

// bookUntil books one key after another until stop is closed. It retries each key on
// the next node until the response is final. Two workers share the same keys and start
// with different nodes.
func bookUntil(t *testing.T, stop <-chan struct{}, nodes map[string]*process, worker int, mu *sync.Mutex, answers map[string]string) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		key := fmt.Sprintf("w%d-%d", worker/2, i)
		deadline := time.Now().Add(waitTimeout)
		for attempt := 0; ; attempt++ {
			status, body, err := nodes[[]string{"a", "b", "c"}[(worker+attempt)%3]].book(key)
			if err == nil && (status == http.StatusCreated || status == http.StatusOK || strings.Contains(body, "outcome-unknown")) {
				mu.Lock()
				got := fmt.Sprint(status, " ", body)
				if first, ok := answers[key]; ok && strings.HasPrefix(first, "201") && status == http.StatusCreated && first != got {
					t.Errorf("booking %s got two different responses: %s and %s", key, first, got)
				}
				if !strings.HasPrefix(answers[key], "2") {
					answers[key] = got
				}
				mu.Unlock()
				break
			}
			if time.Now().After(deadline) {
				t.Errorf("booking %s got no final response: %d %s %v", key, status, body, err)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkOutcomes checks that every booking with a successful answer ran exactly once, that
// the others ran at most once, and that all nodes have all changes.
func checkOutcomes(t *testing.T, nodes map[string]*process, service *fake.Booking, answers map[string]string) {
	t.Helper()
	unknown := 0
	for key, answer := range answers {
		runs := service.Runs(key)
		if runs > 1 || (runs == 0 && strings.HasPrefix(answer, "2")) {
			t.Errorf("booking %s answered %.3s ran %d times", key, answer, runs)
		}
		if !strings.HasPrefix(answer, "2") {
			unknown++
		}
	}
	if len(answers) < 10 {
		t.Errorf("only %d bookings were answered", len(answers))
	}
	t.Logf("%d bookings answered, %d of them with an unknown outcome", len(answers), unknown)
	for name, p := range nodes {
		waitUntil(t, name+" has all changes", func() bool {
			view, err := p.client().Config(t.Context())
			if err != nil {
				return false
			}
			for i := range 4 {
				if _, ok := view.Domains[fmt.Sprint("d", i)]; !ok {
					return false
				}
			}
			return true
		})
	}
}

// replaceDisk restarts a killed voter with an empty data directory and adds it to the
// group again.
func replaceDisk(t *testing.T, p *process, nodes map[string]*process) {
	t.Helper()
	if err := os.RemoveAll(p.dir); err != nil {
		t.Fatal(err)
	}
	p.start()
	for _, verb := range []string{"add", "promote"} {
		waitUntil(t, verb+" "+p.name, func() bool {
			return nodes["b"].client().ChangeVoters(t.Context(), wire.Voters{Verb: verb, Name: p.name}) == nil
		})
	}
}
