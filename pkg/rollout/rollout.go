package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Rules holds a service's rules for rollouts.
type Rules struct {
	// Steps lists the shares of traffic of the new version, rising, in (0, 1].
	Steps []float64 `json:"steps"`
	// Canary is the largest share before the first judgement.
	Canary float64 `json:"canary"`
	// RollbackReserve is the time reserved before the deadline for taking the rollout back.
	RollbackReserve time.Duration `json:"undo"`
	// Soak is the shortest duration of a step; zero means 60 s.
	Soak time.Duration `json:"soak"`
	// Alpha bounds the probability that a version no worse than the old one is
	// judged bad in one rollout; zero means 0.005.
	Alpha float64 `json:"alpha"`
	// Warmup is the time after its start in which an upstream counts as cold;
	// zero means 60 s.
	Warmup time.Duration `json:"warmup"`
}

// Phase is the state of a rollout's life.
type Phase string

// Phases. Done and RolledBack are final.
const (
	Running Phase = "running"
	// RollingBack means that the new version gets no new work, but this is not yet in
	// force on every node.
	RollingBack Phase = "undoing"
	Done        Phase = "done"
	RolledBack  Phase = "undone"
)

// BadVersion is a version that was judged bad.
type BadVersion struct {
	Version string    `json:"version"`
	Time    time.Time `json:"time"`
	Reason  Reason    `json:"reason"`
}

// Rollout is the replicated state of a service's last rollout. Any leader
// continues it from these fields and fresh evidence.
type Rollout struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Rules   Rules  `json:"rules"`
	// Started is before Deadline; Ended is zero until the phase is final.
	Started  time.Time `json:"started"`
	Deadline time.Time `json:"deadline"`
	Ended    time.Time `json:"ended"`
	Phase    Phase     `json:"phase"`
	// Step indexes Rules.Steps. Nodes count outcomes apart for each step.
	Step        int       `json:"step"`
	StepStarted time.Time `json:"stepStarted"`
	// Share is the fraction of traffic that To may get, over all nodes.
	Share float64 `json:"share"`
	// Bad is true once To was judged bad; all its permits are void.
	Bad bool `json:"bad"`
	// Cause says why the rollout left Running.
	Cause Reason `json:"cause"`
	// Baseline holds the old version's counts of the step before this one. At the
	// last step little traffic is left to compare with at the same time.
	Baseline []BaselineEntry `json:"base,omitempty"`
	// BadVersions lists the service's bad versions, over all its rollouts.
	BadVersions []BadVersion `json:"remembered,omitempty"`
}

// BaselineEntry is one element of Rollout.Base.
type BaselineEntry struct {
	Key    Key    `json:"key"`
	Counts Counts `json:"counts"`
}

// Code names the kind of a Reason.
type Code string

// Codes of reasons.
const (
	CodeStarted         Code = "started"
	CodeWorse           Code = "worse"
	CodeSuspect         Code = "suspect"
	CodeMoreEvidence    Code = "more-evidence-needed"
	CodeSoak            Code = "soak"
	CodeStepPassed      Code = "step-passed"
	CodeFinished        Code = "finished"
	CodeBothBad         Code = "both-versions-bad"
	CodeNoNewUpstream   Code = "new-version-has-no-upstream"
	CodeNoOldUpstream   Code = "old-version-has-no-upstream"
	CodeNoTimeLeft      Code = "no-time-left"
	CodeOperator        Code = "operator"
	CodeRollbackInForce Code = "undo-in-force"
	CodeRollbackPending Code = "undo-not-yet-in-force"
	CodeDeadlinePassed  Code = "deadline-passed"
)

// Reason explains a decision with its numbers.
type Reason struct {
	Code Code   `json:"code"`
	Text string `json:"text"`
	// The fields below are set for comparisons. Empty names stand for all.
	Metric string `json:"metric,omitempty"`
	Route  string `json:"route,omitempty"`
	Class  string `json:"class,omitempty"`
	Domain string `json:"domain,omitempty"`
	// OldRate and New are the rates that were compared, in [0, 1].
	OldRate float64 `json:"old,omitempty"`
	NewRate float64 `json:"new,omitempty"`
	// LogLikelihoodRatio is the logarithm of the weighted likelihood ratio against "no
	// worse than the old version"; Threshold is the value that means bad.
	LogLikelihoodRatio float64 `json:"evidence,omitempty"`
	Threshold          float64 `json:"threshold,omitempty"`
}

// Decision is the outcome of one Step.
type Decision struct {
	// Rollout is the state to store when Changed is true.
	Rollout Rollout
	Changed bool
	Reasons []Reason
	// Forecast is the expected end; it is the zero time after the end.
	Forecast time.Time
	// Remaining is the time left until the deadline, not below zero.
	Remaining time.Duration
	// KeepOld is true while the old version's upstreams must stay.
	KeepOld bool
}

// Errors of Start and Undo.
var (
	ErrRunning    = errors.New("a rollout of this service is running")
	ErrBadVersion = errors.New("this version was judged bad before; start it with force to try again")
	ErrRules      = errors.New("the rollout rules cannot be followed")
	ErrEnded      = errors.New("the rollout has ended")
)

