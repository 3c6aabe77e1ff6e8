package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	// replaceVoters is the number of voters of these groups, which tolerate two losses.
	replaceVoters = 5
	// replaceNetwork is the network of the first group; the others use the next ones.
	replaceNetwork = 160
	// lostNetwork is the network of the first group of TestLostVoterThenLostDisks.
	lostNetwork = 180
	// settleTime is the time that a new voter gets: catchUpTime and a little more.
	settleTime = catchUpTime + 500*time.Millisecond
	// replaceRecovery is the time from the last loss until an order must be confirmed.
	replaceRecovery = 12 * time.Second
	// diskDownTime is how long a VM that loses its disk is down.
	diskDownTime = 1200 * time.Millisecond
)

// replacedGroup is a group of voters some of which are replaced as planned.
type replacedGroup struct {
	*cluster
	t       *testing.T
	version uint64 // of the newest confirmed plan
}

func newReplacedGroup(t *testing.T, network byte, binary string) *replacedGroup {
	t.Helper()
	network = useNetwork(t, network)
	s := shape{voters: replaceVoters, spareVoters: replaceVoters}
	g := &replacedGroup{cluster: newClusterOf(t, network, s, binary, newHistory().startPlatform(t, network)), t: t}
	t.Cleanup(g.logMembership)
	for i := range replaceVoters {
		g.start(i, true)
	}
	g.confirmPlan(replaceRecovery)
	time.Sleep(settleTime)
	return g
}

// logMembership writes the lines of leaders and members to the log of a failed test.
func (g *replacedGroup) logMembership() {
	if !g.t.Failed() {
		return
	}
	text, err := os.ReadFile(g.log.Name())
	if err != nil {
		g.t.Error(err)
	}
	for line := range bytes.Lines(text) {
		if bytes.Contains(line, []byte(`"event":4006`)) || bytes.Contains(line, []byte(`"event":4008`)) || bytes.Contains(line, []byte(`"event":100`)) {
			g.t.Logf("%s", bytes.TrimSpace(line))
		}
	}
}

// confirmPlan sends the next plan to the voters until one confirms it.
func (g *replacedGroup) confirmPlan(limit time.Duration) {
	g.t.Helper()
	g.version++
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if code, _ := callControl(g.cluster, g.randomVoter(), http.MethodPut, "/config", planJSON(g.version, true)); code == http.StatusOK {
			return
		}
	}
	g.t.Fatalf("plan %d is not confirmed within %v", g.version, limit)
}

// wantPlan checks that the newest confirmed plan can be read back.
func (g *replacedGroup) wantPlan(limit time.Duration) {
	g.t.Helper()
	var got struct {
		Version uint64 `json:"version"`
	}
	code, text := 0, []byte(nil)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if code, text = callControl(g.cluster, g.randomVoter(), http.MethodGet, "/config", ""); code == http.StatusOK {
			break
		}
	}
	if code != http.StatusOK || json.Unmarshal(text, &got) != nil || got.Version != g.version {
		g.t.Fatalf("plan within %v after the last loss: got status %d, version %d, want version %d", limit, code, got.Version, g.version)
	}
}

// startSuccessors starts new voters, lets them catch up and returns them.
func (g *replacedGroup) startSuccessors(count int) (successors []int) {
	for i := range count {
		next := replaceVoters + i
		g.setRemoved(next, false)
		g.start(next, false)
		successors = append(successors, next)
	}
	time.Sleep(settleTime)
	return successors
}

func (g *replacedGroup) setRemoved(i int, removed bool) {
	v := g.vms[i]
	v.mu.Lock()
	defer v.mu.Unlock()
	v.removed = removed
}

// leader returns the voter that has become the leader last, by the log of the processes.
func (g *replacedGroup) leader() int {
	g.t.Helper()
	text, err := os.ReadFile(g.log.Name())
	if err != nil {
		g.t.Fatal(err)
	}
	leader := ""
	for line := range bytes.Lines(text) {
		var entry struct {
			Event int    `json:"event"`
			Node  string `json:"node"`
		}
		if json.Unmarshal(line, &entry) == nil && entry.Event == 4006 {
			leader = entry.Node
		}
	}
	i := slices.IndexFunc(g.vms, func(v *vm) bool { return v.name == leader })
	if i < 0 {
		g.t.Fatalf("leader by the log: got %q, want a voter", leader)
	}
	return i
}

