package caller

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/replica"
	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/reach"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

const clusterTimeout = 60 * time.Second

var mutation = flag.String("mutation", "", "fault to inject: sendFirst or resend")

// bookingCluster is three voters, each with an API, and one booking service that counts
// its runs.
type bookingCluster struct {
	t       *testing.T
	service *fake.Booking
	// before is called before the service runs a booking, after between the run and the
	// answer. Both may be nil.
	before, after atomic.Pointer[func()]
	address       string
	nodes         map[string]*clusterNode
	// cutOff makes the direct connections of a node to upstreams fail.
	cutOff map[string]*atomic.Bool
}

type clusterNode struct {
	*replica.Replica
	links *partitionedLinks
	api   *API
	// tunnels serves the tunnels of other nodes.
	tunnels *tunnel.Server
	url     string
	cancel  context.CancelFunc
	done    chan struct{}
}

// partitionedLinks drops all messages while partitioned is set.
type partitionedLinks struct {
	*peer.Links
	partitioned atomic.Bool
}

var errPartitioned = errors.New("node is partitioned")

func (p *partitionedLinks) Handle(kind string, h peer.Handler) {
	p.Links.Handle(kind, func(ctx context.Context, from string, body []byte) (any, error) {
		if p.partitioned.Load() {
			return nil, errPartitioned
		}
		return h(ctx, from, body)
	})
}

func (p *partitionedLinks) Send(to, kind string, message any) error {
	if p.partitioned.Load() {
		return errPartitioned
	}
	return p.Links.Send(to, kind, message)
}

func (p *partitionedLinks) Call(ctx context.Context, to, kind string, message, reply any) error {
	if p.partitioned.Load() {
		return errPartitioned
	}
	return p.Links.Call(ctx, to, kind, message, reply)
}

// singleNodeViewer hides the other nodes, so that each node owns all its upstreams and
// the nodes need not exchange demand and grants.
type singleNodeViewer struct{ *replica.Replica }

func (s singleNodeViewer) View(now time.Time) (*config.View, bool) {
	view, ok := s.Replica.View(now)
	single := *view
	single.Nodes = nil
	return &single, ok
}

// announceUpstream repeats the announcement of the booking service to a node until ctx
// ends.
func (c *bookingCluster) announceUpstream(ctx context.Context, api *API, registry *upstream.Registry) {
	policy := routing.DefaultPolicy()
	policy.ReportLag = 0
	api.Slots = NewSlots(time.Now(), api.Slots.self, policy)
	maintenanceDone := api.StartMaintenance(ctx)
	for sequence := uint64(1); ; sequence++ {
		registry.Apply(time.Now(), wire.Announce{
			ID: "b", VM: "vm-b", Address: c.address, Incarnation: 1, Ready: true, Sequence: sequence,
			Serving: []wire.Serving{{Service: "booking", Version: "v1"}},
		})
		select {
		case <-ctx.Done():
			<-maintenanceDone
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func newBookingCluster(t *testing.T, changes ...func(*config.Site)) *bookingCluster {
	t.Helper()
	c := &bookingCluster{t: t, service: &fake.Booking{}, nodes: map[string]*clusterNode{}, cutOff: map[string]*atomic.Bool{}}
	run := func(f *atomic.Pointer[func()]) {
		if p := f.Load(); p != nil {
			(*p)()
		}
	}
	inner := c.service.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			inner.ServeHTTP(w, r)
			return
		}
		run(&c.before)
		rec := httptest.NewRecorder()
		inner.ServeHTTP(rec, r)
		run(&c.after)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	c.address = server.Listener.Addr().String()
	names := []string{"a", "b", "c"}
	var addresses sync.Map
	for _, name := range names {
		c.startNode(name, names, &addresses)
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			node.cancel()
		}
		for _, node := range c.nodes {
			<-node.done
		}
		server.CloseClientConnections()
		server.Close()
	})
	c.configure(changes)
	return c
}

