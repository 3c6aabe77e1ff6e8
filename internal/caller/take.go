package caller

import (
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
)

// taken is a chosen upstream with its slot.
type taken struct {
	target upstream.Entry
	ticket routing.Ticket
	// uncached is the estimated number of prompt tokens to compute.
	uncached int
}

// take uses a slot of the best upstream of the list.
func (s *Slots) take(now time.Time, view *config.View, c *call, list []upstream.Entry) (taken, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range list {
		s.announce(now, e, c.service.Start)
	}
	if c.trial {
		return s.takeAlone(now, c, list)
	}
	request := c.request(s.suspectDomains(now))
	candidates := make([]routing.Candidate, 0, len(list))
	for i := range list {
		candidates = append(candidates, s.candidate(now, view, c, &list[i]))
	}
	choice, ok := routing.Choose(now, request, candidates)
	var ticket routing.Ticket
	if ok {
		ticket, ok = s.holder.Take(now, choice.ID, choice.PrefillTokens)
	}
	if !ok {
		if choice, ticket, ok = s.demand(now, request, candidates); !ok {
			return taken{}, false
		}
	}
	i := slices.IndexFunc(list, func(e upstream.Entry) bool { return e.ID == choice.ID })
	t := taken{target: list[i], ticket: ticket, uncached: max(0, request.PromptTokens-candidates[i].CachedTokens)}
	s.started(c, t.target)
	return t, true
}

// demand asks for a slot where the node has none free: first of the upstream that
// would be best, then of the next ones, since the best may be in full use. An owner
// in this node answers at once.
func (s *Slots) demand(now time.Time, r routing.Request, candidates []routing.Candidate) (routing.Choice, routing.Ticket, bool) {
	open := slices.Clone(candidates)
	for i := range open {
		open[i].FreeSlots = 1
	}
	for {
		choice, ok := routing.Choose(now, r, open)
		if !ok {
			return choice, routing.Ticket{}, false
		}
		ticket, ok := s.holder.Take(now, choice.ID, choice.PrefillTokens)
		if !ok {
			s.pump(now)
			ticket, ok = s.holder.Take(now, choice.ID, choice.PrefillTokens)
		}
		if ok {
			return choice, ticket, true
		}
		i := slices.IndexFunc(open, func(c routing.Candidate) bool { return c.ID == choice.ID })
		open[i].FreeSlots = 0
	}
}

func (s *Slots) started(c *call, e upstream.Entry) {
	u := s.of(e.ID)
	u.running++
	u.sent++
	s.prefix.RecordPrompt(e.ID, c.blocks)
}

// request describes the call to routing.Choose.
func (c *call) request(avoid []string) routing.Request {
	r := routing.Request{FirstTokenTarget: c.class.First.Std(), Interactive: !c.class.Delay, AvoidDomains: avoid}
	if t := c.transcript; t != nil {
		r.PromptTokens = t.Request.PromptTokens + t.Delivered()
		r.OutputTokens = max(1, t.Request.MaxTokens-t.Delivered())
	}
	return r
}

// candidate describes an upstream to routing.Choose.
func (s *Slots) candidate(now time.Time, view *config.View, c *call, e *upstream.Entry) routing.Candidate {
	u := s.of(e.ID)
	rate, gap := u.speed.values()
	left, _ := e.Left(now)
	limit := int(e.Limit)
	if limit == 0 {
		limit = max(1, c.service.Start, u.running)
	}
	return routing.Candidate{
		ID: e.ID, Domain: e.Domain, PricePerHour: e.Price, Limit: limit, FreeSlots: s.holder.FreeSlots(now, e.ID),
		Running: int(e.Load.Running), Waiting: int(e.Load.Waiting), SentSinceReport: u.sent, EndedSinceReport: u.ended,
		CachedTokens: s.prefix.CachedBlocks(e.ID, c.blocks) * prefixBytes / 4, PrefillTokens: s.holder.PrefillTokens(e.ID),
		PrefillRate: rate, InterTokenLatency: gap, RoundTripTime: 2 * view.Domains[e.Domain].Delay.Std(),
		Reclaimable: e.Reclaimable, TimeToReclaim: max(0, left), Expires: now.Add(time.Minute),
		Suspect: u.isShunned(now, e) || u.alone > 0,
	}
}

// takeAlone uses an upstream on which nothing else runs. Until that is so, the
// node starts nothing else there; at most half of the upstreams are kept so.
func (s *Slots) takeAlone(now time.Time, c *call, list []upstream.Entry) (taken, bool) {
	if c.reserved == "" || !slices.ContainsFunc(list, func(e upstream.Entry) bool { return e.ID == c.reserved }) {
		s.unreserve(c)
		if !s.reserve(now, c, list) {
			return taken{}, false
		}
	}
	s.pump(now)
	ticket, ok := s.holder.TakeIsolated(now, c.reserved, 0)
	if !ok {
		return taken{}, false
	}
	i := slices.IndexFunc(list, func(e upstream.Entry) bool { return e.ID == c.reserved })
	c.reserved = "" // the ticket holds the reservation now
	s.started(c, list[i])
	return taken{target: list[i], ticket: ticket, uncached: c.transcriptPrompt()}, true
}

func (s *Slots) reserve(now time.Time, c *call, list []upstream.Entry) bool {
	busy, best := 0, ""
	for i := range list {
		if s.of(list[i].ID).alone > 0 {
			busy++
		}
	}
	full := busy >= max(1, len(list)/2)
	for i := range list {
		u := s.of(list[i].ID)
		if u.isShunned(now, &list[i]) || full && u.alone == 0 {
			continue
		}
		if best == "" || u.running+u.alone < s.of(best).running+s.of(best).alone {
			best = list[i].ID
		}
	}
	if best == "" {
		return false
	}
	u := s.of(best)
	u.alone++
	c.reserved = best
	s.holder.RequestIsolation(best, u.alone)
	return true
}

// unreserve ends the reservation of a call that does not run.
func (s *Slots) unreserve(c *call) {
	if c.reserved == "" {
		return
	}
	u := s.of(c.reserved)
	u.alone = max(0, u.alone-1)
	s.holder.RequestIsolation(c.reserved, u.alone)
	c.reserved = ""
	s.notify()
}

// giveUp ends what a waiting call holds.
func (s *Slots) giveUp(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreserve(c)
}

func (c *call) transcriptPrompt() int {
	if c.transcript == nil {
		return 0
	}
	return c.transcript.Request.PromptTokens + c.transcript.Delivered()
}
