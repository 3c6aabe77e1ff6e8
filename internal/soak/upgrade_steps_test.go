package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// replace gives a program to some voters and entry nodes that have another one. With spawn,
// paths are lost and upstreams drained between the steps.
func (u *upgrade) replace(ctx context.Context, rng *rand.Rand, how order, count shape, spawn func(func(context.Context)), binary string) {
	voterRNG, entryRNG := rand.New(rand.NewPCG(rng.Uint64(), 1)), rand.New(rand.NewPCG(rng.Uint64(), 2))
	how.run(func() {
		methods := voterRNG.Perm(len(voterMethods))
		for n, i := range u.others(voterRNG, true, binary, count.voters) {
			m := voterMethods[methods[n%len(methods)]]
			u.mark("voter %d: %s", i, m.name)
			m.replace(u, voterRNG, i, binary)
			sleep(ctx, catchUpTime+500*time.Millisecond)
			u.awaitCalm(ctx)
			if spawn != nil && n == 0 {
				sleep(ctx, stableHold-catchUpTime) // both builds are part of a stable core
			}
		}
	}, func() {
		for n, i := range u.others(entryRNG, false, binary, count.entryNodes) {
			u.replaceEntryNode(ctx, entryRNG, i, binary)
			if spawn == nil || n >= 2 {
				continue
			}
			u.drainUpstream(n, spawn)
			// The only node of its build loses its path, so that it has to go through the other.
			alone := u.aloneInBuild()
			u.losePath(ctx, alone, []loss{silent, refusing, partial}[entryRNG.IntN(3)])
		}
	})
}

