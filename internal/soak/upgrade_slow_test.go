package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// A VM counts as slowed when a thread of its process has waited for a processor for
	// maxProcessorWait within slownessInterval: voters elect a new leader after 200 ms without
	// a heartbeat. The platform's rules hold only for VMs that are not slowed.
	slownessInterval = 250 * time.Millisecond
	maxProcessorWait = 100 * time.Millisecond
	// maxCalmWait bounds the wait for a time in which no VM is slowed.
	maxCalmWait = 10 * time.Second
)

// watchProcessors records when a VM is slowed until ctx is done. The kernel counts the waits
// of each thread, so that nothing that the processes do themselves counts.
func (u *upgrade) watchProcessors(ctx context.Context) {
	earlier := make(map[string]uint64)
	for ctx.Err() == nil {
		waits := make(map[string]uint64)
		slowed := false
		for _, v := range u.vms {
			v.mu.Lock()
			pid := 0
			if v.cmd != nil {
				pid = v.cmd.Process.Pid
			}
			v.mu.Unlock()
			if pid == 0 {
				continue
			}
			threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // none on other systems
			for _, thread := range threads {
				var running, waiting uint64
				text, err := os.ReadFile(thread)
				if err != nil {
					continue // the thread has ended
				}
				if _, err := fmt.Sscan(string(text), &running, &waiting); err != nil {
					continue
				}
				waits[thread] = waiting
				before, known := earlier[thread]
				slowed = slowed || known && time.Duration(waiting-before) >= maxProcessorWait
			}
		}
		earlier = waits
		if slowed {
			u.mu.Lock()
			u.slowedAt = append(u.slowedAt, time.Now())
			u.mu.Unlock()
		}
		sleep(ctx, slownessInterval)
	}
}

// slowedDuring reports whether a VM was slowed between two times, or within contactTime
// before. The lock must be held.
func (u *upgrade) slowedDuring(from, to time.Time) bool {
	from, to = from.Add(-contactTime), to.Add(slownessInterval)
	return slices.ContainsFunc(u.slowedAt, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// awaitCalm waits until no VM has been slowed for catchUpTime: a slowed voter counts as lost
// for so long, and one of them may be lost at a time.
func (u *upgrade) awaitCalm(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil && time.Since(start) < maxCalmWait; sleep(ctx, slownessInterval) {
		u.mu.Lock()
		calm := len(u.slowedAt) == 0 || time.Since(u.slowedAt[len(u.slowedAt)-1]) > catchUpTime
		u.mu.Unlock()
		if calm {
			return
		}
	}
}
