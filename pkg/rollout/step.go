package rollout

import (
	"fmt"
	"math"
	"time"
)

// Sample sizes and rates that decide when a step may end.
const (
	// detectableFailureRate is the failure rate that a step must be able to detect in
	// each route and class before it may end early.
	detectableFailureRate = 0.15
	// minRequiredRequests is the least number of requests of the new version in each
	// route and class with which a step may end early.
	minRequiredRequests = 60
	// minTotalRequests and minRouteRequests are the minimum numbers of requests, in
	// total and per route and class, with which a step may end after its time budget.
	minTotalRequests = 30
	minRouteRequests = 8
	// badFailureRate is the failure rate from which a version counts as bad without
	// a comparison.
	badFailureRate = 0.2
	// suspectFraction is the fraction of the threshold from which evidence against the
	// new version keeps a step from ending early, and the last step from ending at all.
	suspectFraction = 0.6
)

// Step decides whether a rollout advances, waits, ends or is rolled back. The result
// depends only on the arguments, so every leader makes the same decision from the
// same state and evidence. The caller stores Decision.Rollout when Changed is set and
// then calls Step with counts of the new step.
func Step(now time.Time, r Rollout, e Evidence) Decision {
	d := Decision{Rollout: r, Remaining: max(0, r.Deadline.Sub(now)), KeepOld: true}
	switch r.Phase {
	case Done, RolledBack:
		d.KeepOld = r.Phase == RolledBack
		d.Reasons = []Reason{r.Cause}
	case RollingBack:
		d.stepRollingBack(now, e)
	default:
		d.stepRunning(now, &e)
	}
	return d
}

func (d *Decision) stepRollingBack(now time.Time, e Evidence) {
	r := &d.Rollout
	d.Forecast = now.Add(minRollbackReserve)
	d.Reasons = []Reason{r.Cause}
	if !e.RollbackInForce {
		code := CodeRollbackPending
		if now.After(r.Deadline) {
			code = CodeDeadlinePassed
		}
		d.addReason(code, "share 0 decided %s ago, not yet in force on every node", now.Sub(r.StepStarted))
		return
	}
	r.Phase, r.Ended, d.Changed, d.Forecast = RolledBack, now, true, time.Time{}
	d.addReason(CodeRollbackInForce, "share 0 in force %s before the deadline", d.Remaining)
}

func (d *Decision) stepRunning(now time.Time, e *Evidence) {
	r := &d.Rollout
	rollbackDeadline := r.Deadline.Add(-r.Rules.RollbackReserve)
	if e.Step != r.Step { // ignore counts of another step
		*e = Evidence{
			Step: r.Step, DrainedDomains: e.DrainedDomains, OldReady: e.OldReady, NewReady: e.NewReady,
			RollbackInForce: e.RollbackInForce,
		}
	}
	result := judge(now, r, e)
	if result.excess >= 0 {
		cause := result.strongestReason()
		d.changeTo(r.startRollback(now, cause, true), cause)
		return
	}
	passed := d.stepPassed(now, rollbackDeadline, e, &result)
	switch {
	case passed && r.Step == len(r.Rules.Steps)-1:
		d.finish(now)
	case passed && now.Before(rollbackDeadline):
		d.advance(now, e)
	case now.Before(rollbackDeadline):
	case e.OldReady == 0 && e.NewReady > 0 && r.Step > 0 && !d.hasReason(CodeSuspect) && !d.hasReason(CodeBothBad):
		// The old version cannot take the traffic back, and the new one has passed
		// at least one step.
		d.finish(now)
	default:
		cause := Reason{Code: CodeNoTimeLeft, Text: fmt.Sprintf(
			"step %d of %d has not passed with %s reserved for the undo", r.Step+1, len(r.Rules.Steps), r.Rules.RollbackReserve)}
		d.changeTo(r.startRollback(now, cause, false), cause)
	}
	d.forecast(now, rollbackDeadline)
}

// stepPassed reports whether the step may end, and adds a reason for each condition
// that is not met. A step's time budget is its equal part of the time from its start to
// the rollback deadline. Before the budget is used up, a step needs enough requests to
// detect a bad version; after that, a smaller sample suffices.
func (d *Decision) stepPassed(now, rollbackDeadline time.Time, e *Evidence, result *verdict) bool {
	r := &d.Rollout
	timeBudget := rollbackDeadline.Sub(r.StepStarted) / time.Duration(len(r.Rules.Steps)-r.Step)
	elapsed := now.Sub(r.StepStarted)
	budgetUsed := elapsed >= timeBudget
	if elapsed < min(r.Rules.Soak, timeBudget) {
		d.addReason(CodeSoak, "%s of %s", elapsed, min(r.Rules.Soak, timeBudget))
	}
	if result.group != nil && result.excess > -(1-suspectFraction)*result.threshold {
		if reason := result.strongestReason(); !budgetUsed || r.Step == len(r.Rules.Steps)-1 {
			reason.Code = CodeSuspect
			d.Reasons = append(d.Reasons, reason)
		}
	}
	if e.NewReady == 0 {
		d.addReason(CodeNoNewUpstream, "%s has no ready upstream", r.To)
	}
	if e.OldReady == 0 {
		d.addReason(CodeNoOldUpstream, "%s has no ready upstream to take traffic back; the share stays at %.3g", r.From, r.Share)
	}
	d.checkSampleSizes(now, e, budgetUsed)
	return len(d.Reasons) == 0
}

