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
	upstreams         = 8
	heartbeat         = 200 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	// settle is the time before the first request in which the node learns of the
	// upstreams.
	settle = 2500 * time.Millisecond
)

// runner is one stand-in upstream.
type runner struct {
	id, domain string
	price      float64
	model      *fake.Model
	process    *fake.Process
	// reclaim is when the VM ends, Unix time in nanoseconds; zero without a notice.
	reclaim     atomic.Int64
	outstanding atomic.Int64
}

// cluster is the system under load.
type cluster struct {
	runners  []*runner
	registry *upstream.Registry
	view     *config.View
	api      *caller.API
	server   *http.Server
	address  string
	sequence atomic.Uint64
}

// View implements caller.Viewer.
func (c *cluster) View(time.Time) (*config.View, bool) { return c.view, true }

func newCluster(kinds []kindOf) (*cluster, error) {
	c := &cluster{registry: upstream.NewRegistry(time.Second)}
	for i := range upstreams {
		r := &runner{
			id: fmt.Sprintf("m%d", i), domain: fmt.Sprintf("d%d", i%4), price: 1 + 0.2*float64(i%4),
			model: &fake.Model{
				Version: "v1", TokenInterval: 15 * time.Millisecond, BatchSlowdown: 0.05, PrefillTime: 100 * time.Millisecond,
				CacheTokens: 1 << 14, MaxRunning: 8, ColdStartTime: 5 * time.Second, ColdStartLimit: 2, ColdStartStalls: true,
			},
		}
		process, err := fake.Start(r.model.Handler())
		if err != nil {
			return nil, err
		}
		r.process = process
		c.runners = append(c.runners, r)
	}
	return c, c.configure(kinds)
}

func (c *cluster) configure(kinds []kindOf) error {
	service := config.Service{Name: "models", Kind: config.KindModel, Version: "v1", Models: []string{model}, InitialConcurrency: 8}
	for i, k := range kinds {
		service.Classes = append(service.Classes, config.Class{
			Name: k.class, Priority: i, FirstTokenTarget: config.Duration(k.first), Deferrable: k.first > 2*time.Second,
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
	space := make(map[string]wire.Item)
	for _, i := range items {
		space[i.Key] = i
	}
	c.view, err = config.NewView(1, space)
	return err
}

// announce repeats the runners' announcements until ctx ends.
func (c *cluster) announce(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		for _, r := range c.runners {
			if !r.process.Alive() {
				continue
			}
			a := wire.Announce{
				ID: r.id, VM: "vm-" + r.id, Domain: r.domain, Price: r.price, Address: r.process.Address(), Limit: 8,
				Incarnation: r.process.Incarnation(), Sequence: c.sequence.Add(1), Ready: true, Load: r.model.Load(now),
				Serving: []wire.Serving{{Service: "models", Version: "v1"}},
			}
			if end := r.reclaim.Load(); end != 0 {
				a.Reclaim = max(time.Until(time.Unix(0, end)).Seconds(), 0.001)
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

// serve starts the balancer of that name.
func (c *cluster) serve(name string) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var handler http.Handler
	switch name {
	case "jaystage":
		c.api = caller.New(routing.Node{Name: "load", Incarnation: 1}, c, c.registry, log)
		handler = c.api.Handler()
	case "round-robin":
		handler = &baseline{runners: c.runners}
	case "least-outstanding":
		handler = &baseline{runners: c.runners, least: true}
	default:
		return fmt.Errorf("balancer %q is unknown; use one of %v", name, Balancers())
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

// happen runs the event of a run, in its middle.
func (c *cluster) happen(ctx context.Context, event Event, at time.Duration) {
	if event == Calm || !sleep(ctx, at) {
		return
	}
	if event == Cold {
		c.runners[0].model.StartCold()
		return
	}
	for _, r := range c.runners {
		if r.domain == "d0" {
			r.reclaim.Store(time.Now().Add(NoticeTime).UnixNano())
		}
	}
	sleep(ctx, NoticeTime)
	for _, r := range c.runners {
		if r.domain == "d0" {
			r.process.Kill()
		}
	}
}

func (c *cluster) close() {
	if c.server != nil {
		_ = c.server.Close()
	}
	for _, r := range c.runners {
		r.process.Close()
	}
}

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
