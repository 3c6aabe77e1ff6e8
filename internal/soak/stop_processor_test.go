package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// A process whose thread waits for a processor for starvationLimit in starvationInterval
	// cannot keep bounds of time.
	starvationInterval = 250 * time.Millisecond
	starvationLimit    = 150 * time.Millisecond
)

// starvation is a time in which the process that is stopped had work and got no processor, as
// the kernel tells. Its times are relative to the SIGTERM.
type starvation struct{ from, to time.Duration }

// watchProcessor records when a thread of the process that is stopped had work and got no
// processor for most of starvationInterval, until the play ends.
func (p *stopPlay) watchProcessor() {
	process := p.cluster.running(p.node)
	if process == nil {
		return
	}
	p.watching.Add(1)
	go func() {
		defer p.watching.Done()
		waited := threadWaits(process.cmd.Process.Pid)
		for !p.over.Load() {
			began := time.Now()
			time.Sleep(starvationInterval)
			now := threadWaits(process.cmd.Process.Pid)
			for thread, total := range now {
				if before, known := waited[thread]; known && total-before > starvationLimit {
					p.starved = append(p.starved, starvation{began.Sub(p.termAt), time.Since(p.termAt)})
					break
				}
			}
			waited = now
		}
	}()
}

// threadWaits returns how long each thread of a process has waited for a processor in all.
func threadWaits(pid int) map[string]time.Duration {
	waits := make(map[string]time.Duration)
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			waits[path] = time.Duration(n)
		}
	}
	return waits
}

// isStarved reports whether the process got no processor for a while between two times.
func (p *stopPlay) isStarved(from, to time.Duration) bool {
	for _, s := range p.starved {
		if s.to > from && s.from < to {
			return true
		}
	}
	return false
}

// starvedFor returns for how long the process got no processor between the SIGTERM and a time.
func (p *stopPlay) starvedFor(to time.Duration) (total time.Duration) {
	for _, s := range p.starved {
		total += max(0, min(s.to, to)-max(s.from, 0))
	}
	return total
}

// pause stops a process by SIGSTOP and waits until all its threads stand still. The signal alone
// does not: the thread that takes it has to get a processor first, and until then the others run.
func pause(t testing.TB, process *os.Process) {
	t.Helper()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(stopStartTime); !threadsStopped(process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("process %d still runs %v after SIGSTOP", process.Pid, stopStartTime)
		}
	}
}

// threadsStopped reports whether all threads of a process are stopped by a signal.
func threadsStopped(pid int) bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		// The state follows the name, which is in parentheses and may contain any character.
		if i := bytes.LastIndexByte(text, ')'); err != nil || i < 0 || !bytes.HasPrefix(text[i:], []byte(") T")) {
			return false
		}
	}
	return len(paths) > 0
}