// checkSampleSizes adds a reason for each sample that is too small for the step to
// end, and one if both versions are bad.
func (d *Decision) checkSampleSizes(now time.Time, e *Evidence, budgetUsed bool) {
	r := &d.Rollout
	strata := stratify(now, r, e, e.Total)
	type sum struct{ new, old, newBad, oldBad uint32 }
	routes := make(map[Key]*sum)
	var order []Key
	var total sum
	for i := range strata {
		st := &strata[i]
		k := Key{Route: st.key.Route, Class: st.key.Class}
		s, ok := routes[k]
		if !ok {
			s = new(sum)
			routes[k] = s
			order = append(order, k)
		}
		for _, target := range []*sum{s, &total} {
			target.new += st.new.Requests
			target.old += st.old.Requests
			target.newBad += st.new.Failures + st.new.Crashes + st.new.Truncated
			target.oldBad += st.old.Failures + st.old.Crashes + st.old.Truncated
		}
	}
	if total.new < minTotalRequests {
		d.addReason(CodeMoreEvidence, "%d of %d runs of %s", total.new, minTotalRequests, r.To)
	}
	earlyRequired := r.requiredRequests(len(routes))
	for _, k := range order {
		s := routes[k]
		// A route with little traffic needs only half of the requests that its share
		// would give to the new version.
		expected := uint32(0.5 * r.Share * float64(s.new+s.old))
		required := min(minRouteRequests, expected)
		if !budgetUsed {
			required = earlyRequired
		}
		if s.new < required {
			d.addReason(CodeMoreEvidence, "%d of %d runs of %s on route %q class %q", s.new, required, r.To, k.Route, k.Class)
		}
	}
	enough := total.new >= minTotalRequests && total.old >= minTotalRequests
	newRate, oldRate := rate(total.newBad, total.new), rate(total.oldBad, total.old)
	if enough && newRate >= badFailureRate && oldRate >= badFailureRate {
		d.Reasons = append(d.Reasons, Reason{
			Code: CodeBothBad, Text: "both versions fail; the share stays", OldRate: oldRate, NewRate: newRate,
		})
	}
}

func rate(events, runs uint32) float64 { return float64(events) / float64(max(1, runs)) }

// requiredRequests returns the number of requests of one route and class after which a
// version with a failure rate of detectableFailureRate reaches the threshold if the old
// version has no failures.
func (r *Rollout) requiredRequests(groups int) uint32 {
	share := tolerance * min(r.Share, 0.5)
	p := share / (share + 1 - min(r.Share, 0.5))
	threshold := math.Log(2*float64(len(r.Rules.Steps)*numLevels*max(1, groups)*len(metrics)*len(alternatives))) -
		math.Log(r.Rules.Alpha)
	return uint32(max(minRequiredRequests, math.Ceil(threshold/-math.Log(p)/detectableFailureRate)))
}

func (d *Decision) advance(now time.Time, e *Evidence) {
	next := d.Rollout
	next.Step++
	next.StepStarted, next.Share, next.Baseline = now, next.Rules.Steps[next.Step], nil
	for _, k := range e.Total.sortedKeys() {
		if k.Version == next.From && !k.Cold {
			next.Baseline = append(next.Baseline, BaselineEntry{Key: k, Counts: *e.Total[k]})
		}
	}
	d.changeTo(next, Reason{Code: CodeStepPassed, Text: fmt.Sprintf("share %.3g after %s at %.3g",
		next.Share, now.Sub(d.Rollout.StepStarted), d.Rollout.Share)})
}

func (d *Decision) finish(now time.Time) {
	next := d.Rollout
	next.Phase, next.Share, next.Ended, next.Baseline = Done, 1, now, nil
	next.Cause = Reason{Code: CodeFinished, Text: fmt.Sprintf("%s serves all traffic, %s before the deadline",
		next.To, d.Remaining)}
	d.changeTo(next, next.Cause)
	d.KeepOld = false
}

func (d *Decision) changeTo(next Rollout, reason Reason) {
	d.Rollout, d.Changed = next, true
	d.Reasons = append(d.Reasons, reason)
}

func (d *Decision) addReason(code Code, format string, args ...any) {
	d.Reasons = append(d.Reasons, Reason{Code: code, Text: fmt.Sprintf(format, args...)})
}

func (d *Decision) hasReason(code Code) bool {
	for _, r := range d.Reasons {
		if r.Code == code {
			return true
		}
	}
	return false
}

// forecast estimates the end time. It assumes that each remaining step takes as long
// as the soak time or the current step so far, whichever is longer, and that the
// rollout ends before the time reserved for a rollback.
func (d *Decision) forecast(now, rollbackDeadline time.Time) {
	r := &d.Rollout
	switch r.Phase {
	case Done, RolledBack:
		d.Forecast = time.Time{}
	case RollingBack:
		d.Forecast = now.Add(minRollbackReserve)
	default:
		stepDuration := max(r.Rules.Soak, now.Sub(r.StepStarted))
		remaining := time.Duration(len(r.Rules.Steps)-1-r.Step) * stepDuration
		if soakLeft := r.Rules.Soak - now.Sub(r.StepStarted); soakLeft > 0 {
			remaining += soakLeft
		}
		d.Forecast = now.Add(remaining)
		if d.Forecast.After(rollbackDeadline) {
			d.Forecast = rollbackDeadline
		}
	}
}
