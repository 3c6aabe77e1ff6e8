package traffic

import "time"

// Parameters of a move of traffic to a new version of a service.
const (
	// canaryExposureShare is the fraction of MoveState.MaxExposure that the new version
	// gets as a canary, while it is judged before it gets all requests. The rest is
	// reserved for a version that fails only under full load: it gets all requests
	// until the fault is detected.
	canaryExposureShare = 0.6
	// canaryTimeShare is the fraction of the move's time in which the new version gets
	// only the canary share.
	canaryTimeShare = 0.55
	// finishMargin is how long before the deadline the move is declared done. The
	// decision must be recorded and read back by then.
	finishMargin = 800 * time.Millisecond
	// minFailures is the number of failures below which a version is not judged by its
	// failure rate.
	minFailures = 3
	// failureRateMargin is how far the failure rate of a bad version exceeds twice that
	// of the old versions.
	failureRateMargin = 0.08
	// minTimedResponses is the number of successful responses that both versions need
	// before their mean durations are compared.
	minTimedResponses = 6
	// slownessFactor is the ratio of mean durations above which a version is bad. The
	// means of equal versions differ by less than half between cold and warm upstreams.
	slownessFactor = 2.5
	// minSlowDuration is the mean duration up to which a version is never too slow, so
	// that differences between short responses don't count.
	minSlowDuration = 60 * time.Millisecond
)

// Outcomes counts the responses of one version on one route since the move started.
// The log contains it as JSON; the tags keep its field names there.
type Outcomes struct {
	Route    string
	Requests int `json:"Sent"`
	Failures int `json:"Bad"`
	// TotalDuration is the sum of the times to the successful responses, or to the first
	// events of streams.
	TotalDuration time.Duration `json:"Took"`
}

// MoveState is the state of a running move from which Step decides.
type MoveState struct {
	Started, Deadline time.Time
	// Share is the current share of the new version.
	Share float64
	// MaxExposure is the largest share of all requests that a bad version may get.
	MaxExposure float64
	// HasUpstreams is true when the new version has upstreams.
	HasUpstreams bool
	// NewVersion and OldVersions are the outcomes of the new and of the old versions.
	NewVersion, OldVersions []Outcomes
}

// MoveStep is the next step of a move.
type MoveStep struct {
	Share float64
	Done  bool
	// UndoReason is why the move must be undone; empty if it continues or is done.
	UndoReason string
}

// Step returns the next step of the move. A good version gets a canary share, then all
// requests, and the move is done before the deadline. A move to a bad version is undone
// as soon as the outcomes show the fault.
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

// undoReason returns the fault of the new version that the outcomes show, or an empty
// string if they show none.
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
	if newer.Requests-newer.Failures < minTimedResponses || older.Requests-older.Failures < minTimedResponses {
		return false
	}
	newMean, oldMean := newer.TotalDuration/time.Duration(newer.Requests-newer.Failures), older.TotalDuration/time.Duration(older.Requests-older.Failures)
	return newMean > minSlowDuration && float64(newMean) > slownessFactor*float64(oldMean)
}
