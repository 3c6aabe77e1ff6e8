package rollout

import (
	"fmt"
	"math"
	"time"
)

// Limits of the amount of evidence that a step needs.
const (
	// detect is the failure rate that a step has to be able to find in each route
	// and class before it may end early.
	detect  = 0.15
	minNeed = 60
	// floorAll and floorRoute are the least numbers of runs, over all and for one
	// route and class, with which a step may end once its time is used up.
	floorAll   = 30
	floorRoute = 8
	// badRate is the rate of failed answers from which a version is bad by itself.
	badRate = 0.2
	// suspectPart is the part of the threshold at which a step no longer ends early.
	suspectPart = 0.6
)

// Step decides how a rollout goes on. It is a function of its arguments only, so
// every leader decides the same on the same state and evidence. The caller
// stores Decision.Rollout when Changed is set and calls Step again with counts of
// the new step.
func Step(now time.Time, r Rollout, e Evidence) Decision {
	d := Decision{Rollout: r, Remaining: max(0, r.Deadline.Sub(now)), KeepOld: true}
	switch r.Phase {
	case Done, Undone:
		d.KeepOld = r.Phase == Undone
		d.Reasons = []Reason{r.Cause}
	case Undoing:
		d.undo(now, e)
	default:
		d.run(now, &e)
	}
	return d
}

func (d *Decision) undo(now time.Time, e Evidence) {
	r := &d.Rollout
	d.Forecast = now.Add(minUndo)
	d.Reasons = []Reason{r.Cause}
	if !e.UndoInForce {
		code := CodeUndoPending
		if now.After(r.Deadline) {
			code = CodeLate
		}
		d.say(code, "share 0 decided %s ago, not yet in force on every node", now.Sub(r.StepStarted))
		return
	}
	r.Phase, r.Ended, d.Changed, d.Forecast = Undone, now, true, time.Time{}
	d.say(CodeInForce, "share 0 in force %s before the deadline", d.Remaining)
}

func (d *Decision) run(now time.Time, e *Evidence) {
	r := &d.Rollout
	last := r.Deadline.Add(-r.Rules.Undo)
	if e.Step != r.Step {
		*e = Evidence{
			Step: r.Step, Drained: e.Drained, OldReady: e.OldReady, NewReady: e.NewReady, UndoInForce: e.UndoInForce,
		}
	}
	v := judge(now, r, e)
	if v.excess >= 0 {
		cause := v.worst()
		d.change(r.undoing(now, cause, true), cause)
		return
	}
	passed := d.passed(now, last, e, &v)
	switch {
	case passed && r.Step == len(r.Rules.Steps)-1:
		d.finish(now)
	case passed && now.Before(last):
		d.advance(now, e)
	case now.Before(last):
	case e.OldReady == 0 && e.NewReady > 0 && r.Step > 0 && !d.has(CodeSuspect) && !d.has(CodeBothBad):
		// The old version cannot take the traffic back, and the new one has passed
		// at least one judgement.
		d.finish(now)
	default:
		cause := Reason{Code: CodeNoTime, Text: fmt.Sprintf(
			"step %d of %d has not passed with %s reserved for the undo", r.Step+1, len(r.Rules.Steps), r.Rules.Undo)}
		d.change(r.undoing(now, cause, false), cause)
	}
	d.forecast(now, last)
}

// passed tells whether the step may end, and says why not. A step ends early
// when its evidence would show a materially bad version; it ends at its part of
// the remaining time with less.
func (d *Decision) passed(now, last time.Time, e *Evidence, v *verdict) bool {
	r := &d.Rollout
	part := last.Sub(r.StepStarted) / time.Duration(len(r.Rules.Steps)-r.Step)
	age := now.Sub(r.StepStarted)
	used := age >= part
	if age < min(r.Rules.Soak, part) {
		d.say(CodeSoak, "%s of %s", age, min(r.Rules.Soak, part))
	}
	if v.group != nil && v.excess > -(1-suspectPart)*v.threshold {
		if reason := v.worst(); !used || r.Step == len(r.Rules.Steps)-1 {
			reason.Code = CodeSuspect
			d.Reasons = append(d.Reasons, reason)
		}
	}
	if e.NewReady == 0 {
		d.say(CodeNoNew, "%s has no ready upstream", r.To)
	}
	if e.OldReady == 0 {
		d.say(CodeNoOld, "%s has no ready upstream to take traffic back; the share stays at %.3g", r.From, r.Share)
	}
	d.amounts(now, e, used)
	return len(d.Reasons) == 0
}