// stopForGood sends SIGTERM to a voter that does not come back. The returned channel is closed
// when its process has ended.
func (g *replacedGroup) stopForGood(i int) <-chan struct{} {
	g.setRemoved(i, true)
	return g.signal(i, syscall.SIGTERM)
}

// wantEnd waits for the end of a process within the grace period.
func (g *replacedGroup) wantEnd(i int, ended <-chan struct{}) {
	g.t.Helper()
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		g.t.Fatalf("%s has not ended within the grace period", g.vms[i].name)
	}
}

// loseDisks kills voters, removes their disks and starts them again.
func (g *replacedGroup) loseDisks(list []int) {
	for _, i := range list {
		<-g.signal(i, syscall.SIGKILL)
	}
	for _, i := range list {
		g.wipeDisk(i)
	}
	time.Sleep(diskDownTime)
	for _, i := range list {
		g.start(i, false)
	}
}

// replacement is a planned replacement and the losses that follow it.
type replacement struct {
	name  string
	count int           // of the replaced voters
	gap   time.Duration // between two stops
	// leads is true if the leader is replaced first.
	leads bool
	// lossAfter is the number of ended processes after which two disks are lost; zero for all.
	lossAfter int
	// loseNew is true if successors lose their disks, not voters that stay.
	loseNew bool
}

// play replaces voters as planned and loses two disks at once after a replaced process ended.
func (g *replacedGroup) play(r replacement) {
	g.t.Helper()
	successors := g.startSuccessors(r.count)
	leader := g.leader()
	old := make([]int, replaceVoters)
	for i := range old {
		old[i] = i
	}
	if at := slices.Index(old, leader); at >= 0 {
		first := 0
		if !r.leads {
			first = replaceVoters - 1
		}
		old[at], old[first] = old[first], old[at]
	}
	staying := append(old[r.count:], successors...)
	if r.loseNew {
		staying = append(successors, old[r.count:]...)
	}
	g.confirmPlan(replaceRecovery)
	ends := make([]<-chan struct{}, r.count)
	for n, i := range old[:r.count] {
		ends[n] = g.stopForGood(i)
		if n+1 == r.lossAfter {
			g.wantEnd(i, ends[n])
			g.loseDisks(staying[:2])
		}
		time.Sleep(r.gap)
	}
	for n, i := range old[:r.count] {
		g.wantEnd(i, ends[n])
	}
	if r.lossAfter == 0 {
		g.loseDisks(staying[:2])
	}
	g.wantPlan(replaceRecovery)
	g.confirmPlan(replaceRecovery)
}

// Voters are replaced as planned: the successors start first and catch up, then the old voters
// get SIGTERM; once one has ended, two disks are lost at once. Guards against a quorum that
// still counts a process which has ended: no voter leads ever again, and every confirmed plan
// is lost (review/1).
func TestPlannedReplacementsThenLostDisks(t *testing.T) {
	binary := sharedBinary(t)
	for i, r := range []replacement{
		{name: "one", count: 1},
		{name: "the leader", count: 1, leads: true, loseNew: true},
		{name: "two at once", count: 2, leads: true},
		{name: "two in series, disks lost after the first", count: 2, gap: time.Second, lossAfter: 1},
		{name: "three in series", count: 3, gap: 300 * time.Millisecond, leads: true},
		{name: "five at once", count: 5, loseNew: true},
		{name: "five in series", count: 5, gap: time.Second, leads: true},
	} {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			newReplacedGroup(t, replaceNetwork+byte(i), binary).play(r)
		})
	}
}

