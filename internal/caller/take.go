package caller

import (
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
)

// assignment is a chosen upstream with the ticket for its slot.
type assignment struct {
	target upstream.Entry
	ticket routing.Ticket
	// uncachedTokens is the estimated number of prompt tokens to compute.
	uncachedTokens int
}

// take takes a slot of the best upstream of the list.
func (s *Slots) take(now time.Time, view *config.View, c *call, list []upstream.Entry) (assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range list {
		s.handleAnnounce(now, e, c.service.InitialConcurrency)
	}
	if list = s.allowedByLimits(now, list); len(list) == 0 {
		return assignment{}, false
	}
	if c.isolated {
		return s.takeIsolated(now, c, list)
	}
	request := c.routingRequest(s.suspectDomains(now))
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
		if choice, ticket, ok = s.requestSlot(now, request, candidates); !ok {
			return assignment{}, false
		}
	}
	i := slices.IndexFunc(list, func(e upstream.Entry) bool { return e.ID == choice.ID })
	t := assignment{target: list[i], ticket: ticket, uncachedTokens: max(0, request.PromptTokens-candidates[i].CachedTokens)}
	s.recordStart(now, c, t.target)
	return t, true
}

// requestSlot takes a slot when the node has none free on the best upstream. It
// reports demand for the best upstream first and then for the next ones, since all
// slots of the best may be in use. If this node is the owner, it grants at once.
func (s *Slots) requestSlot(now time.Time, r routing.Request, candidates []routing.Candidate) (routing.Choice, routing.Ticket, bool) {
	remaining := slices.Clone(candidates)
	for i := range remaining {
		remaining[i].FreeSlots = 1
	}
	for {
		choice, ok := routing.Choose(now, r, remaining)
		if !ok {
			return choice, routing.Ticket{}, false
		}
		ticket, ok := s.holder.Take(now, choice.ID, choice.PrefillTokens)
		if !ok {
			s.sendDemands(now)
			ticket, ok = s.holder.Take(now, choice.ID, choice.PrefillTokens)
		}
		if ok {
			return choice, ticket, true
		}
		i := slices.IndexFunc(remaining, func(c routing.Candidate) bool { return c.ID == choice.ID })
		remaining[i].FreeSlots = 0
	}
}

// recordStart counts a request that is sent to the upstream.
func (s *Slots) recordStart(now time.Time, c *call, e upstream.Entry) {
	u := s.usageOf(e.ID)
	u.running++
	u.sentSinceReport++
	s.prefix.RecordPrompt(e.ID, c.blocks)
	s.limits.RecordSend(now, limitKey(e))
}

// routingRequest describes the call to routing.Choose.
func (c *call) routingRequest(avoidDomains []string) routing.Request {
	r := routing.Request{FirstTokenTarget: c.class.FirstTokenTarget.Std(), Interactive: !c.class.Deferrable, AvoidDomains: avoidDomains}
	if t := c.transcript; t != nil {
		r.PromptTokens = t.Request.PromptTokens + t.Delivered()
		r.OutputTokens = max(1, t.Request.MaxTokens-t.Delivered())
	}
	return r
}

// candidate describes an upstream to routing.Choose.
func (s *Slots) candidate(now time.Time, view *config.View, c *call, e *upstream.Entry) routing.Candidate {
	u := s.usageOf(e.ID)
	prefillRate, interTokenLatency := u.speed.estimates()
	left, _ := e.TimeToReclaim(now)
	limit := int(e.Limit)
	if limit == 0 {
		limit = max(1, c.service.InitialConcurrency, u.running)
	}
	return routing.Candidate{
		ID: e.ID, Domain: e.Domain, PricePerHour: e.Price, Limit: limit, FreeSlots: s.holder.FreeSlots(now, e.ID),
		Running: int(e.Load.Running), Waiting: int(e.Load.Waiting), SentSinceReport: u.sentSinceReport, EndedSinceReport: u.endedSinceReport,
		CachedTokens: s.prefix.CachedBlocks(e.ID, c.blocks) * prefixBlockBytes / 4, PrefillTokens: s.holder.PrefillTokens(e.ID),
		PrefillRate: prefillRate, InterTokenLatency: interTokenLatency, RoundTripTime: 2 * view.Domains[e.Domain].Delay.Std(),
		Reclaimable: e.Reclaimable, TimeToReclaim: max(0, left), Expires: now.Add(time.Minute),
		Suspect: u.isEjected(now, e) || u.isolated > 0,
	}
}

// takeIsolated takes a slot of an upstream that runs no other request. It reserves
// the upstream first; until the upstream is idle, the node sends no other requests
// there. At most half of the upstreams, but at least one, may be reserved.
func (s *Slots) takeIsolated(now time.Time, c *call, list []upstream.Entry) (assignment, bool) {
	if c.reserved == "" || !slices.ContainsFunc(list, func(e upstream.Entry) bool { return e.ID == c.reserved }) {
		s.unreserve(c)
		if !s.reserve(now, c, list) {
			return assignment{}, false
		}
	}
	s.sendDemands(now)
	ticket, ok := s.holder.TakeIsolated(now, c.reserved, 0)
	if !ok {
		return assignment{}, false
	}
	i := slices.IndexFunc(list, func(e upstream.Entry) bool { return e.ID == c.reserved })
	c.reserved = "" // the ticket now holds the reservation
	s.recordStart(now, c, list[i])
	return assignment{target: list[i], ticket: ticket, uncachedTokens: c.promptTokens()}, true
}

// reserve reserves the upstream with the fewest requests for the isolated run of
// a call.
func (s *Slots) reserve(now time.Time, c *call, list []upstream.Entry) bool {
	isolating, best := 0, ""
	for i := range list {
		if s.usageOf(list[i].ID).isolated > 0 {
			isolating++
		}
	}
	limitReached := isolating >= max(1, len(list)/2)
	for i := range list {
		u := s.usageOf(list[i].ID)
		if u.isEjected(now, &list[i]) || limitReached && u.isolated == 0 {
			continue
		}
		if best == "" || u.running+u.isolated < s.usageOf(best).running+s.usageOf(best).isolated {
			best = list[i].ID
		}
	}
	if best == "" {
		return false
	}
	u := s.usageOf(best)
	u.isolated++
	c.reserved = best
	s.holder.RequestIsolation(best, u.isolated)
	return true
}

// unreserve cancels the reservation of a call, if any; s.mu must be held.
func (s *Slots) unreserve(c *call) {
	if c.reserved == "" {
		return
	}
	u := s.usageOf(c.reserved)
	u.isolated = max(0, u.isolated-1)
	s.holder.RequestIsolation(c.reserved, u.isolated)
	c.reserved = ""
	s.notify()
}

// cancelReservation cancels the reservation of a call that stops waiting.
func (s *Slots) cancelReservation(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreserve(c)
}

// promptTokens returns the number of tokens in the prompt of the next attempt,
// which includes the tokens already delivered; zero for a plain service.
func (c *call) promptTokens() int {
	if c.transcript == nil {
		return 0
	}
	return c.transcript.Request.PromptTokens + c.transcript.Delivered()
}
