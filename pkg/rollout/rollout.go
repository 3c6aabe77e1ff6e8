package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Rules configures the rollouts of a service.
type Rules struct {
	// Steps lists the new version's traffic shares in increasing order, in (0, 1].
	Steps []float64 `json:"steps"`
	// Canary is the maximum share of the first step. The cap holds until the new
	// version has been judged for the first time.
	Canary float64 `json:"canary"`
	// RollbackReserve is the time before the deadline that is reserved for a rollback.
	RollbackReserve time.Duration `json:"undo"`
	// Soak is the minimum duration of a step; zero means 60 s.
	Soak time.Duration `json:"soak"`
	// Alpha bounds the false alarm rate: the probability that a rollout judges a
	// version bad that is no worse than the old one; zero means 0.005.
	Alpha float64 `json:"alpha"`
	// Warmup is how long an upstream counts as cold after it starts; zero means
	// 60 s.
	Warmup time.Duration `json:"warmup"`
}

// Phase is the lifecycle state of a rollout.
type Phase string

// Phases. Done and RolledBack are final.
const (
	Running Phase = "running"
	// RollingBack means that the new version's share is zero, but not every node
	// applies it yet.
	RollingBack Phase = "undoing"
	Done        Phase = "done"
	RolledBack  Phase = "undone"
)

// BadVersion records a version that was judged bad.
type BadVersion struct {
	Version string    `json:"version"`
	Time    time.Time `json:"time"`
	Reason  Reason    `json:"reason"`
}

// Rollout is the replicated state of a service's latest rollout. A new leader
// continues it from these fields and the evidence that nodes report to it.
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
	// Step is an index into Rules.Steps. Nodes count the outcomes of each step
	// separately.
	Step        int       `json:"step"`
	StepStarted time.Time `json:"stepStarted"`
	// Share is the fraction of the traffic of all nodes that To may receive.
	Share float64 `json:"share"`
	// Bad is true once To was judged bad; all its permits are revoked.
	Bad bool `json:"bad"`
	// Cause explains the start of the rollout or why it left the Running phase.
	Cause Reason `json:"cause"`
	// Baseline holds the old version's counts of the previous step, because in the
	// last step the old version serves little traffic to compare with.
	Baseline []BaselineEntry `json:"base,omitempty"`
	// BadVersions lists the versions judged bad in all rollouts of the service.
	BadVersions []BadVersion `json:"remembered,omitempty"`
}

// BaselineEntry is one element of Rollout.Baseline.
type BaselineEntry struct {
	Key    Key    `json:"key"`
	Counts Counts `json:"counts"`
}

// Code identifies the kind of a Reason.
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
	// The fields below are set when versions were compared. An empty name means
	// that the comparison covers all values of that field.
	Metric string `json:"metric,omitempty"`
	Route  string `json:"route,omitempty"`
	Class  string `json:"class,omitempty"`
	Domain string `json:"domain,omitempty"`
	// OldRate and NewRate are the compared rates, in [0, 1].
	OldRate float64 `json:"old,omitempty"`
	NewRate float64 `json:"new,omitempty"`
	// LogLikelihoodRatio is the logarithm of the test's likelihood ratio: the evidence
	// against the hypothesis that the new version is no worse than the old one. The new
	// version is judged bad if it reaches Threshold, which depends on the part of Alpha
	// that is assigned to the test.
	LogLikelihoodRatio float64 `json:"evidence,omitempty"`
	Threshold          float64 `json:"threshold,omitempty"`
}

// Decision is the result of one call of Step.
type Decision struct {
	// Rollout is the state to store when Changed is true.
	Rollout Rollout
	Changed bool
	Reasons []Reason
	// Forecast is the expected end time; it is zero once the rollout has ended.
	Forecast time.Time
	// Remaining is the time left until the deadline, at least zero.
	Remaining time.Duration
	// KeepOld is true while the old version's upstreams are still needed.
	KeepOld bool
}

// Errors of Start and Rollback.
var (
	ErrRunning    = errors.New("a rollout of this service is running")
	ErrBadVersion = errors.New("this version was judged bad before; start it with force to try again")
	ErrRules      = errors.New("the rollout rules cannot be followed")
	ErrEnded      = errors.New("the rollout has ended")
)

// Request holds the arguments of Start.
type Request struct {
	ID       string
	Service  string
	From     string
	To       string
	Deadline time.Time
	Rules    Rules
	// Force allows a version that an earlier rollout judged bad.
	Force bool
}

// holdback is the fraction of the traffic that the old version keeps in the last
// step, so that both versions can be compared under the same conditions until the
// rollout ends.
const holdback = 0.1

// minRollbackReserve covers the commit of the rollback, the 2.1 s after which a
// partitioned node stops admitting requests, and a leader election.
const minRollbackReserve = 10 * time.Second

// Start returns the initial state of a rollout. previous is the service's latest
// rollout, or nil. Start returns an error if a rollout is running, if the version
// was judged bad before and q.Force is not set, if the rules are invalid, or if the
// deadline is too close for the steps and the rollback reserve.
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

// planSteps returns the share of each step. The first is at most the canary share,
// the last is 1-holdback.
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

// Final reports whether a rollout in this phase has ended.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// Rollback starts a rollback at an operator's request. It returns ErrEnded if the
// rollout has ended, and changes nothing if a rollback is in progress. If the request
// races with the end of the rollout, whichever is committed first takes effect.
func Rollback(now time.Time, r Rollout, author string) (Rollout, error) {
	switch {
	case r.Phase.Final():
		return r, fmt.Errorf("%w as %s at %s", ErrEnded, r.Phase, r.Ended.Format(time.RFC3339))
	case r.Phase == RollingBack:
		return r, nil
	}
	return r.startRollback(now, Reason{Code: CodeOperator, Text: "undone by " + author}, false), nil
}

// startRollback returns the state in which the new version gets no new requests. It
// records the new version as bad when bad is set.
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
