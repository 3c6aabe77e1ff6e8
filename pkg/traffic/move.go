package traffic

import "time"

// Parameters of a move to a new version.
const (
	// canaryExposureShare is the part of the allowed exposure that the new version gets until it
	// is judged; the rest is for the time in which a fault shows under full load.
	canaryExposureShare = 0.6
	// canaryTimeShare is the part of a move's time in which the new version gets the canary
	// share only.
	canaryTimeShare = 0.55
	// finishMargin is how long before the deadline the move is declared done: the order
	// has to be recorded and read back by then.
	finishMargin = 800 * time.Millisecond
	// minFailures is the number of failures from which on they count as evidence.
	minFailures = 3
	// failureRateMargin is how much higher the failure rate of a bad version is.
	failureRateMargin = 0.08
	// minTimedAnswers is the number of answers whose mean time is compared, and slowFactor
	// how many times slower a bad version answers. Equal versions differ by less than
	// half between cold and warm upstreams.
	minTimedAnswers = 6
	slownessFactor  = 2.5
	// minSlowDuration keeps differences of short answers from counting.
	minSlowDuration = 60 * time.Millisecond
)

// Outcomes counts the answers of one version on one route since a move began.
type Outcomes struct {
	Route    string
	Requests int `json:"Sent"`
	Failures int `json:"Bad"`
	// TotalDuration is the sum of the times to the answers, or first events, that were good.
	TotalDuration time.Duration `json:"Took"`
}

// MoveState is a running move as its judge sees it.
type MoveState struct {
	Started, Deadline time.Time
	// Share is the share of the new version at present.
	Share float64
	// MaxExposure is the largest share of all requests that a bad version may get.
	MaxExposure float64
	// HasUpstreams is true once the new version has upstreams.
	HasUpstreams bool
	// NewVersion and OldVersions are the outcomes of the new and of the earlier versions.
	NewVersion, OldVersions []Outcomes
}

// MoveStep is what to do with a move now.
type MoveStep struct {
	Share float64
	Done  bool
	// UndoReason is the reason to take the move back; empty otherwise.
	UndoReason string
}

// Step decides on a move. A good version gets a canary share, then all requests, and
// is done before the deadline; a bad one is taken back as soon as the evidence shows.
func (m MoveState) Step(now time.Time) MoveStep {
	if cause := m.undoReason(); cause != "" {
		return MoveStep{UndoReason: cause}
	}
	finish := m.Deadline.Add(-finishMargin)
	switch {
	case !now.Before(finish) && m.Share >= 1 && m.HasUpstreams:
		return MoveStep{Share: 1, Done: true}
	case !now.Before(finish):
		return MoveStep{UndoReason: "the new version did not get all requests in time"}
	case !m.HasUpstreams:
		return MoveStep{Share: m.MaxExposure * canaryExposureShare}
	case m.Share >= 1, now.Sub(m.Started) >= time.Duration(canaryTimeShare*float64(m.Deadline.Sub(m.Started))):
		return MoveStep{Share: 1}
	}
	return MoveStep{Share: m.MaxExposure * canaryExposureShare}
}

// undoReason returns what shows that the new version is bad.
func (m MoveState) undoReason() string {
	newTotal, oldTotal := totalOutcomes(m.NewVersion), totalOutcomes(m.OldVersions)
	if failsMore(newTotal, oldTotal) {
		return "the new version fails more often"
	}
	for _, newer := range m.NewVersion {
		for _, older := range m.OldVersions {
			if newer.Route != older.Route {
				continue
			}
			if failsMore(newer, older) {
				return "the new version fails more often on route " + newer.Route
			}
			if isSlower(newer, older) {
				return "the new version is slower on route " + newer.Route
			}
		}
	}
	return ""
}

func totalOutcomes(list []Outcomes) Outcomes {
	var s Outcomes
	for _, o := range list {
		s.Requests, s.Failures, s.TotalDuration = s.Requests+o.Requests, s.Failures+o.Failures, s.TotalDuration+o.TotalDuration
	}
	return s
}

func (o Outcomes) failureRate() float64 { return float64(o.Failures) / float64(max(1, o.Requests)) }

func failsMore(newer, older Outcomes) bool {
	return newer.Failures >= minFailures && newer.failureRate() > 2*older.failureRate()+failureRateMargin
}

func isSlower(newer, older Outcomes) bool {
	if newer.Requests-newer.Failures < minTimedAnswers || older.Requests-older.Failures < minTimedAnswers {
		return false
	}
	newMean, oldMean := newer.TotalDuration/time.Duration(newer.Requests-newer.Failures), older.TotalDuration/time.Duration(older.Requests-older.Failures)
	return newMean > minSlowDuration && float64(newMean) > slownessFactor*float64(oldMean)
}