// Request asks for a rollout.
type Request struct {
	ID       string
	Service  string
	From     string
	To       string
	Deadline time.Time
	Rules    Rules
	// Force starts a version that was judged bad before.
	Force bool
}

// holdback is the part of the traffic that the old version keeps at the last
// step, so that both versions are compared at the same time until the end.
const holdback = 0.1

// minRollbackReserve covers the commit of the undo, the 2.1 s until a node without contact
// stops admitting, and an election.
const minRollbackReserve = 10 * time.Second

// Start begins a rollout. previous is the service's last rollout, or nil. It
// refuses a second rollout while one runs, a remembered bad version without
// force, and rules or a deadline that leave no time.
func Start(now time.Time, previous *Rollout, q Request) (Rollout, error) {
	r := Rollout{
		ID: q.ID, Service: q.Service, From: q.From, To: q.To, Rules: q.Rules, Started: now,
		Deadline: q.Deadline, Phase: Running, StepStarted: now,
	}
	if previous != nil {
		if !previous.Phase.Final() {
			return Rollout{}, fmt.Errorf("%w: %s from %s to %s", ErrRunning, previous.ID, previous.From, previous.To)
		}
		r.BadVersions = previous.BadVersions
	}
	bad := slices.ContainsFunc(r.BadVersions, func(v BadVersion) bool { return v.Version == q.To })
	if bad && !q.Force {
		return Rollout{}, fmt.Errorf("%w: %s", ErrBadVersion, q.To)
	}
	steps, err := planSteps(q.Rules)
	if err != nil {
		return Rollout{}, err
	}
	r.Rules.Steps = steps
	if r.Rules.Soak == 0 {
		r.Rules.Soak = time.Minute
	}
	if r.Rules.Warmup == 0 {
		r.Rules.Warmup = time.Minute
	}
	if r.Rules.Alpha == 0 {
		r.Rules.Alpha = 0.005
	}
	if need := time.Duration(len(steps))*r.Rules.Soak + r.Rules.RollbackReserve; q.Deadline.Sub(now) < need {
		return Rollout{}, fmt.Errorf("%w: %d steps and the undo need %s, the deadline is in %s",
			ErrRules, len(steps), need, q.Deadline.Sub(now))
	}
	r.Share = steps[0]
	r.Cause = Reason{Code: CodeStarted, Text: fmt.Sprintf("share %.3g", r.Share)}
	return r, nil
}

// planSteps returns the shares at which the new version is judged: the first at most
// the canary share, the last below 1 by the holdback.
func planSteps(rules Rules) ([]float64, error) {
	switch {
	case rules.Canary <= 0 || rules.Canary >= 1:
		return nil, fmt.Errorf("%w: canary %g is not between 0 and 1", ErrRules, rules.Canary)
	case rules.RollbackReserve < minRollbackReserve:
		return nil, fmt.Errorf("%w: undo %s is below %s", ErrRules, rules.RollbackReserve, minRollbackReserve)
	case rules.Alpha < 0 || rules.Alpha >= 1 || rules.Soak < 0 || rules.Warmup < 0:
		return nil, fmt.Errorf("%w: alpha, soak or warm-up out of range", ErrRules)
	}
	steps := []float64{}
	for i, s := range rules.Steps {
		if s <= 0 || s > 1 || (i > 0 && s <= rules.Steps[i-1]) {
			return nil, fmt.Errorf("%w: steps %v do not rise in (0, 1]", ErrRules, rules.Steps)
		}
		if len(steps) == 0 && s >= rules.Canary {
			steps = append(steps, rules.Canary)
		}
		if s < 1-holdback && !slices.Contains(steps, s) {
			steps = append(steps, s)
		}
	}
	if len(steps) == 0 {
		steps = append(steps, rules.Canary)
	}
	if last := 1 - holdback; steps[len(steps)-1] < last {
		steps = append(steps, last)
	}
	return steps, nil
}

// Final tells whether a rollout in this phase has ended.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// Rollback takes a rollout back on an operator's order. An order that arrives after
// the end is refused with ErrEnded, and one during the undoing changes nothing:
// whichever of the order and the end is committed first holds.
func Rollback(now time.Time, r Rollout, author string) (Rollout, error) {
	switch {
	case r.Phase.Final():
		return r, fmt.Errorf("%w as %s at %s", ErrEnded, r.Phase, r.Ended.Format(time.RFC3339))
	case r.Phase == RollingBack:
		return r, nil
	}
	return r.startRollback(now, Reason{Code: CodeOperator, Text: "undone by " + author}, false), nil
}

// startRollback returns the state in which the new version gets no new work.
func (r Rollout) startRollback(now time.Time, cause Reason, bad bool) Rollout {
	r.Phase, r.Share, r.Cause, r.Bad, r.StepStarted = RollingBack, 0, cause, bad, now
	r.Baseline = nil
	if bad {
		r.BadVersions = slices.Clone(r.BadVersions)
		r.BadVersions = slices.DeleteFunc(r.BadVersions, func(v BadVersion) bool { return v.Version == r.To })
		r.BadVersions = append(r.BadVersions, BadVersion{Version: r.To, Time: now, Reason: cause})
	}
	return r
}