// amounts says which counts are too low for the step to end.
func (d *Decision) amounts(now time.Time, e *Evidence, used bool) {
	r := &d.Rollout
	list := pairs(now, r, e, e.Total)
	type sum struct{ new, old, newBad, oldBad uint32 }
	routes := make(map[Key]*sum)
	var order []Key
	var all sum
	for i := range list {
		p := &list[i]
		k := Key{Route: p.key.Route, Class: p.key.Class}
		s, ok := routes[k]
		if !ok {
			s = new(sum)
			routes[k] = s
			order = append(order, k)
		}
		for _, s := range []*sum{s, &all} {
			s.new += p.new.Runs
			s.old += p.old.Runs
			s.newBad += p.new.Failures + p.new.Crashes + p.new.Cut
			s.oldBad += p.old.Failures + p.old.Crashes + p.old.Cut
		}
	}
	if all.new < floorAll {
		d.say(CodeEvidence, "%d of %d runs of %s", all.new, floorAll, r.To)
	}
	need := r.need(len(routes))
	for _, k := range order {
		s := routes[k]
		// A route with little traffic is judged on the share that it should get.
		fair := uint32(0.5 * r.Share * float64(s.new+s.old))
		want := min(floorRoute, fair)
		if !used {
			want = need
		}
		if s.new < want {
			d.say(CodeEvidence, "%d of %d runs of %s on route %q class %q", s.new, want, r.To, k.Route, k.Class)
		}
	}
	enough := all.new >= floorAll && all.old >= floorAll
	newRate, oldRate := rate(all.newBad, all.new), rate(all.oldBad, all.old)
	if enough && newRate >= badRate && oldRate >= badRate {
		d.Reasons = append(d.Reasons, Reason{
			Code: CodeBothBad, Text: "both versions fail; the share stays", Old: oldRate, New: newRate,
		})
	}
}

func rate(events, runs uint32) float64 { return float64(events) / float64(max(1, runs)) }

// need returns the runs of one route and class at which a version that fails
// detect of its answers, where the old one fails none, reaches the threshold.
func (r *Rollout) need(groups int) uint32 {
	share := tolerance * min(r.Share, 0.5)
	p := share / (share + 1 - min(r.Share, 0.5))
	threshold := math.Log(2*float64(len(r.Rules.Steps)*levels*max(1, groups)*len(metrics)*len(alternatives))) -
		math.Log(r.Rules.Alpha)
	return uint32(max(minNeed, math.Ceil(threshold/-math.Log(p)/detect)))
}

func (d *Decision) advance(now time.Time, e *Evidence) {
	next := d.Rollout
	next.Step++
	next.StepStarted, next.Share, next.Base = now, next.Rules.Steps[next.Step], nil
	for _, k := range e.Total.keys() {
		if k.Version == next.From && !k.Cold {
			next.Base = append(next.Base, BaseCell{Key: k, Counts: *e.Total[k]})
		}
	}
	d.change(next, Reason{Code: CodePassed, Text: fmt.Sprintf("share %.3g after %s at %.3g",
		next.Share, now.Sub(d.Rollout.StepStarted), d.Rollout.Share)})
}

func (d *Decision) finish(now time.Time) {
	next := d.Rollout
	next.Phase, next.Share, next.Ended, next.Base = Done, 1, now, nil
	next.Cause = Reason{Code: CodeFinished, Text: fmt.Sprintf("%s serves all traffic, %s before the deadline",
		next.To, d.Remaining)}
	d.change(next, next.Cause)
	d.KeepOld = false
}

func (d *Decision) change(next Rollout, why Reason) {
	d.Rollout, d.Changed = next, true
	d.Reasons = append(d.Reasons, why)
}

func (d *Decision) say(code Code, format string, args ...any) {
	d.Reasons = append(d.Reasons, Reason{Code: code, Text: fmt.Sprintf(format, args...)})
}

func (d *Decision) has(code Code) bool {
	for _, r := range d.Reasons {
		if r.Code == code {
			return true
		}
	}
	return false
}

// forecast assumes that the remaining steps take as long as the longer of the
// soak and the present step, and no longer than the time left.
func (d *Decision) forecast(now, last time.Time) {
	r := &d.Rollout
	switch r.Phase {
	case Done, Undone:
		d.Forecast = time.Time{}
	case Undoing:
		d.Forecast = now.Add(minUndo)
	default:
		each := max(r.Rules.Soak, now.Sub(r.StepStarted))
		left := time.Duration(len(r.Rules.Steps)-1-r.Step) * each
		if rest := r.Rules.Soak - now.Sub(r.StepStarted); rest > 0 {
			left += rest
		}
		d.Forecast = now.Add(left)
		if d.Forecast.After(last) {
			d.Forecast = last
		}
	}
}
