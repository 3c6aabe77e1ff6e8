package control

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/fleet"
	"github.com/jaystage/jaystage/pkg/traffic"
)

const (
	scalingInterval = 500 * time.Millisecond
	// scalingWarmup is how long a process collects statuses before its first order: each
	// upstream has reported several times by then.
	scalingWarmup = 5 * time.Second
	// maxStatusAge is the age at which a status no longer shows that its upstream runs.
	maxStatusAge = 4 * time.Second
	// coldStartTime is the age up to which a cold upstream counts as newly started; a start
	// leaves an upstream cold for a few seconds.
	coldStartTime = 15 * time.Second
)

// ErrNoCapacity is returned when the platform has none of the ordered upstreams
// available.
var ErrNoCapacity = errors.New("the platform has none left")

// Order is the requested number of upstreams of one offer, which is a failure domain and
// whether the upstreams are reclaimable, for one service.
type Order struct {
	Service string
	Domain  string
	// Reclaimable upstreams are cheaper, but the platform may reclaim them at short notice.
	Reclaimable bool
	Count       int
}

// scaler orders upstreams from the platform while this voter leads.
type scaler struct {
	c          *Control
	startedAt  time.Time
	term       uint64
	leadership leadership
	memories   map[string]*fleet.CountMemory // by service
}

func (s *scaler) run(ctx context.Context, now time.Time) {
	term, leads := s.c.State.Leading()
	view, valid := s.c.State.View(now)
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if !leads || !valid || !s.c.ScalingEnabled || s.c.Platform == nil || view.Plan == nil {
		return
	}
	if s.term != term {
		s.term, s.memories = term, make(map[string]*fleet.CountMemory)
	}
	// The time that this voter must lead and the time that its process collects statuses pass
	// together: until the first order all upstreams are paid on demand.
	led := s.leadership.heldFor(now, term, s.c.MinLeadTime)
	if !led || now.Sub(s.startedAt) < scalingWarmup {
		return
	}
	for i := range view.Plan.Services {
		if service := &view.Plan.Services[i]; service.Scaling != nil {
			s.scaleService(ctx, now, term, view, service)
		}
	}
}

