package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	referenceInterval = 50 * time.Millisecond
	// referenceLimit is the longest time of a short request at an undisturbed node.
	referenceLimit = 200 * time.Millisecond
	// A process whose thread waits for a processor for starvationLimit in starvationInterval
	// cannot keep bounds of time.
	starvationInterval = 250 * time.Millisecond
	starvationLimit    = 150 * time.Millisecond
)

// disturbance is a time in which a node that is not stopped served badly, or in which the one
// that is stopped got no processor, so that the cause is not the stop. Its times are relative
// to the SIGTERM.
type disturbance struct {
	from, to time.Duration
	failed   bool // a request failed; else one was slow, or there was no processor
}

// watch sends short requests to a node that is not stopped until the play ends, and records
// when these fail or are slow.
func (p *stopPlay) watch(node int) {
	p.watchProcessor()
	p.watching.Add(1)
	go func() {
		defer p.watching.Done()
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for last := time.Now(); !p.over.Load(); time.Sleep(referenceInterval) {
			began := last
			err := p.sendReference(client, node)
			if err != nil || time.Since(began) > referenceInterval+referenceLimit {
				p.disturb(disturbance{began.Sub(p.termAt), time.Since(p.termAt), err != nil})
			}
			last = time.Now()
		}
	}()
}

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
					p.disturb(disturbance{began.Sub(p.termAt), time.Since(p.termAt), false})
					break
				}
			}
			waited = now
		}
	}()
}

func (p *stopPlay) disturb(d disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbances = append(p.disturbances, d)
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

// sendReference sends one short request.
func (p *stopPlay) sendReference(client *http.Client, node int) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.cluster.clientAddress(node)+"/book/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", p.cluster.newID())
	r.Header.Set("X-Deadline-Ms", "1000")
	r.Header.Set("X-Work", answerIn(veryShort))
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// disturbed reports whether the other node failed a request between contactTime before a
// request and its end, or the process was killed after it had been slow.
func (p *stopPlay) disturbed(o *stopOutcome) bool {
	for _, d := range p.disturbances {
		if d.failed && d.to > o.firstSent-contactTime && d.from < o.ended {
			return true
		}
	}
	return p.stop.killed.Load() && p.slowed(0, p.cluster.grace)
}

// slowed reports whether one of the nodes was slow between two times.
func (p *stopPlay) slowed(from, to time.Duration) bool {
	for _, d := range p.disturbances {
		if d.to > from-referenceLimit && d.from < to+referenceLimit {
			return true
		}
	}
	return false
}

// slowTime returns for how long one of the nodes was slow between the SIGTERM and a time.
func (p *stopPlay) slowTime(to time.Duration) (total time.Duration) {
	for _, d := range p.disturbances {
		total += max(0, min(d.to, to)-max(d.from, 0))
	}
	return total
}
