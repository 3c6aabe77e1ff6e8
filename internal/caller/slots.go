package caller

import (
	"math"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
)

const (
	// slotInterval is how often reports to owners are due.
	slotInterval = 5 * time.Millisecond
	// ownerInterval is how often the owner looks at all its upstreams. What it finds
	// there, entries and grants that expire, takes seconds to come about.
	ownerInterval = 100 * time.Millisecond
	// shunTime is how long an upstream that failed gets no new request.
	shunTime = 2 * time.Second
	// domainWindow is how long a failure counts against a failure domain.
	domainWindow = 10 * time.Second
	// defaultStart is the number of requests that a new upstream gets at once when
	// its service sets none.
	defaultStart = 4

	prefixBlocks    = 4096
	prefixUpstreams = 1024
	prefixBytes     = 256
)

// Slots is a node's use of the upstreams' limits: it owns the limits of some
// upstreams and holds grants of all. It is safe for concurrent use.
type Slots struct {
	// SendDemand and SendGrant carry messages to other nodes; nil when there are
	// none. They must not block and must not call back.
	SendDemand func(owner string, d routing.Demand)
	SendGrant  func(node string, g routing.Grant)

	mu     sync.Mutex
	self   routing.Node
	view   routing.View
	holder *routing.Holder
	owner  *routing.Owner
	// ownerTick is the time of the owner's last tick.
	ownerTick time.Time
	prefix    *routing.PrefixIndex
	use       map[string]*use
	failed    map[string]map[string]time.Time // failure domain, upstream, last failure
	wake      chan struct{}
}

// use is what the node knows of its own use of one upstream.
type use struct {
	incarnation, sequence uint64
	running               int
	// sent and ended count requests since the last load report.
	sent, ended int
	// alone counts calls that wait to run alone or do so.
	alone int
	// shunned is the time until which the upstream gets nothing new, unless it
	// starts again under a later incarnation.
	shunned time.Time
	failed  uint64
	speed   speed
}

// slotPolicy returns the settings of an owner. Its ceiling also bounds the
// concurrency limits of client accounts.
func slotPolicy() routing.Policy {
	p := routing.DefaultPolicy()
	p.MaxLimit = 4096
	return p
}

// NewSlots returns the slots of a node that owns nothing until Renew.
func NewSlots(now time.Time, self routing.Node, policy routing.Policy) *Slots {
	return &Slots{
		self: self, holder: routing.NewHolder(self), owner: routing.NewOwner(now, self, policy),
		prefix: routing.NewPrefixIndex(prefixBlocks, prefixUpstreams),
		use:    make(map[string]*use), failed: make(map[string]map[string]time.Time),
	}
}

// Renew takes the view of the cell and the end of the node's session lease, as of
// the last renewal.
func (s *Slots) Renew(now time.Time, view routing.View, lease time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Version > s.view.Version {
		s.view = view
	}
	s.holder.Renew(now, view, lease)
	s.deal(s.owner.Renew(now, view, lease))
	s.pump(now)
}

// Announce takes an upstream's announcement and returns the time until the next
// one, zero for an announcement that is known; start is the first limit of a newly
// started upstream.
func (s *Slots) Announce(now time.Time, e upstream.Entry, start int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announce(now, e, start)
}

func (s *Slots) announce(now time.Time, e upstream.Entry, start int) time.Duration {
	u := s.of(e.ID)
	if e.Incarnation < u.incarnation || e.Incarnation == u.incarnation && e.Sequence <= u.sequence {
		return 0
	}
	if e.Incarnation > u.incarnation {
		s.prefix.Remove(e.ID)
	}
	u.incarnation, u.sequence, u.sent, u.ended = e.Incarnation, e.Sequence, 0, 0
	if start <= 0 {
		start = defaultStart
	}
	interval, grants := s.owner.HandleHeartbeat(now, e.Announce, start)
	s.deal(grants)
	s.notify()
	return interval
}

// TakeDemand takes a report of another node.
func (s *Slots) TakeDemand(now time.Time, d routing.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deal(s.owner.HandleDemand(now, d))
}

// TakeGrant takes a grant of another node.
func (s *Slots) TakeGrant(now time.Time, g routing.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Apply(g)
	s.pump(now)
	s.notify()
}

