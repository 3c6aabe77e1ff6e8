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
	// maxQueueLength is the maximum number of requests of one service that wait
	// on one node.
	maxQueueLength = 4096
	// initialUnitTime is the initial estimate of the time per unit of work.
	initialUnitTime = 5 * time.Millisecond
	// promptTokenWork is the work of a prompt token relative to an output token.
	// It is small because engines compute the tokens of a prompt in parallel.
	promptTokenWork = 1.0 / 32
	// initialOutputTokens is the initial estimate of an answer's length. Later
	// estimates are outputFactor times the mean of the class, but at least
	// minOutputTokens.
	initialOutputTokens = 64
	minOutputTokens     = 16
	outputFactor        = 2
)

// queues holds the admission queue of each service.
type queues struct {
	mu       sync.Mutex
	services map[string]*queue
	quota    admission.Quota
	nextID   uint64
}

// queue is the admission queue of one service.
type queue struct {
	controller *admission.Controller
	// configVersion is the configuration version of the controller's policy.
	configVersion uint64
	// waiters holds the calls that wait for admission, by queue ID.
	waiters map[uint64]*call
	// meanOutput is the mean answer length in tokens by class.
	meanOutput map[string]float64
}

// get returns the queue of a service and updates its policy to the current
// configuration.
func (q *queues) get(view *config.View, service config.Service) *queue {
	if q.services == nil {
		q.services = make(map[string]*queue)
	}
	entry, ok := q.services[service.Name]
	if !ok {
		entry = &queue{
			controller: admission.New(admissionPolicy(view, service), q.quota), configVersion: view.Version,
			waiters: make(map[uint64]*call), meanOutput: make(map[string]float64),
		}
		q.services[service.Name] = entry
	}
	if entry.configVersion != view.Version {
		entry.configVersion = view.Version
		entry.controller.SetPolicy(admissionPolicy(view, service))
	}
	return entry
}

func admissionPolicy(view *config.View, service config.Service) admission.Policy {
	p := admission.Policy{
		Classes: make(map[string]admission.Class), Accounts: make(map[string]admission.Account),
		MaxWaiting: maxQueueLength, InitialUnitTime: initialUnitTime,
	}
	for _, c := range service.Classes {
		complete := c.CompletionTarget.Std()
		if complete <= 0 {
			complete = defaultDeadline
		}
		p.Classes[c.Name] = admission.Class{Name: c.Name, Priority: c.Priority, FirstTokenTarget: c.FirstTokenTarget.Std(), CompletionTarget: complete, Deferrable: c.Deferrable}
	}
	for name, a := range view.Accounts {
		p.Accounts[name] = admission.Account{Weight: a.Weight, Concurrency: a.Concurrency}
	}
	return p
}

// admit waits until the call may start. It refuses the call when its deadline
// cannot be met.
func (a *API) admit(ctx context.Context, c *call) error {
	if err := a.enqueue(c); err != nil {
		return err
	}
	return a.awaitAdmission(ctx, c)
}

// enqueue adds the call to its queue or refuses it. If the call may start at
// once, admitted already holds the result.
func (a *API) enqueue(c *call) error {
	now := a.Now()
	view, ok := a.Viewer.View(now)
	if !ok {
		return leaseExpired()
	}
	a.queues.mu.Lock()
	if a.queues.quota == nil {
		a.queues.quota = newQuota(a.Slots)
	}
	q := a.queues.get(view, c.service)
	a.updateCapacity(now, view, q, c.service)
	a.queues.nextID++
	c.queueID = a.queues.nextID
	c.admitted = make(chan *verdict.Error, 1)
	decision := q.controller.Admit(now, admission.Request{
		ID: c.queueID, Account: c.account.Name, Class: c.class.Name, Work: q.estimateWork(c), Deadline: c.deadline,
	})
	if decision.Accepted {
		q.waiters[c.queueID] = c
		q.dispatch(now)
	}
	a.queues.mu.Unlock()
	if !decision.Accepted {
		return decision.Refusal
	}
	return nil
}