func (c *bookingCluster) startNode(name string, names []string, addresses *sync.Map) {
	c.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	links := peer.New(peer.Config{Name: name, Incarnation: 1, Key: []byte("0123456789abcdef"), Log: log, Address: func(n string) (string, bool) {
		a, ok := addresses.Load(n)
		if !ok {
			return "", false
		}
		return a.(string), true
	}})
	node := &clusterNode{links: &partitionedLinks{Links: links}, done: make(chan struct{})}
	r, err := replica.Open(replica.Config{
		Entry: config.Node{Name: name}, Voter: true, DataDir: filepath.Join(c.t.TempDir(), name),
		InitialVoters: names, Seeds: names, Links: node.links, Log: log,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	node.Replica = r
	registry := upstream.NewRegistry(time.Second)
	node.api = New(routing.Node{Name: name, Incarnation: 1}, singleNodeViewer{r}, registry, log)
	node.api.Bookings = r
	cutOff, dial := &atomic.Bool{}, node.api.Transport.Dial
	c.cutOff[name] = cutOff
	node.api.Transport.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if cutOff.Load() {
			return nil, syscall.ECONNREFUSED
		}
		return dial(ctx, network, address)
	}
	node.api.UseDetour(reach.Node{Name: name}, links)
	node.api.Transport.Detour.Nodes = func(time.Time) (nodes []reach.Node) { // the API's view has this node only
		for _, n := range names {
			nodes = append(nodes, reach.Node{Name: n})
		}
		return nodes
	}
	node.tunnels = node.api.NewTunnelServer()
	links.HandleStream(tunnel.Kind, node.tunnels.Serve)
	node.api.mutations = bookingMutations{sendFirst: *mutation == "sendFirst", resend: *mutation == "resend"}
	clientServer, peerServer := httptest.NewServer(node.api.Handler()), httptest.NewServer(links.Handler())
	node.url = clientServer.URL
	addresses.Store(name, peerServer.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	linksCtx, stopLinks := context.WithCancel(context.Background())
	linksDone := make(chan struct{})
	node.cancel = cancel
	go func() { defer close(linksDone); links.Run(linksCtx) }()
	announceDone := make(chan struct{})
	go func() { defer close(announceDone); c.announceUpstream(ctx, node.api, registry) }()
	probesDone := node.api.RunProbes(ctx)
	go func() {
		defer close(node.done)
		_ = r.Run(ctx)
		stopLinks()
		<-linksDone
		<-announceDone
		<-probesDone
		clientServer.CloseClientConnections()
		clientServer.Close()
		peerServer.CloseClientConnections()
		peerServer.Close()
	}()
	c.nodes[name] = node
}

// configure applies a configuration with one booking service and waits until every
// node uses it.
func (c *bookingCluster) configure(changes []func(*config.Site)) {
	c.t.Helper()
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
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	defer cancel()
	a := c.nodes["a"]
	changed, err := a.Change(ctx, wire.Change{ID: "site", Items: items})
	if err == nil {
		err = a.WaitInForce(ctx, changed.Version)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	for name, node := range c.nodes {
		c.eventually(name+" admits", func() bool {
			view, ok := node.View(time.Now())
			return ok && view.Version >= changed.Version
		})
	}
}

func (c *bookingCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(clusterTimeout)
	for !condition() {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s", clusterTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type bookingResponse struct {
	status int
	body   string
}

// book sends one booking through a node.
func (c *bookingCluster) book(node, key, body string) (bookingResponse, error) {
	req, err := http.NewRequest(http.MethodPost, c.nodes[node].url+"/s/booking/bookings", bytes.NewReader([]byte(body)))
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

func (c *bookingCluster) mustBook(node, key, body string, status int) bookingResponse {
	c.t.Helper()
	got, err := c.book(node, key, body)
	if err != nil || got.status != status {
		c.t.Fatalf("booking %s through %s: got %+v, %v, want status %d", key, node, got, err, status)
	}
	return got
}

func (c *bookingCluster) checkRanOnce(key string) {
	c.t.Helper()
	if got := c.service.Runs(key); got != 1 {
		c.t.Fatalf("booking %s ran %d times, want 1", key, got)
	}
}
