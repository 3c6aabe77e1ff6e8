package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/fleet"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	fleetInterval = 500 * time.Millisecond
	// fleetWarmup is how long a process listens to statuses before it orders anything:
	// each upstream has reported several times by then.
	fleetWarmup = 5 * time.Second
	// runningAge is the age up to which a status shows a running upstream.
	runningAge = 4 * time.Second
	// startAge is the age after which a cold upstream is not one that has just started;
	// they are cold for a few seconds.
	startAge = 15 * time.Second
)

// ErrNoneLeft means that the platform has none of the ordered upstreams at present.
var ErrNoneLeft = errors.New("the platform has none left")

// Order asks the platform for a number of upstreams of one offer.
type Order struct {
	Service string
	Domain  string
	// Reclaimable upstreams are cheaper and may be taken away at short notice.
	Reclaimable bool
	Count       int
}

// provider orders upstreams while this voter leads.
type provider struct {
	c       *Control
	started time.Time
	term    uint64
	tenure  tenure
	mem     map[string]*fleet.CountMemory // by service
}

func (p *provider) run(ctx context.Context, now time.Time) {
	term, leads := p.c.State.Leading()
	view, valid := p.c.State.View(now)
	if p.started.IsZero() {
		p.started = now
	}
	if !leads || !valid || !p.c.Scales || view.Plan == nil || now.Sub(p.started) < fleetWarmup {
		return
	}
	if p.term != term {
		p.term, p.mem = term, make(map[string]*fleet.CountMemory)
	}
	if !p.tenure.lasts(now, term, p.c.Tenure) {
		return
	}
	for i := range view.Plan.Services {
		if s := &view.Plan.Services[i]; s.Scaling != nil {
			p.service(ctx, now, term, view, s)
		}
	}
}

func (p *provider) service(ctx context.Context, now time.Time, term uint64, view *config.View, s *traffic.Service) {
	if move, ok := view.Moves[s.Name]; ok && move.Phase == config.MoveRunning {
		return // both versions run; what they need shows after the move
	}
	running, warm := p.running(now, s.Name)
	total := 0
	for _, n := range running {
		total += n
	}
	if total == 0 {
		return
	}
	nominal, known := view.Fleets[s.Name]
	if !known {
		p.record(ctx, s.Name, config.Fleet{Nominal: total})
		return
	}
	in := fleet.CountInputs{Nominal: nominal.Nominal, Least: s.Scaling.Min, Most: s.Scaling.Max, Spot: s.Scaling.SpotPriceRatio, Running: running, Warm: warm}
	for name, price := range s.Scaling.Prices {
		_, drained := view.DrainedDomains[name]
		in.Domains = append(in.Domains, fleet.CountDomain{Name: name, Price: price, Drained: drained})
	}
	slices.SortFunc(in.Domains, func(a, b fleet.CountDomain) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	mem := p.mem[s.Name]
	if mem == nil {
		mem = &fleet.CountMemory{}
		p.mem[s.Name] = mem
	}
	for _, o := range fleet.Counts(now, in, mem) {
		p.order(ctx, now, term, s.Name, running, o, mem)
	}
}

// running counts the upstreams of a service that are ready, by offer, and those of
// them that bear full load. One that turns cold later, when its domain comes back,
// is warm again before a replacement would be.
func (p *provider) running(now time.Time, service string) (running, warm map[fleet.CountKey]int) {
	running, warm = make(map[fleet.CountKey]int), make(map[fleet.CountKey]int)
	for _, e := range p.c.roster.List() {
		if e.Service != service || e.Leaving || e.Gone || now.Sub(e.Seen) >= runningAge {
			continue
		}
		key := fleet.CountKey{Domain: e.Domain, Reclaimable: e.Spot}
		running[key]++
		cold := now.Sub(e.Seen).Milliseconds() < int64(e.Cold)
		if !cold || now.UnixMilli()-int64(e.Born) > startAge.Milliseconds() {
			warm[key]++
		}
	}
	return running, warm
}

// record stores the size that the operator provided, once.
func (p *provider) record(ctx context.Context, service string, f config.Fleet) {
	value, err := json.Marshal(f)
	if err != nil {
		p.c.Log.WithError(err).Error("size of a fleet cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	_, err = p.c.State.Change(ctx, wire.Change{Author: p.c.Self, Items: []wire.Item{{Key: config.PrefixFleet + service, Value: value}}})
	event.With(p.c.Log, event.FleetRecorded).WithFields(logrus.Fields{"service": service, "nominal": f.Nominal}).WithError(err).Info("nominal size of a fleet recorded")
}

func (p *provider) order(ctx context.Context, now time.Time, term uint64, service string, running map[fleet.CountKey]int, o fleet.CountOrder, mem *fleet.CountMemory) {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	err := p.c.Platform.Scale(ctx, term, Order{Service: service, Domain: o.Domain, Reclaimable: o.Reclaimable, Count: o.Count})
	event.With(p.c.Log, event.UpstreamsOrdered).WithFields(logrus.Fields{
		"service": service, "domain": o.Domain, "reclaimable": o.Reclaimable, "count": o.Count, "running": running[o.CountKey], "term": term,
	}).WithError(err).Info("upstreams ordered")
	if err != nil {
		mem.Refuse(now, o)
	}
}