// others returns some VMs of the deployment, in random order, whose program is another one.
func (u *upgrade) others(rng *rand.Rand, voter bool, binary string, count int) []int {
	list := slices.DeleteFunc(u.members(voter), func(i int) bool { return u.binaryOf(i) == binary })
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

func (c *cluster) binaryOf(i int) string {
	v := c.vms[i]
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.binary
}

// aloneInBuild returns the entry node that no other one shares its program with.
func (u *upgrade) aloneInBuild() int {
	byBinary := make(map[string][]int)
	for _, i := range u.members(false) {
		byBinary[u.binaryOf(i)] = append(byBinary[u.binaryOf(i)], i)
	}
	for _, list := range byBinary {
		if len(list) == 1 {
			return list[0]
		}
	}
	u.t.Fatalf("entry nodes by program: got %v, want one that is alone", byBinary)
	return -1
}

// voterMethod is a way to replace a voter.
type voterMethod struct {
	name    string
	replace func(u *upgrade, rng *rand.Rand, i int, binary string)
}

var voterMethods = []voterMethod{
	{"in place", func(u *upgrade, _ *rand.Rand, i int, binary string) {
		u.terminate(i)
		u.startWith(i, binary)
	}},
	{"in place, disk lost", func(u *upgrade, rng *rand.Rand, i int, binary string) {
		u.kill(i)
		u.wipeDisk(i)
		sleepRandom(rng, 100*time.Millisecond, time.Second)
		u.startEmpty(i, binary)
	}},
	{"planned, at another address", func(u *upgrade, rng *rand.Rand, i int, binary string) {
		u.terminate(i)
		u.remove(i)
		sleepRandom(rng, 100*time.Millisecond, time.Second)
		u.startEmpty(u.spare(true), binary)
	}},
	{"lost, at another address", func(u *upgrade, rng *rand.Rand, i int, binary string) {
		u.kill(i)
		u.remove(i)
		sleepRandom(rng, 100*time.Millisecond, time.Second)
		u.startEmpty(u.spare(true), binary)
	}},
}

// replaceEntryNode replaces an entry node in place, or by another VM that starts first, and
// waits until the new process is ready.
func (u *upgrade) replaceEntryNode(ctx context.Context, rng *rand.Rand, i int, binary string) {
	next := i
	if rng.IntN(2) == 0 {
		u.mark("entry node %d: in place", i)
		u.terminate(i)
		u.startWith(i, binary)
	} else {
		next = u.spare(false)
		u.mark("entry node %d: replaced by %d", i, next)
		u.startWith(next, binary)
		u.terminate(i)
		u.remove(i)
	}
	for ctx.Err() == nil && !u.ready(ctx, next) {
		sleep(ctx, 50*time.Millisecond)
	}
	sleep(ctx, probeInterval) // until the balancer uses it
}

// terminate sends SIGTERM, and SIGKILL at the end of the grace period, as the platform does.
func (u *upgrade) terminate(i int) {
	u.recordCoreEvent(i)
	u.mu.Lock()
	u.terminatedAt[i] = append(u.terminatedAt[i], time.Now())
	u.mu.Unlock()
	exited := u.signal(i, syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		u.mu.Lock()
		u.killed++
		u.mu.Unlock()
		<-u.signal(i, syscall.SIGKILL)
	}
	u.recordCoreEvent(i)
}

func (u *upgrade) kill(i int) {
	u.recordCoreEvent(i)
	<-u.signal(i, syscall.SIGKILL)
}

func (u *upgrade) startWith(i int, binary string) {
	v := u.vms[i]
	v.mu.Lock()
	v.binary, v.removed = binary, false
	v.mu.Unlock()
	u.recordCoreEvent(i)
	u.start(i, false)
}

func (u *upgrade) startEmpty(i int, binary string) {
	u.mu.Lock()
	u.joined = append(u.joined, i)
	u.mu.Unlock()
	u.startWith(i, binary)
}

func (u *upgrade) remove(i int) {
	v := u.vms[i]
	v.mu.Lock()
	defer v.mu.Unlock()
	v.removed = true
}

// spare returns a VM that has not been used yet.
func (u *upgrade) spare(voter bool) int {
	for i, v := range u.vms {
		v.mu.Lock()
		unused := v.voter == voter && v.removed && v.exited == nil
		v.mu.Unlock()
		if unused {
			return i
		}
	}
	u.t.Fatal("there is no spare VM left")
	return -1
}

func (u *upgrade) recordCoreEvent(i int) {
	if !u.vms[i].voter {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coreEvents = append(u.coreEvents, time.Now())
}

// mark writes a step of the test into the log of the processes.
func (u *upgrade) mark(format string, args ...any) {
	_, _ = fmt.Fprintf(u.log, "{\"test\":%q,\"time\":%q}\n", fmt.Sprintf(format, args...), time.Now().Format(time.RFC3339Nano))
}

// drainUpstream makes an upstream leave and starts another one.
func (u *upgrade) drainUpstream(n int, spawn func(func(context.Context))) {
	u.mark("upstream %s leaves", u.upstreams[n].id)
	u.h.mu.Lock()
	u.upstreams[n].draining = true
	u.h.mu.Unlock()
	added := u.upstreams[upstreamCount+n]
	spawn(func(ctx context.Context) { u.h.announceUpstreams(ctx, u.cluster, []*upstream{added}) })
}

// losePath cuts an entry node off from all upstreams for detourTime and checks that its
// requests went through the other nodes.
func (u *upgrade) losePath(ctx context.Context, node int, mode loss) {
	u.mark("entry node %d loses its path to the upstreams, mode %d", node, mode)
	offset, err := u.log.Seek(0, 1)
	if err != nil {
		u.t.Error(err)
	}
	start := time.Now()
	for _, cut := range u.cuts {
		cut.set(u.host(node), mode)
	}
	sleep(ctx, detourTime)
	healed := time.Now()
	for _, cut := range u.cuts {
		cut.set(u.host(node), noLoss)
	}
	u.mark("entry node %d has its path again", node)
	u.mu.Lock()
	u.lostPaths = append(u.lostPaths, lostPath{node, start, healed})
	u.mu.Unlock()
	relayed := u.relayedFor(node, offset)
	if relayed == 0 && mode != partial { // the connections that live on may be enough
		u.t.Errorf("entry node %d (%s) lost its path: got no connection through nodes of the other build, want some", node, u.buildName(u.binaryOf(node)))
	}
	u.mu.Lock()
	u.relayed = append(u.relayed, fmt.Sprintf("%d connections of the %s build through the other", relayed, u.buildName(u.binaryOf(node))))
	u.mu.Unlock()
	sleep(ctx, time.Second)
}

func (u *upgrade) buildName(binary string) string {
	if binary == u.to {
		return "new"
	}
	return "old"
}