func (s *scaler) scaleService(ctx context.Context, now time.Time, term uint64, view *config.View, service *traffic.Service) {
	if move, ok := view.Moves[service.Name]; ok && move.Phase == config.MoveRunning {
		return // both versions run; how many upstreams are needed shows only after the move
	}
	running, warm := s.running(now, service.Name)
	total := 0
	for _, n := range running {
		total += n
	}
	if total == 0 {
		return
	}
	fleetSize, known := view.Fleets[service.Name]
	if !known {
		s.recordNominalSize(ctx, view, service.Name, config.Fleet{NominalSize: total})
		return
	}
	inputs := fleet.CountInputs{
		Nominal: fleetSize.NominalSize, MinPerDomain: service.Scaling.Min, MaxPerDomain: service.Scaling.Max,
		SpotPriceRatio: service.Scaling.SpotPriceRatio, Running: running, Warm: warm,
		Load: s.load(now, view, service), BootTime: service.Scaling.BootTime,
	}
	for name, price := range service.Scaling.Prices {
		_, drained := view.DrainedDomains[name]
		inputs.Domains = append(inputs.Domains, fleet.CountDomain{Name: name, Price: price, Drained: drained})
	}
	slices.SortFunc(inputs.Domains, func(a, b fleet.CountDomain) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	memory := s.memories[service.Name]
	if memory == nil {
		memory = &fleet.CountMemory{}
		s.memories[service.Name] = memory
	}
	before := memory.Size()
	orders := fleet.PlanCounts(now, inputs, memory)
	if size := memory.Size(); size != before {
		event.With(s.c.Log, event.FleetSized).WithFields(logrus.Fields{
			"service": service.Name, "size": size, "nominal": inputs.Nominal, "needed": math.Round(memory.Needed()), "running": total,
			"open": inputs.Load.Open, "slots": inputs.Load.Slots, "reading_ms": inputs.Load.Reading.Milliseconds(), "upstreams": inputs.Load.Upstreams,
		}).Info("fleet sized by load")
	}
	for _, o := range orders {
		s.order(ctx, now, term, service.Name, running, o, memory)
	}
}

// running counts the running upstreams of a service by offer, and the warm ones among
// them, which can take full load. An upstream that turns cold later than at its start,
// when its failure domain resumes, counts as warm: it is warm again before a replacement
// would be.
func (s *scaler) running(now time.Time, service string) (running, warm map[fleet.OfferKey]int) {
	running, warm = make(map[fleet.OfferKey]int), make(map[fleet.OfferKey]int)
	for _, entry := range s.c.roster.List() {
		if entry.Service != service || entry.Leaving || entry.Gone || now.Sub(entry.LastSeen) >= maxStatusAge {
			continue
		}
		key := fleet.OfferKey{Domain: entry.Domain, Reclaimable: entry.Spot}
		running[key]++
		cold := now.Sub(entry.LastSeen).Milliseconds() < int64(entry.Cold)
		if !cold || now.UnixMilli()-int64(entry.Born) > coldStartTime.Milliseconds() {
			warm[key]++
		}
	}
	return running, warm
}

// load returns the work that is open at a service's upstreams, by the nodes' usage reports; the
// zero value if the upstreams do not tell their slots or nothing was reported yet.
func (s *scaler) load(now time.Time, view *config.View, service *traffic.Service) fleet.Load {
	open, known := s.c.ledger.openTotals(now, s.term, view.Plan)
	if !known {
		return fleet.Load{}
	}
	var l fleet.Load
	costs := s.c.openUses.costs(service.Name)
	for _, entry := range s.c.roster.List() {
		if entry.Service != service.Name || entry.Leaving || entry.Gone || entry.Slots == 0 || now.Sub(entry.LastSeen) >= maxStatusAge {
			continue
		}
		use := open[entry.ID]
		l.Upstreams++
		l.Open += int(use.Open)
		l.Slots = max(l.Slots, int(entry.Slots))
		l.Reading += time.Duration(float64(use.Pending) * costs.TokenMs * float64(time.Millisecond))
	}
	for i := range view.Plan.Routes {
		r := &view.Plan.Routes[i]
		if !slices.ContainsFunc(r.Split, func(w traffic.Weight) bool { return w.Service == service.Name }) {
			continue
		}
		pause := r.TargetGap
		if pause == 0 {
			pause = r.TargetLatency // prompts that wait delay first events as well
		}
		if pause > 0 && (l.Pause == 0 || pause < l.Pause) {
			l.Pause = pause
		}
	}
	return l
}

// recordNominalSize stores the number of upstreams that the operator provided, unless it
// is already recorded.
func (s *scaler) recordNominalSize(ctx context.Context, view *config.View, service string, size config.Fleet) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.c.put(ctx, view, config.PrefixFleet+service, size)
	event.With(s.c.Log, event.FleetRecorded).WithFields(logrus.Fields{"service": service, "nominal": size.NominalSize}).WithError(err).Info("nominal size of a fleet recorded")
}

func (s *scaler) order(ctx context.Context, now time.Time, term uint64, service string, running map[fleet.OfferKey]int, order fleet.CountOrder, memory *fleet.CountMemory) {
	err := s.c.callPlatform(ctx, term, func(ctx context.Context) error {
		return s.c.Platform.Scale(ctx, term, Order{Service: service, Domain: order.Domain, Reclaimable: order.Reclaimable, Count: order.Count})
	})
	event.With(s.c.Log, event.UpstreamsOrdered).WithFields(logrus.Fields{
		"service": service, "domain": order.Domain, "reclaimable": order.Reclaimable, "count": order.Count, "running": running[order.OfferKey], "term": term,
	}).WithError(err).Info("upstreams ordered")
	if err != nil {
		memory.RecordRefusal(now, order)
	}
}