// Tick is due every slotInterval.
func (s *Slots) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ownerTick) >= ownerInterval {
		s.ownerTick = now
		s.deal(s.owner.Tick(now))
	}
	s.pump(now)
}

// pump sends the reports that are due.
func (s *Slots) pump(now time.Time) {
	for _, d := range s.holder.Demands(now) {
		switch owner := s.view.Owner(d.Upstream); {
		case owner == s.self.Name:
			s.deal(s.owner.HandleDemand(now, d))
		case owner != "" && s.SendDemand != nil:
			s.SendDemand(owner, d)
		}
	}
}

// deal hands out grants.
func (s *Slots) deal(grants []routing.Grant) {
	for _, g := range grants {
		if g.To != s.self.Name {
			if s.SendGrant != nil {
				s.SendGrant(g.To, g)
			}
			continue
		}
		s.holder.Apply(g)
		s.notify()
	}
}

func (s *Slots) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

func (s *Slots) notify() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

func (s *Slots) of(id string) *use {
	u, ok := s.use[id]
	if !ok {
		u = &use{}
		s.use[id] = u
	}
	return u
}

// put returns the slot of an attempt; failed is true when the upstream failed it.
func (s *Slots) put(now time.Time, at *attempt, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.of(at.target.ID)
	u.running--
	u.ended++
	if at.ticket.Isolated {
		u.alone = max(0, u.alone-1)
	}
	s.holder.Return(at.ticket, failed)
	s.pump(now)
	s.notify()
}

// first records the first token of an attempt; late is true when it missed the
// class's target.
func (s *Slots) first(at *attempt, late bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.tokenSeen {
		at.tokenSeen = true
		s.holder.RecordFirstToken(&at.ticket, late)
		s.of(at.target.ID).speed.first(at.uncached, took)
	}
}

// gap records the mean time between the tokens of a finished attempt.
func (s *Slots) gap(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(id).speed.between(d)
}

// shun keeps new requests away from an upstream that failed.
func (s *Slots) shun(now time.Time, e upstream.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.of(e.ID)
	u.shunned, u.failed = now.Add(shunTime), e.Incarnation
	if s.failed[e.Domain] == nil {
		s.failed[e.Domain] = make(map[string]time.Time)
	}
	s.failed[e.Domain][e.ID] = now
}

func (u *use) isShunned(now time.Time, e *upstream.Entry) bool {
	return now.Before(u.shunned) && e.Incarnation <= u.failed
}

// suspectDomains lists the failure domains in which several upstreams failed
// lately.
func (s *Slots) suspectDomains(now time.Time) []string {
	var list []string
	for domain, failed := range s.failed {
		n := 0
		for id, at := range failed {
			if now.Sub(at) > domainWindow {
				delete(failed, id)
				continue
			}
			n++
		}
		if n > 1 {
			list = append(list, domain)
		}
	}
	return list
}

// forget drops what is known of upstreams that are gone.
func (s *Slots) forget(known func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.use {
		if u.running == 0 && u.alone == 0 && !known(id) {
			delete(s.use, id)
			s.prefix.Remove(id)
		}
	}
}

// speed estimates how fast an upstream computes.
type speed struct {
	// rate is in prompt tokens a second, gap in seconds; zero while unknown.
	rate, gap float64
}

const (
	smoothing   = 0.2
	defaultRate = 5000
	defaultGap  = 30 * time.Millisecond
	// rateTokens is the shortest prompt whose first token says something of the rate.
	rateTokens = 256
)

func (p *speed) first(tokens int, took time.Duration) {
	if tokens >= rateTokens && took > 0 {
		p.rate = smooth(p.rate, float64(tokens)/took.Seconds())
	}
}

func (p *speed) between(d time.Duration) { p.gap = smooth(p.gap, d.Seconds()) }

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// values returns the prefill rate and the gap between tokens, both above zero.
func (p *speed) values() (rate float64, gap time.Duration) {
	rate, gap = defaultRate, defaultGap
	if p.rate > 0 {
		rate = p.rate
	}
	if p.gap > 0 {
		gap = time.Duration(math.Max(p.gap*float64(time.Second), 1))
	}
	return rate, gap
}
