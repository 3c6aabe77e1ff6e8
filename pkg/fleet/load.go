package fleet

import (
	"math"
	"time"
)

// Parameters of the forecast.
const (
	// slotShare is the share of the slots that open requests may take. Above it the steps of an
	// engine get longer, and a burst finds no free slot.
	slotShare = 0.5
	// readingShare is how long prompts that wait may keep an upstream from its streams, as a
	// share of the longest pause that their routes allow. Prompts come unevenly: with a mean of
	// a twentieth, few upstreams are kept for the whole pause.
	readingShare = 0.05
	// loadSmoothing averages out the load between the reports of entry nodes.
	loadSmoothing = time.Second
	// trendShare is the part of a rise that is expected to go on over the boot time: a rise in
	// steady daily traffic ends about as often within it.
	trendShare = 0.5
	// loadHold is how long a forecast holds, and loadDecay the time in which it then falls to a
	// third of the difference. Together they exceed the swings of daily traffic in seconds and
	// the pauses in it, so that the fleet does not follow each of them: an upstream that is
	// stopped and ordered again boots and starts cold. A twentieth less does not end the hold.
	loadHold      = 20 * time.Second
	loadDecay     = 20 * time.Second
	loadHoldShare = 0.95
	// lowSizeShare and highSizeShare bound the size by load relative to the operator's size.
	// The operator knows what the load report does not show, such as the peaks to come.
	lowSizeShare  = 0.75
	highSizeShare = 1.5
	// remainingShare is what remains of a fleet, relative to its size, when one of four failure
	// domains loses its reclaimable upstreams. This much must serve the load.
	remainingShare = reclaimableShare*3/4 + onDemandShare
	// upTolerance and downTolerance are the changes of the size, relative to the operator's, up
	// to which it is kept: each change is a call to the platform for each domain, and an
	// upstream that is missed a little later starts cold.
	upTolerance   = 0.05
	downTolerance = 0.15
)

// Load is the work that is open at the upstreams of a pool over all nodes. The zero value is
// that of a pool whose load is not known.
type Load struct {
	// Open is the number of open requests, and Slots how many one upstream runs at once.
	Open, Slots int
	// Reading is the time that one upstream would take to read the prompts that wait.
	Reading time.Duration
	// Pause is the longest pause that the routes allow a stream; zero without streams.
	Pause time.Duration
	// Upstreams is the number of upstreams that share the work; not zero if the load is known.
	Upstreams int
}

// needed returns the number of upstreams that the load needs.
func (l Load) needed() float64 {
	need := 0.0
	if l.Slots > 0 {
		need = float64(l.Open) / (slotShare * float64(l.Slots))
	}
	if l.Pause > 0 {
		need = max(need, float64(l.Reading)/(readingShare*float64(l.Pause)))
	}
	return need
}

// workForecast is the expected need for upstreams. It rises with the load and its trend over the
// boot time, and falls slowly.
type workForecast struct {
	at              time.Time
	smoothed, slope float64
	held            float64
	heldSince       time.Time // when the expected need was last about as high
	known           bool
}

// update takes in the present load and returns the number of upstreams that will be needed
// once an upstream that is ordered now serves. usual is the need that the present size is for.
func (f *workForecast) update(now time.Time, l Load, boot time.Duration, usual float64) float64 {
	need := l.needed()
	if !f.known {
		f.at, f.smoothed, f.held, f.heldSince, f.known = now, need, max(need, usual), now, true
		return f.held
	}
	elapsed := now.Sub(f.at)
	if elapsed <= 0 {
		return f.held
	}
	f.at = now
	weight := 1 - math.Exp(-elapsed.Seconds()/loadSmoothing.Seconds())
	before := f.smoothed
	f.smoothed += weight * (need - f.smoothed)
	trend := (f.smoothed - before) / elapsed.Seconds()
	f.slope += weight * (trend - f.slope) / 2
	expected := f.smoothed + trendShare*max(0, f.slope)*boot.Seconds()
	if expected >= loadHoldShare*f.held {
		f.held, f.heldSince = max(f.held, expected), now
	} else if now.Sub(f.heldSince) > loadHold {
		f.held = expected + (f.held-expected)*math.Exp(-elapsed.Seconds()/loadDecay.Seconds())
	}
	return f.held
}

// sizes are the sizes for which a fleet is planned.
type sizes struct {
	// reclaimable is the size that reclaimable upstreams follow, up and down.
	reclaimable int
	// covered is the size of which on-demand upstreams cover what a reclaim takes. It never
	// exceeds the operator's: beyond it more reclaimable upstreams take their part, at a
	// fraction of the price. Without reclaimable ones it follows the load too.
	covered int
}

// sizesByLoad returns the pool's sizes by its load: the operator's size if the load is not known.
func sizesByLoad(now time.Time, in CountInputs, memory *CountMemory) sizes {
	if in.Load.Upstreams == 0 {
		return sizes{in.Nominal, in.Nominal}
	}
	nominal := float64(in.Nominal)
	if memory.sizes == (sizes{}) {
		// A new leader knows the size of before by what runs.
		memory.sizes = sizes{max(in.Nominal, int(float64(in.runningReclaimable())/reclaimableShare)), in.Nominal}
	}
	need := memory.forecast.update(now, in.Load, in.BootTime, remainingShare*float64(memory.sizes.reclaimable))
	wanted := sizes{
		reclaimable: ceil(min(max(need/remainingShare, lowSizeShare*nominal), highSizeShare*nominal)),
		covered:     ceil(min(max(need, lowSizeShare*nominal), nominal)),
	}
	if !in.hasSpot() {
		wanted.covered = ceil(min(max(need/survivingShare, lowSizeShare*nominal), highSizeShare*nominal))
	}
	memory.sizes.reclaimable = step(memory.sizes.reclaimable, wanted.reclaimable, nominal)
	memory.sizes.covered = step(memory.sizes.covered, wanted.covered, nominal)
	return memory.sizes
}

// hasSpot reports whether reclaimable upstreams can be ordered.
func (in CountInputs) hasSpot() bool { return in.SpotPriceRatio > 0 && in.SpotPriceRatio < 1 }

func (in CountInputs) runningReclaimable() (n int) {
	for key, running := range in.Running {
		if key.Reclaimable {
			n += running
		}
	}
	return n
}

// step returns the size that follows last: it keeps it if the wanted one is close, and more so
// if it is less.
func step(last, wanted int, nominal float64) int {
	change := float64(wanted - last)
	if change > upTolerance*nominal || change < -downTolerance*nominal {
		return wanted
	}
	return last
}
