package caller

import (
	"context"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
)

// silenceProbes are the health checks of upstreams with silent attempts. The maintenance
// goroutine owns them.
type silenceProbes struct {
	// running holds the silent attempts of each upstream that is checked now.
	running map[string][]*attempt
	ended   chan probeResult
}

// health is the result of the last check of a silent attempt's upstream.
type health int

const (
	healthUnknown health = iota
	healthPassed
	healthFailed
)

// probeResult is the result of the health check of an upstream.
type probeResult struct {
	id     string
	health health
}

func newSilenceProbes() *silenceProbes {
	return &silenceProbes{running: make(map[string][]*attempt), ended: make(chan probeResult)}
}

// finish applies the result of a check to the attempts that it is for.
func (p *silenceProbes) finish(r probeResult) {
	for _, at := range p.running[r.id] {
		at.upstreamHealth = r.health
	}
	delete(p.running, r.id)
}

// wait waits for all running checks.
func (p *silenceProbes) wait() {
	for range p.running {
		<-p.ended
	}
}

// probeSilent starts the check of a silent attempt's upstream, once for each silence.
func (a *API) probeSilent(ctx context.Context, at *attempt, lastProgress int64, probes *silenceProbes) {
	if at.probedSilence == lastProgress {
		return
	}
	at.probedSilence, at.upstreamHealth = lastProgress, healthUnknown
	id := at.target.ID
	started := len(probes.running[id]) > 0
	probes.running[id] = append(probes.running[id], at)
	if started {
		return
	}
	go func() { probes.ended <- probeResult{id, a.probe(ctx, at.target)} }()
}

// probe checks the health of a silent upstream and ejects it if the check fails.
func (a *API) probe(ctx context.Context, target upstream.Entry) health {
	if err := a.Transport.Probe(ctx, target.Address); err != nil {
		if ctx.Err() == nil {
			a.Slots.eject(a.Now(), target)
			event.With(a.Log, event.UpstreamStalled).WithField("upstream", target.ID).WithField("domain", target.Domain).Warn("no progress from upstream and its health check failed")
		}
		return healthFailed
	}
	// Idle connections of the same age may have failed together with this one.
	a.Transport.CloseIdle()
	event.With(a.Log, event.ConnectionSilent).WithField("upstream", target.ID).Warn("no progress on connection while the upstream is healthy")
	return healthPassed
}
