package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// reservedRoom is the fraction of a service's room that is kept for more urgent requests than
	// the least urgent ones: as much as the loss of one failure domain of four takes at once.
	reservedRoom = 0.25
	// minShedShare is the share of each kind's requests that is accepted however little room is
	// left: no kind may be served less than a quarter as often as all.
	minShedShare = 0.25
	// waitTargetShare is the share of its target for the first event that a request may wait at the
	// mean. Waits are about exponential: one in 20 is three times the mean, and the last quarter
	// is for reading the request's own prompt.
	waitTargetShare = 0.25
	// minShedLoad is the load for each slot below which nothing is refused: with half of the
	// slots free, a prompt finds an upstream that reads none.
	minShedLoad = 0.5
	// maxSizeFactor and sizeFactorSlope let small work through more often than large work; the
	// largest is accepted at least half as often as all of its kind.
	maxSizeFactor   = 1.3
	sizeFactorSlope = 0.6
)

// Room is what a node knows of the room of one service over all nodes.
type Room struct {
	// Slots is the number of requests that all upstreams run at once, and Load the number that
	// run or wait there.
	Slots, Load int
	// PromptWait is the mean time until upstreams have read the prompts that wait there, and Hold
	// the mean time for which a request holds its slot.
	PromptWait, Hold time.Duration
	// FirstTarget is the time in which the most urgent requests with prompts are due to begin;
	// zero if the service has none.
	FirstTarget time.Duration
}

// Wait returns the mean time that a new request waits for a slot and for the prompts before it.
func (r Room) Wait() time.Duration {
	waiting := max(0, float64(r.Load-r.Slots))
	return r.PromptWait + time.Duration(waiting/float64(max(1, r.Slots))*float64(r.Hold))
}

// Pressure returns the part of the room that is taken: 1 if new requests wait for as long as the
// most urgent ones can. Full slots alone are no harm, since they become free all the time.
func (r Room) Pressure() float64 {
	if r.Slots <= 0 || r.FirstTarget <= 0 || float64(r.Load) < minShedLoad*float64(r.Slots) {
		return 0
	}
	return float64(r.Wait()) / (waitTargetShare * float64(r.FirstTarget))
}

// ShedThreshold returns the pressure from which requests of a priority are refused. priorities
// lists those of the service's routes, as Priorities returns them. The most urgent ones are never refused for room that is
// left.
func ShedThreshold(priority int, priorities []int) float64 {
	rank := 0
	for rank < len(priorities) && priorities[rank] < priority {
		rank++
	}
	if rank == 0 || len(priorities) < 2 {
		return math.Inf(1)
	}
	return 1 - reservedRoom*float64(min(rank, len(priorities)-1))/float64(len(priorities)-1)
}

// ShedShare returns the share of the requests of a priority that is accepted at a pressure. work
// is the request's work relative to the mean of its kind.
func ShedShare(pressure float64, priority int, priorities []int, work float64) float64 {
	threshold := ShedThreshold(priority, priorities)
	if pressure <= threshold {
		return 1
	}
	band := reservedRoom / float64(len(priorities)-1)
	share := max(minShedShare, 1-(1-minShedShare)*(pressure-threshold)/band)
	return min(1, share*(maxSizeFactor-sizeFactorSlope*work/(work+1)))
}

// Priorities returns the distinct values of a list of priorities, most urgent first.
func Priorities(list []int) []int {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}
