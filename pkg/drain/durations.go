package drain

import "time"

const (
	// generation is the time after which the present durations become the earlier ones, and
	// those before are forgotten.
	generation = 30 * time.Second
	// minSamples is the number of answers from which the longest tells something of the next
	// one, and manySamples that from which the next one is hardly ever much longer.
	minSamples  = 20
	manySamples = 200
)

// Kind names the requests whose answers take a similar time.
type Kind struct {
	Service string
	// Route names the kind of request within the service; empty for any.
	Route string
	// Size is the bit length of the maximum number of output tokens; zero for a request
	// that names none.
	Size int
}

// Estimate is what the recent answers to requests of a kind took.
type Estimate struct {
	Mean, Longest time.Duration
	// Count is the number of answers that this rests on.
	Count int
	// Known is false if there were too few answers to tell.
	Known bool
}

// Durations holds how long recent answers took, by kind.
type Durations struct {
	// started is when the present generation started.
	started          time.Time
	present, earlier map[Kind]summary
}

// summary sums up the durations of one generation.
type summary struct {
	count   int
	total   time.Duration
	longest time.Duration
}

// NewDurations returns durations without any answer.
func NewDurations() *Durations { return &Durations{present: make(map[Kind]summary)} }

// Record records how long an answer took that was complete at a time.
func (d *Durations) Record(now time.Time, kind Kind, took time.Duration) {
	d.advance(now)
	d.add(kind, took)
	if kind.Route != "" {
		d.add(kind.anyRoute(), took)
	}
}

// RecordUnfinished records that an answer was not complete after a time. It may raise the longest
// duration of its kind, but says nothing of what answers usually take.
func (d *Durations) RecordUnfinished(now time.Time, kind Kind, after time.Duration) {
	d.advance(now)
	for _, k := range []Kind{kind, kind.anyRoute()} {
		s := d.present[k]
		s.longest = max(s.longest, after)
		d.present[k] = s
	}
}

func (d *Durations) add(kind Kind, took time.Duration) {
	s := d.present[kind]
	s.count, s.total, s.longest = s.count+1, s.total+took, max(s.longest, took)
	d.present[kind] = s
}

// anyRoute returns the kind of requests of any route.
func (k Kind) anyRoute() Kind {
	k.Route = ""
	return k
}

// Estimate returns what answers to requests of a kind took in the last one or two generations.
// A route that has had few answers is expected to take as long as the others of its service.
func (d *Durations) Estimate(now time.Time, kind Kind) Estimate {
	d.advance(now)
	if e := d.estimate(kind); e.Known || kind.Route == "" {
		return e
	}
	return d.estimate(kind.anyRoute())
}

func (d *Durations) estimate(kind Kind) Estimate {
	a, b := d.present[kind], d.earlier[kind]
	count := a.count + b.count
	if count < minSamples {
		return Estimate{}
	}
	return Estimate{Mean: (a.total + b.total) / time.Duration(count), Longest: max(a.longest, b.longest), Count: count, Known: true}
}

// advance starts a new generation when the present one is over.
func (d *Durations) advance(now time.Time) {
	switch age := now.Sub(d.started); {
	case age < generation:
		return
	case age < 2*generation:
		d.earlier = d.present
	default:
		d.earlier = nil
	}
	d.present, d.started = make(map[Kind]summary), now
}
