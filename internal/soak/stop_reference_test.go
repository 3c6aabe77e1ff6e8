package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	referenceInterval = 50 * time.Millisecond
	// referenceLimit is the longest time of a short request at an undisturbed node.
	referenceLimit = 200 * time.Millisecond
)

// disturbance is a time in which a node that is not stopped served badly, so that the cause
// is not the stop. Its times are relative to the SIGTERM.
type disturbance struct {
	from, to time.Duration
	failed   bool // a request failed; else it was slow
}

// watch sends short requests to a node that is not stopped until the play ends, and records
// when these fail or are slow.
func (p *stopPlay) watch(node int) {
	p.watching.Add(1)
	go func() {
		defer p.watching.Done()
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for last := time.Now(); !p.over.Load(); time.Sleep(referenceInterval) {
			began := last
			err := p.sendReference(client, node)
			if err != nil || time.Since(began) > referenceInterval+referenceLimit {
				p.disturbances = append(p.disturbances, disturbance{began.Sub(p.termAt), time.Since(p.termAt), err != nil})
			}
			last = time.Now()
		}
	}()
}

// sendReference sends one short request.
func (p *stopPlay) sendReference(client *http.Client, node int) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.cluster.clientAddress(node)+"/book/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("%d-%d", p.cluster.network, p.cluster.nextID.Add(1)))
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
// request and its end.
func (p *stopPlay) disturbed(o *stopOutcome) bool {
	for _, d := range p.disturbances {
		if d.failed && d.to > o.firstSent-contactTime && d.from < o.ended {
			return true
		}
	}
	return false
}

// slowed reports whether the other node was slow between the end of a request and that of its
// answer.
func (p *stopPlay) slowed(o *stopOutcome) bool {
	for _, d := range p.disturbances {
		if d.to > o.lastSent-referenceLimit && d.from < o.ended+referenceLimit {
			return true
		}
	}
	return false
}
