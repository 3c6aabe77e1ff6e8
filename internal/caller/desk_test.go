package caller

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/replica"
	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

const clusterTimeout = 60 * time.Second

var mutation = flag.String("mutation", "", "rule to disable: sendFirst or resend")

// bookingCluster runs three voters, each with a caller API, and one booking service
// that counts its runs.
type bookingCluster struct {
	t       *testing.T
	service *fake.Booking
	// before is called by the service before it runs a booking; after is called after
	// the run, before the answer is sent. Both may be nil.
	before, after atomic.Pointer[func()]
	address       string
	nodes         map[string]*clusterNode
}

type clusterNode struct {
	*replica.Replica
	links  *partitionedLinks
	api    *API
	url    string
	cancel context.CancelFunc
	done   chan struct{}
}

// partitionedLinks drops all messages while partitioned is set.
type partitionedLinks struct {
	*peer.Links
	partitioned atomic.Bool
}

var errPartitioned = errors.New("node is partitioned")

func (c *partitionedLinks) Handle(kind string, h peer.Handler) {
	c.Links.Handle(kind, func(ctx context.Context, from string, body []byte) (any, error) {
		if c.partitioned.Load() {
			return nil, errPartitioned
		}
		return h(ctx, from, body)
	})
}

func (c *partitionedLinks) Send(to, kind string, message any) error {
	if c.partitioned.Load() {
		return errPartitioned
	}
	return c.Links.Send(to, kind, message)
}

func (c *partitionedLinks) Call(ctx context.Context, to, kind string, message, reply any) error {
	if c.partitioned.Load() {
		return errPartitioned
	}
	return c.Links.Call(ctx, to, kind, message, reply)
}

// singleNodeViewer hides the other nodes, so that each node owns all its upstreams and
// the test needs no exchange of slots.
type singleNodeViewer struct{ *replica.Replica }

func (s singleNodeViewer) View(now time.Time) (*config.View, bool) {
	view, ok := s.Replica.View(now)
	single := *view
	single.Nodes = nil
	return &single, ok
}

