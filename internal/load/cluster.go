package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	token             = "load"
	model             = "model"
	upstreamCount     = 8
	heartbeatInterval = 200 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	// discoveryTime is the time before the first request, in which the node receives the
	// announcements of the upstreams.
	discoveryTime = 2500 * time.Millisecond
)

// fakeUpstream is a fake model upstream with its VM's attributes.
type fakeUpstream struct {
	id, domain string
	price      float64
	model      *fake.Model
	process    *fake.Process
	// reclaimAt is the Unix time in nanoseconds at which the VM is reclaimed; zero without
	// a reclaim notice.
	reclaimAt   atomic.Int64
	outstanding atomic.Int64
}

// cluster is a load balancer under test with its upstreams.
type cluster struct {
	upstreams []*fakeUpstream
	registry  *upstream.Registry
	view      *config.View
	// api is nil when the load balancer is a baseline.
	api      *caller.API
	server   *http.Server
	address  string
	sequence atomic.Uint64
}

// View implements caller.Viewer.
func (c *cluster) View(time.Time) (*config.View, bool) { return c.view, true }

func newCluster(classes []classLoad) (*cluster, error) {
	c := &cluster{registry: upstream.NewRegistry(time.Second)}
	for i := range upstreamCount {
		u := &fakeUpstream{
			id: fmt.Sprintf("m%d", i), domain: fmt.Sprintf("d%d", i%4), price: 1 + 0.2*float64(i%4),
			model: &fake.Model{
				Version: "v1", InterTokenLatency: 15 * time.Millisecond, BatchSlowdown: 0.05, PrefillTime: 100 * time.Millisecond,
				CacheTokens: 1 << 14, MaxRunning: 8, ColdStartTime: 5 * time.Second, ColdStartLimit: 2, ColdStartStalls: true,
			},
		}
		process, err := fake.Start(u.model.Handler())
		if err != nil {
			return nil, err
		}
		u.process = process
		c.upstreams = append(c.upstreams, u)
	}
	return c, c.configure(classes)
}

func (c *cluster) configure(classes []classLoad) error {
	service := config.Service{Name: "models", Kind: config.KindModel, Version: "v1", Models: []string{model}, InitialConcurrency: 8}
	for i, k := range classes {
		service.Classes = append(service.Classes, config.Class{
			Name: k.class, Priority: i, FirstTokenTarget: config.Duration(k.firstTokenTarget), Deferrable: k.firstTokenTarget > 2*time.Second,
			CompletionTarget: config.Duration(30 * time.Second), ProgressTimeout: config.Duration(time.Second),
		})
	}
	site := config.Site{
		Name: "load", Services: []config.Service{service},
		Accounts: []config.Account{{Name: "load", TokenHash: bearer.Hash(token), Weight: 1}},
	}
	items, err := config.Items(site)
	if err != nil {
		return err
	}
	keySpace := make(map[string]wire.Item)
	for _, i := range items {
		keySpace[i.Key] = i
	}
	c.view, err = config.NewView(1, keySpace)
	return err
}

// announce sends the announcements of the upstreams to the registry periodically until
// ctx ends.
func (c *cluster) announce(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		for _, u := range c.upstreams {
			if !u.process.Alive() {
				continue
			}
			a := wire.Announce{
				ID: u.id, VM: "vm-" + u.id, Domain: u.domain, Price: u.price, Address: u.process.Address(), Limit: 8,
				Incarnation: u.process.Incarnation(), Sequence: c.sequence.Add(1), Ready: true, Load: u.model.Load(now),
				Serving: []wire.Serving{{Service: "models", Version: "v1"}},
			}
			if reclaimAt := u.reclaimAt.Load(); reclaimAt != 0 {
				// At least 1 ms, because zero means that there is no reclaim notice.
				a.Reclaim = max(time.Until(time.Unix(0, reclaimAt)).Seconds(), 0.001)
			}
			c.registry.Apply(now, a)
		}
		c.registry.Expire(now)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// serve starts the named load balancer.
func (c *cluster) serve(name string) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var handler http.Handler
	switch name {
	case "jaystage":
		c.api = caller.New(routing.Node{Name: "load", Incarnation: 1}, c, c.registry, log)
		handler = c.api.Handler()
	case "round-robin":
		handler = &baseline{upstreams: c.upstreams}
	case "least-outstanding":
		handler = &baseline{upstreams: c.upstreams, leastOutstanding: true}
	default:
		return fmt.Errorf("unknown balancer %q; use one of %v", name, Balancers())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.address = l.Addr().String()
	c.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = c.server.Serve(l) }()
	return nil
}

// runEvent triggers the event after a delay. It does nothing for Calm.
func (c *cluster) runEvent(ctx context.Context, event Event, delay time.Duration) {
	if event == Calm || !sleep(ctx, delay) {
		return
	}
	if event == Cold {
		c.upstreams[0].model.StartCold()
		return
	}
	for _, u := range c.upstreams {
		if u.domain == "d0" {
			u.reclaimAt.Store(time.Now().Add(NoticeTime).UnixNano())
		}
	}
	sleep(ctx, NoticeTime)
	for _, u := range c.upstreams {
		if u.domain == "d0" {
			u.process.Kill()
		}
	}
}

func (c *cluster) close() {
	if c.server != nil {
		_ = c.server.Close()
	}
	for _, u := range c.upstreams {
		u.process.Close()
	}
}

// sleep waits for d. It returns false if ctx ends before that.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
