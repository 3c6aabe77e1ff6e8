package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// signalAt sends a signal to the process that is stopped, at a time relative to its SIGTERM.
func (p *stopPlay) signalAt(at time.Duration, s syscall.Signal) {
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		time.Sleep(time.Until(p.termAt.Add(at)))
		if process := p.cluster.running(p.node); process != nil {
			_ = process.cmd.Process.Signal(s)
		}
	}()
}

// sendSignals sends further SIGTERMs and SIGHUPs, the latter after a change of the settings.
func (p *stopPlay) sendSignals() {
	for _, at := range seconds(0.1, 1, 3) {
		p.signalAt(at, syscall.SIGTERM)
	}
	for _, at := range seconds(-0.5, 0, 0.01, 0.02, 0.5, 1.2, 2.4, 2.5, 2.6, 3.5, 4.5) {
		p.signalAt(at, syscall.SIGHUP)
	}
	path, text := p.cluster.settingsPath(p.node), p.cluster.settings(p.node, false)
	for at, change := range map[time.Duration]func() error{
		beforeStop:              func() error { return os.WriteFile(path, []byte(text), 0o600) },
		-100 * time.Millisecond: func() error { return os.Truncate(path, int64(len(text)/2)) },
		time.Second:             func() error { return os.Remove(path) },
		2450 * time.Millisecond: func() error { return os.WriteFile(path, nil, 0o600) },
	} {
		p.clients.Add(1)
		go func() {
			defer p.clients.Done()
			time.Sleep(time.Until(p.termAt.Add(at)))
			if err := change(); err != nil {
				p.cluster.t.Error(err)
			}
		}()
	}
	for _, at := range seconds(-0.6, 0.05, 0.9, 1.1, 2) {
		for _, r := range standardRequests[:5] {
			p.sendAt(waySignals, at, r)
		}
	}
}

// hangUp starts a node, waits until the given time after the start, or until the node listens
// if that is zero, and sends a series of SIGHUPs and then a SIGTERM.
func (c *stopCluster) hangUp(i int, after time.Duration) *nodeStop {
	p := c.start(i, false)
	for began := time.Now(); after == 0 && time.Since(began) < stopStartTime; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", c.clientAddress(i))
		if err == nil {
			_ = conn.Close()
			break
		}
	}
	time.Sleep(after)
	for range 20 {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
	s := &nodeStop{at: time.Now(), process: p}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
	return s
}

// Guards against a SIGHUP that ends a process which has just been started. Before the process
// has set its handlers the signal's default action ends it, which shows in the log only: no
// process can prevent it right after the start.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	network, lock := claimNetwork(t, 235)
	defer lock.Close()
	c := &stopCluster{t: t, binary: sharedBinary(t), dir: t.TempDir(), network: network, grace: stopGrace}
	for i := range voters + 4 {
		n := &stopNode{name: fmt.Sprint("vm", i), host: fmt.Sprintf("127.%d.1.%d", c.network, i+1), dir: filepath.Join(c.dir, fmt.Sprint("vm", i)), voter: i < voters}
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	var starts sync.WaitGroup
	for i, after := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		starts.Add(1)
		go func() {
			defer starts.Done()
			s := c.hangUp(voters+i, after)
			if after == 0 {
				s.wantExit(t, idleEnd)
				return
			}
			t.Logf("SIGHUP from %v after the start: %v", after, s.process.state)
		}()
	}
	starts.Wait()
}