// awaitAdmission waits until an enqueued call may start or is refused while it
// waits.
func (a *API) awaitAdmission(ctx context.Context, c *call) error {
	select {
	case refusal := <-c.admitted:
		if refusal != nil {
			return refusal
		}
		return nil
	case <-ctx.Done():
		a.releaseAdmission(c)
		return a.contextError(ctx, c)
	}
}

// estimateWork estimates a call's work in output tokens.
func (q *queue) estimateWork(c *call) float64 {
	t := c.transcript
	if t == nil {
		return 1
	}
	output := float64(initialOutputTokens)
	if mean := q.meanOutput[c.class.Name]; mean > 0 {
		output = max(minOutputTokens, outputFactor*mean)
	}
	if limit := float64(t.Request.MaxTokens); limit > 0 {
		output = min(output, limit)
	}
	return output + promptTokenWork*float64(t.Request.PromptTokens)
}

// updateCapacity sets the number of requests of the service that the node may run
// at once, and reports the waiting calls as demand.
func (a *API) updateCapacity(now time.Time, view *config.View, q *queue, service config.Service) {
	var list []upstream.Entry
	for _, e := range a.Upstreams.Serving(service.Name, "") {
		if a.usable(view, e, now) {
			list = append(list, e)
		}
	}
	a.Slots.reportQueued(now, list, q.controller.Waiting())
	q.controller.SetCapacity(a.Slots.capacity(now, list, service.InitialConcurrency))
}

// dispatch notifies the calls that may start or are refused now.
func (q *queue) dispatch(now time.Time) {
	for {
		next, ok := q.controller.Next(now)
		if !ok {
			return
		}
		if c := q.waiters[next.ID]; c != nil {
			delete(q.waiters, next.ID)
			c.admitted <- next.Refusal
		}
	}
}

// releaseAdmission removes a waiting call from its queue, or records the end of a
// running one.
func (a *API) releaseAdmission(c *call) {
	if c.queueID == 0 {
		return
	}
	now := a.Now()
	a.queues.mu.Lock()
	defer a.queues.mu.Unlock()
	q := a.queues.services[c.service.Name]
	delete(q.waiters, c.queueID)
	if !q.controller.Cancel(now, c.queueID) {
		o := admission.Outcome{ID: c.queueID, Completed: c.answered}
		if c.answered && c.transcript != nil {
			tokens := float64(c.transcript.Delivered())
			q.meanOutput[c.class.Name] = ewma(q.meanOutput[c.class.Name], tokens)
			o.Work = max(1, tokens+promptTokenWork*float64(c.transcript.Request.PromptTokens))
		}
		q.controller.Done(now, o)
	}
	c.queueID = 0
	q.dispatch(now)
}

// updateQueues applies changes of capacity to all queues.
func (a *API) updateQueues(now time.Time) {
	view, ok := a.Viewer.View(now)
	if !ok {
		return
	}
	a.queues.mu.Lock()
	defer a.queues.mu.Unlock()
	for name, q := range a.queues.services {
		a.updateCapacity(now, view, q, view.Services[name])
		q.dispatch(now)
	}
}

// reportQueued reports the waiting calls to the owners of the upstreams as
// demand. Owners grant slots by demand, so that other nodes can use the share of
// an idle node.
func (s *Slots) reportQueued(now time.Time, list []upstream.Entry, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		s.holder.SetQueued(list[i].ID, (waiting+i)/len(list))
	}
	s.sendDemands(now)
}

// capacity returns how many requests this node can expect to run at once on the
// upstreams. For each upstream, this is the node's share of the limit, or the
// slots that it uses and has free if these are more.
func (s *Slots) capacity(now time.Time, list []upstream.Entry, initialLimit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := max(1, len(s.view.Nodes))
	sum := 0
	for i := range list {
		e := &list[i]
		u := s.usageOf(e.ID)
		if u.isEjected(now, e) {
			continue
		}
		limit := max(s.owner.Limit(now, e.ID), s.holder.Limit(e.ID))
		if limit == 0 {
			if limit = initialLimit; limit <= 0 {
				limit = defaultInitialLimit
			}
		}
		sum += max(u.running+s.holder.FreeSlots(now, e.ID), (limit+nodes-1)/nodes)
	}
	return sum
}
