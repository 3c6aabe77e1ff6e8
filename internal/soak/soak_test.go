// Package soak runs the real programs as separate processes on loopback addresses,
// disturbs them from outside and checks the promises from what callers, upstreams,
// operators and the platform see. It has tests only.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed     = flag.Uint64("soak.first", 1, "first seed")
	faultDuration = flag.Duration("soak.length", 12*time.Second, "time with faults for each seed")
	logDir        = flag.String("soak.logs", "", "folder that keeps the logs of failed seeds")
)

const (
	clientCount   = 12
	upstreamCount = 4
	// recoverTime is how long after the last fault the deployment has to serve again.
	recoveryTime = 8 * time.Second
	// longestCut covers two changes of the plan and the time until the second key's
	// removal is in force.
	maxPartition = 16 * time.Second
	// afterRevoked is how long requests with the removed key reach the node that was cut
	// off; clients send it about fifteen a second.
	revokedKeyTraffic = 400 * time.Millisecond
	// leastServed is the part of the requests with a lasting key that is answered then.
	minServedShare = 0.9
)

// regressions lists the seeds that ever failed.
var regressions = []struct {
	seed  uint64
	cause string
}{}

func buildBinary(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jaystage-platform")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/jaystage/jaystage/cmd/jaystage-platform").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	binary := buildBinary(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d: %s", r.seed, r.cause), func(t *testing.T) { runSeed(t, binary, r.seed, 100) })
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, binary, seed, byte(101+seed%100)) })
	}
}

// soak plays one seed.
func runSeed(t *testing.T, binary string, seed uint64, network byte) {
	h := newHistory()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.4.1:0", network))
	if err != nil {
		t.Fatal(err)
	}
	cloud := &http.Server{Handler: http.HandlerFunc(h.acceptUsageReport)}
	go func() { _ = cloud.Serve(l) }()
	t.Cleanup(func() { _ = cloud.Close() })
	c := newCluster(t, network, binary, l.Addr().String())
	for i := range c.vms {
		c.start(i, true)
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	var list []*upstream
	for n := range upstreamCount {
		list = append(list, newUpstream(t, h, network, n+1))
	}
	running, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	spawn := func(f func(context.Context)) { all.Add(1); go func() { defer all.Done(); f(running) }() }
	spawn(func(ctx context.Context) { h.announceUpstreams(ctx, c, list) })
	h.putPlan(ctx, c, 1, true)
	waitReady(ctx, t, c)
	spawn(func(ctx context.Context) { h.changePlan(ctx, c) })
	spawn(func(ctx context.Context) { h.checkPlanReads(ctx, c) })
	for n := range clientCount {
		spawn(func(ctx context.Context) { h.runClient(ctx, c, n) })
	}
	injectFaults(ctx, c, seed, list, h)
	time.Sleep(recoveryTime)
	recovered := h.servedShare(2 * time.Second)
	end()
	all.Wait()
	h.checkBookings()
	h.checkPlanAfterFaults(ctx, c)
	reportResult(t, c, h, seed, recovered)
}

// announce has the upstreams report their state until ctx ends.
func (h *history) announceUpstreams(ctx context.Context, c *cluster, list []*upstream) {
	for ctx.Err() == nil {
		for _, u := range list {
			h.mu.Lock()
			leaving, acknowledged := u.leaving, !h.leftAt[u.id].IsZero()
			h.mu.Unlock()
			switch {
			case acknowledged:
			case leaving:
				if u.reportState(c, "draining") {
					h.mu.Lock()
					h.leftAt[u.id] = time.Now()
					h.mu.Unlock()
				}
			default:
				u.reportState(c, "ready")
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// waitServing returns once every entry node is ready.
func waitReady(ctx context.Context, t testing.TB, c *cluster) {
	t.Helper()
	for i := voters; i < voters+entryNodes; {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", c.host(i), readinessPort))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				i++
				continue
			}
		}
		if ctx.Err() != nil {
			t.Fatal("the deployment did not become ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// disturb plays two overlapping series of faults: one on voters, of which one may be
// lost at a time, and one on entry nodes and upstreams.
func injectFaults(ctx context.Context, c *cluster, seed uint64, list []*upstream, h *history) {
	until := time.Now().Add(*faultDuration)
	var series sync.WaitGroup
	series.Add(2)
	go func() {
		defer series.Done()
		rng := rand.New(rand.NewPCG(seed, 1))
		for time.Now().Before(until) && ctx.Err() == nil {
			faults[rng.IntN(len(faults))].run(c, rng, rng.IntN(voters))
			time.Sleep(1500 * time.Millisecond) // a voter counts as lost until it has caught up
		}
	}()
	go func() {
		defer series.Done()
		rng := rand.New(rand.NewPCG(seed, 2))
		for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
			u := list[rng.IntN(len(list))]
			switch {
			case i == 2:
				h.mu.Lock()
				list[0].leaving = true
				h.mu.Unlock()
			case rng.IntN(4) == 0:
				h.partitionThroughRevocation(ctx, c, voters+rng.IntN(entryNodes))
			case rng.IntN(3) == 0:
				u.path.setMode([]mode{delayed, blackhole, reset, oneWay}[rng.IntN(4)])
				time.Sleep(time.Second)
				u.path.setMode(pass)
			default:
				faults[rng.IntN(len(faults))].run(c, rng, voters+rng.IntN(entryNodes))
			}
		}
	}()
	series.Wait()
}

// cutThroughRevocation keeps a VM from hearing that a key is taken away, until after it
// has to refuse the key all the same.
func (h *history) partitionThroughRevocation(ctx context.Context, c *cluster, i int) {
	since := time.Now()
	c.setPathMode(i, blackhole)
	defer c.setPathMode(i, pass)
	for ctx.Err() == nil && time.Since(since) < maxPartition {
		h.mu.Lock()
		revoked := h.revokedAt
		h.mu.Unlock()
		if revoked.After(since) && time.Since(revoked) > revokeTimeout+revokedKeyTraffic {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// share returns the part of the requests that are answered during a time.
func (h *history) servedShare(d time.Duration) float64 {
	count := func() (int, int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.served, h.requested
	}
	s1, a1 := count()
	time.Sleep(d)
	s2, a2 := count()
	return float64(s2-s1) / float64(max(1, a2-a1))
}

// last reads the plan once more after all faults.
func (h *history) checkPlanAfterFaults(ctx context.Context, c *cluster) {
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h.checkPlanReads(short, c)
}

func reportResult(t *testing.T, c *cluster, h *history, seed uint64, recovered float64) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if recovered < minServedShare {
		h.addViolation("%.2f of the requests were answered %v after the last fault", recovered, recoveryTime)
	}
	t.Logf("seed %d: %d asked, %d answered, %d refused, plan %d, %d windows, %.2f answered at the end", seed, h.requested, h.served, len(h.refusedWith), h.ackedPlan, len(h.usageReports), recovered)
	for _, f := range h.violations {
		t.Errorf("seed %d: %s", seed, f)
	}
	if len(h.violations) > 0 && *logDir != "" {
		data, err := os.ReadFile(c.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("seed-%d.log", seed)), data, 0o600)
		}
		if err != nil {
			t.Errorf("logs of seed %d: %v", seed, err)
		}
	}
}
