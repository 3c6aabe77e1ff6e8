// Package soak runs the real programs as separate processes on loopback addresses,
// injects faults from outside and checks the system's guarantees against what clients,
// upstreams, operators and the platform observe. It contains only tests.
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
	faultDuration = flag.Duration("soak.length", 12*time.Second, "duration of fault injection for each seed")
	logDir        = flag.String("soak.logs", "", "directory for the logs of failed seeds")
)

const (
	clientCount   = 12
	upstreamCount = 4
	// recoveryTime is the time after the last fault within which the cluster must serve
	// again.
	recoveryTime = 8 * time.Second
	// maxPartition covers two changes of the plan and the time until the revocation of
	// the second key is in force.
	maxPartition = 16 * time.Second
	// revokedKeyTraffic is how long a partition lasts after the partitioned node must
	// refuse the revoked key. Clients send it about 15 requests with this key a second.
	revokedKeyTraffic = 400 * time.Millisecond
	// minServedShare is the minimum share of requests with the key that is never revoked
	// that must succeed after recoveryTime.
	minServedShare = 0.9
)

// regressions lists the seeds that failed in the past; every run repeats them.
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

// startPlatform starts a stand-in for the platform and returns its address.
func (h *history) startPlatform(t testing.TB, network byte) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.4.1:0", network))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(h.acceptUsageReport)}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// runSeed runs a new cluster under the faults of one seed and checks the guarantees.
func runSeed(t *testing.T, binary string, seed uint64, network byte) {
	h := newHistory()
	network = useNetwork(t, network)
	c := newCluster(t, network, binary, h.startPlatform(t, network))
	for i := range c.vms {
		c.start(i, true)
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	var upstreams []*upstream
	for n := range upstreamCount {
		upstreams = append(upstreams, newUpstream(t, h, network, n+1))
	}
	workerCtx, stopWorkers := context.WithCancel(ctx)
	var workers sync.WaitGroup
	spawn := func(f func(context.Context)) { workers.Add(1); go func() { defer workers.Done(); f(workerCtx) }() }
	spawn(func(ctx context.Context) { h.announceUpstreams(ctx, c, upstreams) })
	h.putPlan(ctx, c, 1, true)
	waitReady(ctx, t, c)
	spawn(func(ctx context.Context) { h.changePlan(ctx, c) })
	spawn(func(ctx context.Context) { h.checkPlanReads(ctx, c) })
	for n := range clientCount {
		spawn(func(ctx context.Context) { h.runClient(ctx, c, n) })
	}
	injectFaults(ctx, c, seed, upstreams, h)
	time.Sleep(recoveryTime)
	recovered := h.servedShare(2 * time.Second)
	stopWorkers()
	workers.Wait()
	h.checkBookings()
	h.checkPlanAfterFaults(ctx, c)
	reportResult(t, c, h, seed, recovered)
}

// announceUpstreams sends the status reports of the upstreams until ctx is done. An
// upstream stops reporting once its draining report is acknowledged.
func (h *history) announceUpstreams(ctx context.Context, c *cluster, upstreams []*upstream) {
	for ctx.Err() == nil {
		for _, u := range upstreams {
			h.mu.Lock()
			draining, acknowledged := u.draining, !h.drainAckedAt[u.id].IsZero()
			h.mu.Unlock()
			switch {
			case acknowledged:
			case draining:
				if u.reportState(c, "draining") {
					h.mu.Lock()
					h.drainAckedAt[u.id] = time.Now()
					h.mu.Unlock()
				}
			default:
				u.reportState(c, "ready")
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// waitReady waits until every entry node is ready.
func waitReady(ctx context.Context, t testing.TB, c *cluster) {
	t.Helper()
	for _, i := range c.members(false) {
		for !c.ready(ctx, i) {
			if ctx.Err() != nil {
				t.Fatal("the cluster did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// ready reports whether an entry node tells the balancer that it is ready.
func (c *cluster) ready(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", c.host(i), readinessPort), http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// injectFaults runs two series of faults concurrently: one on the voters, at most one of
// which may be down at a time, and one on the entry nodes and upstreams.
func injectFaults(ctx context.Context, c *cluster, seed uint64, upstreams []*upstream, h *history) {
	deadline := time.Now().Add(*faultDuration)
	var series sync.WaitGroup
	series.Add(2)
	go func() {
		defer series.Done()
		rng := rand.New(rand.NewPCG(seed, 1))
		for time.Now().Before(deadline) && ctx.Err() == nil {
			faults[rng.IntN(len(faults))].run(c, rng, rng.IntN(voters))
			time.Sleep(1500 * time.Millisecond) // a voter counts as failed until it has caught up
		}
	}()
	go func() {
		defer series.Done()
		rng := rand.New(rand.NewPCG(seed, 2))
		for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
			u := upstreams[rng.IntN(len(upstreams))]
			switch {
			case i == 2:
				h.mu.Lock()
				upstreams[0].draining = true
				h.mu.Unlock()
			case rng.IntN(4) == 0:
				h.partitionThroughRevocation(ctx, c, voters+rng.IntN(entryNodes))
			case rng.IntN(3) == 0:
				u.proxy.setMode([]mode{delayed, blackhole, reset, oneWay}[rng.IntN(4)])
				time.Sleep(time.Second)
				u.proxy.setMode(pass)
			default:
				faults[rng.IntN(len(faults))].run(c, rng, voters+rng.IntN(entryNodes))
			}
		}
	}()
	series.Wait()
}

// partitionThroughRevocation partitions a VM so that it does not receive the revocation
// of a key. The VM must still refuse the key revokeTimeout after the revocation; the
// partition lasts a little longer, so that requests with the key test this.
func (h *history) partitionThroughRevocation(ctx context.Context, c *cluster, i int) {
	start := time.Now()
	c.setPathMode(i, blackhole)
	defer c.setPathMode(i, pass)
	for ctx.Err() == nil && time.Since(start) < maxPartition {
		h.mu.Lock()
		revoked := h.revokedAt
		h.mu.Unlock()
		if revoked.After(start) && time.Since(revoked) > revokeTimeout+revokedKeyTraffic {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// servedShare returns the share of the requests sent during d that were answered. It
// counts only requests with the key that is never revoked.
func (h *history) servedShare(d time.Duration) float64 {
	count := func() (int, int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.served, h.requested
	}
	s1, r1 := count()
	time.Sleep(d)
	s2, r2 := count()
	return float64(s2-s1) / float64(max(1, r2-r1))
}

// checkPlanAfterFaults checks the voters' plan once more after all faults.
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
		h.addViolation("only %.2f of the requests were answered %v after the last fault", recovered, recoveryTime)
	}
	t.Logf("seed %d: %d requests, %d answered, %d refused, plan version %d, %d usage windows, %.2f answered at the end", seed, h.requested, h.served, len(h.refusedWith), h.ackedPlanVersion, len(h.usageReports), recovered)
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