// announceUpstream repeats the announcement of the booking service to a node until ctx
// ends.
func (d *bookingCluster) announceUpstream(ctx context.Context, api *API, registry *upstream.Registry) {
	policy := routing.DefaultPolicy()
	policy.ReportLag = 0
	api.Slots = NewSlots(time.Now(), api.Slots.self, policy)
	watched := api.StartMaintenance(ctx)
	for sequence := uint64(1); ; sequence++ {
		registry.Apply(time.Now(), wire.Announce{
			ID: "b", VM: "vm-b", Address: d.address, Incarnation: 1, Ready: true, Sequence: sequence,
			Serving: []wire.Serving{{Service: "booking", Version: "v1"}},
		})
		select {
		case <-ctx.Done():
			<-watched
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func newBookingCluster(t *testing.T, changes ...func(*config.Site)) *bookingCluster {
	t.Helper()
	d := &bookingCluster{t: t, service: &fake.Booking{}, nodes: map[string]*clusterNode{}}
	run := func(f *atomic.Pointer[func()]) {
		if p := f.Load(); p != nil {
			(*p)()
		}
	}
	inner := d.service.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			inner.ServeHTTP(w, r)
			return
		}
		run(&d.before)
		rec := httptest.NewRecorder()
		inner.ServeHTTP(rec, r)
		run(&d.after)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	d.address = server.Listener.Addr().String()
	names := []string{"a", "b", "c"}
	var addresses sync.Map
	for _, name := range names {
		d.startNode(name, names, &addresses)
	}
	t.Cleanup(func() {
		for _, e := range d.nodes {
			e.cancel()
		}
		for _, e := range d.nodes {
			<-e.done
		}
		server.CloseClientConnections()
		server.Close()
	})
	d.configure(changes)
	return d
}

func (d *bookingCluster) startNode(name string, names []string, addresses *sync.Map) {
	d.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	links := peer.New(peer.Config{Name: name, Incarnation: 1, Key: []byte("0123456789abcdef"), Log: log, Address: func(n string) (string, bool) {
		a, ok := addresses.Load(n)
		if !ok {
			return "", false
		}
		return a.(string), true
	}})
	e := &clusterNode{links: &partitionedLinks{Links: links}, done: make(chan struct{})}
	r, err := replica.Open(replica.Config{
		Entry: config.Node{Name: name}, Voter: true, DataDir: filepath.Join(d.t.TempDir(), name),
		InitialVoters: names, Seeds: names, Links: e.links, Log: log,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	e.Replica = r
	registry := upstream.NewRegistry(time.Second)
	e.api = New(routing.Node{Name: name, Incarnation: 1}, singleNodeViewer{r}, registry, log)
	e.api.Bookings = r
	e.api.hooks = bookingHooks{sendFirst: *mutation == "sendFirst", resend: *mutation == "resend"}
	callers, peers := httptest.NewServer(e.api.Handler()), httptest.NewServer(links.Handler())
	e.url = callers.URL
	addresses.Store(name, peers.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	linksCtx, stopLinks := context.WithCancel(context.Background())
	linksDone := make(chan struct{})
	e.cancel = cancel
	go func() { defer close(linksDone); links.Run(linksCtx) }()
	served := make(chan struct{})
	go func() { defer close(served); d.announceUpstream(ctx, e.api, registry) }()
	go func() {
		defer close(e.done)
		_ = r.Run(ctx)
		stopLinks()
		<-linksDone
		<-served
		callers.CloseClientConnections()
		callers.Close()
		peers.CloseClientConnections()
		peers.Close()
	}()
	d.nodes[name] = e
}

// configure applies a configuration with one booking service and waits until every
// node uses it.
func (d *bookingCluster) configure(changes []func(*config.Site)) {
	d.t.Helper()
	second := config.Duration(time.Second)
	site := config.Site{
		Name:     "test",
		Accounts: []config.Account{{Name: "acc", TokenHash: bearer.Hash("secret"), Weight: 1}},
		Services: []config.Service{{
			Name: "booking", Kind: config.KindPlain, Version: "v1", InitialConcurrency: 64, StatusPath: "/bookings/{key}",
			Classes: []config.Class{{Name: "booking", FirstTokenTarget: 10 * second, CompletionTarget: 30 * second, ProgressTimeout: 20 * second}},
			Routes:  []config.Route{{Path: "/bookings", Methods: []string{"POST"}, Class: "booking", AtMostOnce: true}},
		}},
	}
	for _, change := range changes {
		change(&site)
	}
	items, err := config.Items(site)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	defer cancel()
	a := d.nodes["a"]
	changed, err := a.Change(ctx, wire.Change{ID: "site", Items: items})
	if err == nil {
		err = a.WaitInForce(ctx, changed.Version)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	for name, e := range d.nodes {
		d.eventually(name+" admits", func() bool {
			view, ok := e.View(time.Now())
			return ok && view.Version >= changed.Version
		})
	}
}

func (d *bookingCluster) eventually(what string, condition func() bool) {
	d.t.Helper()
	end := time.Now().Add(clusterTimeout)
	for !condition() {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", clusterTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type bookingResponse struct {
	status int
	body   string
}

// book sends one booking through a node.
func (d *bookingCluster) book(node, key, body string) (bookingResponse, error) {
	req, err := http.NewRequest(http.MethodPost, d.nodes[node].url+"/s/booking/bookings", bytes.NewReader([]byte(body)))
	if err != nil {
		return bookingResponse{}, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		req.Header.Set(IdempotencyKeyHeader, key)
	}
	// A new connection for each attempt prevents a retry by the HTTP client.
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return bookingResponse{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return bookingResponse{resp.StatusCode, string(text)}, err
}

func (d *bookingCluster) mustBook(node, key, body string, status int) bookingResponse {
	d.t.Helper()
	got, err := d.book(node, key, body)
	if err != nil || got.status != status {
		d.t.Fatalf("booking %s through %s: got %+v, %v, want status %d", key, node, got, err, status)
	}
	return got
}

func (d *bookingCluster) checkRanOnce(key string) {
	d.t.Helper()
	if got := d.service.Runs(key); got != 1 {
		d.t.Fatalf("booking %s ran %d times, want 1", key, got)
	}
}
