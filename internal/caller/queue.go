package caller

import (
	"context"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/admission"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxQueue is the most requests of one service that wait on one node.
	maxQueue = 4096
	// firstUnit is the first guess of the time for one unit of work.
	firstUnit = 5 * time.Millisecond
	// promptShare is the work of a prompt token in output tokens: engines compute
	// prompts in parallel.
	promptShare = 1.0 / 32
	// firstOutput is the first guess of an answer's length in tokens; later guesses
	// are twice the mean of the class.
	firstOutput  = 64
	leastOutput  = 16
	outputSpread = 2
)

// queues holds the admission queue of each service.
type queues struct {
	mu       sync.Mutex
	services map[string]*queue
	quota    admission.Quota
	next     uint64
}

type queue struct {
	controller *admission.Controller
	// version is that of the configuration in the controller's policy.
	version uint64
	waiting map[uint64]*call
	// output is the mean length of answers by class.
	output map[string]float64
}

// of returns the queue of a service under the present configuration.
func (q *queues) of(view *config.View, service config.Service) *queue {
	if q.services == nil {
		q.services = make(map[string]*queue)
	}
	s, ok := q.services[service.Name]
	if !ok {
		s = &queue{
			controller: admission.New(policyOf(view, service), q.quota), version: view.Version,
			waiting: make(map[uint64]*call), output: make(map[string]float64),
		}
		q.services[service.Name] = s
	}
	if s.version != view.Version {
		s.version = view.Version
		s.controller.SetPolicy(policyOf(view, service))
	}
	return s
}

func policyOf(view *config.View, service config.Service) admission.Policy {
	p := admission.Policy{
		Classes: make(map[string]admission.Class), Accounts: make(map[string]admission.Account),
		MaxWaiting: maxQueue, InitialUnitTime: firstUnit,
	}
	for _, c := range service.Classes {
		complete := c.Complete.Std()
		if complete <= 0 {
			complete = noDeadline
		}
		p.Classes[c.Name] = admission.Class{Name: c.Name, Priority: c.Priority, FirstTokenTarget: c.First.Std(), CompletionTarget: complete, Deferrable: c.Delay}
	}
	for name, a := range view.Accounts {
		p.Accounts[name] = admission.Account{Weight: a.Weight, Concurrency: a.Concurrency}
	}
	return p
}

// enqueue waits for the call's turn, or refuses the call when its deadline cannot
// be met.
func (a *API) enqueue(ctx context.Context, c *call) error {
	if err := a.offer(c); err != nil {
		return err
	}
	return a.awaitTurn(ctx, c)
}

// offer gives the call a place in its queue, or refuses it. A call that starts at
// once has its turn already.
func (a *API) offer(c *call) error {
	now := a.Now()
	view, ok := a.Viewer.View(now)
	if !ok {
		return leaseExpired()
	}
	a.queues.mu.Lock()
	if a.queues.quota == nil {
		a.queues.quota = newQuota(a.Slots)
	}
	q := a.queues.of(view, c.service)
	a.size(now, view, q, c.service)
	a.queues.next++
	c.place = a.queues.next
	c.turn = make(chan *verdict.Error, 1)
	decision := q.controller.Admit(now, admission.Request{
		ID: c.place, Account: c.account.Name, Class: c.class.Name, Work: q.work(c), Deadline: c.deadline,
	})
	if decision.Accepted {
		q.waiting[c.place] = c
		q.start(now)
	}
	a.queues.mu.Unlock()
	if !decision.Accepted {
		return decision.Refusal
	}
	return nil
}

// awaitTurn waits until a call that has a place starts or is refused after all.
func (a *API) awaitTurn(ctx context.Context, c *call) error {
	select {
	case refusal := <-c.turn:
		if refusal != nil {
			return refusal
		}
		return nil
	case <-ctx.Done():
		a.dequeue(c)
		return a.contextError(ctx, c)
	}
}

// work estimates a call's work in output tokens.
func (q *queue) work(c *call) float64 {
	t := c.transcript
	if t == nil {
		return 1
	}
	output := float64(firstOutput)
	if mean := q.output[c.class.Name]; mean > 0 {
		output = max(leastOutput, outputSpread*mean)
	}
	if limit := float64(t.Request.MaxTokens); limit > 0 {
		output = min(output, limit)
	}
	return output + promptShare*float64(t.Request.PromptTokens)
}

// size tells the controller how many requests the node may run at once.
func (a *API) size(now time.Time, view *config.View, q *queue, service config.Service) {
	var list []upstream.Entry
	for _, e := range a.Upstreams.Serving(service.Name, "") {
		if a.usable(view, e, now) {
			list = append(list, e)
		}
	}
	a.Slots.wantSlots(now, list, q.controller.Waiting())
	q.controller.SetCapacity(a.Slots.capacity(now, list, service.Start))
}

// start gives the turn to the calls that start now.
func (q *queue) start(now time.Time) {
	for {
		s, ok := q.controller.Next(now)
		if !ok {
			return
		}
		if c := q.waiting[s.ID]; c != nil {
			delete(q.waiting, s.ID)
			c.turn <- s.Refusal
		}
	}
}

// dequeue ends a call's place in its queue.
func (a *API) dequeue(c *call) {
	if c.place == 0 {
		return
	}
	now := a.Now()
	a.queues.mu.Lock()
	defer a.queues.mu.Unlock()
	q := a.queues.services[c.service.Name]
	delete(q.waiting, c.place)
	if !q.controller.Cancel(now, c.place) {
		o := admission.Outcome{ID: c.place, Completed: c.answered}
		if c.answered && c.transcript != nil {
			tokens := float64(c.transcript.Delivered())
			q.output[c.class.Name] = smooth(q.output[c.class.Name], tokens)
			o.Work = max(1, tokens+promptShare*float64(c.transcript.Request.PromptTokens))
		}
		q.controller.Done(now, o)
	}
	c.place = 0
	q.start(now)
}

// advanceQueues follows changes of capacity.
func (a *API) advanceQueues(now time.Time) {
	view, ok := a.Viewer.View(now)
	if !ok {
		return
	}
	a.queues.mu.Lock()
	defer a.queues.mu.Unlock()
	for name, q := range a.queues.services {
		a.size(now, view, q, view.Services[name])
		q.start(now)
	}
}

// wantSlots asks for slots of the upstreams for the calls that wait. Owners divide
// by demand, so that the part of an idle node does not stay unused.
func (s *Slots) wantSlots(now time.Time, list []upstream.Entry, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		s.holder.SetQueued(list[i].ID, (waiting+i)/len(list))
	}
	s.pump(now)
}

// capacity returns how many requests this node may expect to run at once on the
// upstreams: its part of their limits, or what it was granted if that is more.
func (s *Slots) capacity(now time.Time, list []upstream.Entry, start int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := max(1, len(s.view.Nodes))
	sum := 0
	for i := range list {
		e := &list[i]
		u := s.of(e.ID)
		if u.isShunned(now, e) {
			continue
		}
		limit := max(s.owner.Limit(now, e.ID), s.holder.Limit(e.ID))
		if limit == 0 {
			if limit = start; limit <= 0 {
				limit = defaultStart
			}
		}
		sum += max(u.running+s.holder.FreeSlots(now, e.ID), (limit+nodes-1)/nodes)
	}
	return sum
}