// Voters of the release in production are replaced by voters of this one, one at a time, and
// two disks are lost a second after the last old process has ended. Guards against a leader of
// the earlier release that counts a stopped voter until it has been silent for some seconds.
func TestReplacementsDuringUpgradeThenLostDisks(t *testing.T) {
	t.Parallel()
	const pause = time.Second
	production, next := buildCommit(t, productionCommit(t)), sharedBinary(t)
	for count := 1; count <= 2; count++ {
		t.Run(fmt.Sprintf("%d replaced", count), func(t *testing.T) {
			t.Parallel()
			g := newReplacedGroup(t, replaceNetwork+13+byte(count), production)
			for i := range count {
				g.vms[replaceVoters+i].binary = next
			}
			successors := g.startSuccessors(count)
			leader := g.leader()
			var old []int
			for i := range replaceVoters {
				if i != leader {
					old = append(old, i)
				}
			}
			for _, i := range old[:count] {
				g.wantEnd(i, g.stopForGood(i))
				time.Sleep(pause)
			}
			g.confirmPlan(replaceRecovery)
			g.loseDisks([]int{old[count], successors[0]})
			g.wantPlan(replaceRecovery)
			g.confirmPlan(replaceRecovery)
		})
	}
}

// A VM is lost without notice after its successor has caught up, and some time later two disks are
// lost at once. Guards against a quorum that still counts the lost VM: no voter leads ever again,
// and every confirmed plan is lost (review/6). The lost VM should not count from the moment at
// which it is lost; the pause is for the play in which the group has time to notice.
func TestLostVoterThenLostDisks(t *testing.T) {
	binary := sharedBinary(t)
	for i, r := range []struct {
		name  string
		leads bool // the leader is lost
		pause time.Duration
	}{
		{name: "another one, disks lost after a second", pause: time.Second},
		{name: "the leader, disks lost after a second", pause: time.Second, leads: true},
		{name: "another one, disks lost at once"},
	} {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			g := newReplacedGroup(t, lostNetwork+byte(i), binary)
			successors := g.startSuccessors(1)
			lost := g.leader()
			if !r.leads {
				lost = (lost + 1) % replaceVoters
			}
			g.setRemoved(lost, true)
			<-g.signal(lost, syscall.SIGKILL)
			time.Sleep(r.pause)
			g.confirmPlan(replaceRecovery)
			g.loseDisks([]int{(lost + 2) % replaceVoters, successors[0]})
			g.wantPlan(replaceRecovery)
			g.confirmPlan(replaceRecovery)
		})
	}
}

// A process is not told whether it will return. Guards against restarts, of one voter after
// the other and of all at once, that take voters out of a group without a surplus, and against
// a successor that a restart takes out for good.
func TestRestartsKeepGroup(t *testing.T) {
	for i, successors := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d successors", successors), func(t *testing.T) {
			t.Parallel()
			g := newReplacedGroup(t, replaceNetwork+10+byte(i), sharedBinary(t))
			g.startSuccessors(successors)
			running := g.members(true)
			for _, v := range running {
				g.wantEnd(v, g.signal(v, syscall.SIGTERM))
				g.start(v, false)
				g.confirmPlan(replaceRecovery)
			}
			time.Sleep(settleTime)
			ends := make(map[int]<-chan struct{})
			for _, v := range running {
				ends[v] = g.signal(v, syscall.SIGTERM)
			}
			for _, v := range running {
				g.wantEnd(v, ends[v])
				g.start(v, false)
			}
			g.wantPlan(replaceRecovery)
			time.Sleep(settleTime)
			for v := range successors {
				g.wantEnd(v, g.stopForGood(v))
			}
			g.confirmPlan(replaceRecovery)
			g.loseDisks(g.members(true)[:2])
			g.wantPlan(replaceRecovery)
		})
	}
}

// Guards against a voter that waits for a group that cannot answer until it is killed.
func TestVoterStopsWithoutQuorum(t *testing.T) {
	t.Parallel()
	g := newReplacedGroup(t, replaceNetwork+12, sharedBinary(t))
	g.startSuccessors(1)
	for v := range 3 {
		<-g.signal(v, syscall.SIGKILL)
	}
	for _, v := range []int{3, 4} {
		g.wantEnd(v, g.signal(v, syscall.SIGTERM))
	}
	for v := range replaceVoters {
		g.start(v, false)
	}
	g.wantPlan(replaceRecovery)
	g.confirmPlan(replaceRecovery)
}
