package caller

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
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

const patience = 60 * time.Second

var mutation = flag.String("mutation", "", "rule to turn off: sendFirst or resend")

// desk runs callers' APIs on three voters, with one booking service that counts its
// runs.
type desk struct {
	t       *testing.T
	service *fake.Booking
	// before runs in the service before a booking; after runs after it, before the
	// answer goes out. Both may be nil.
	before, after atomic.Pointer[func()]
	address       string
	nodes         map[string]*entry
}

type entry struct {
	*replica.Replica
	links  *cuttable
	api    *API
	url    string
	cancel context.CancelFunc
	done   chan struct{}
}

// cuttable loses all messages once cut.
type cuttable struct {
	*peer.Links
	cut atomic.Bool
}

var errCut = errors.New("cut off")

func (c *cuttable) Handle(kind string, h peer.Handler) {
	c.Links.Handle(kind, func(ctx context.Context, from string, body []byte) (any, error) {
		if c.cut.Load() {
			return nil, errCut
		}
		return h(ctx, from, body)
	})
}

func (c *cuttable) Send(to, kind string, message any) error {
	if c.cut.Load() {
		return errCut
	}
	return c.Links.Send(to, kind, message)
}

func (c *cuttable) Call(ctx context.Context, to, kind string, message, reply any) error {
	if c.cut.Load() {
		return errCut
	}
	return c.Links.Call(ctx, to, kind, message, reply)
}

// solo hides the other nodes, so that each node owns its upstreams by itself and
// the test needs no exchange of slots.
type solo struct{ *replica.Replica }

func (s solo) View(now time.Time) (*config.View, bool) {
	view, ok := s.Replica.View(now)
	alone := *view
	alone.Nodes = nil
	return &alone, ok
}

// serve gives a node its upstream until ctx ends.
func (d *desk) serve(ctx context.Context, api *API, registry *upstream.Registry) {
	policy := routing.DefaultPolicy()
	policy.Lag = 0
	api.Slots = NewSlots(time.Now(), api.Slots.self, policy)
	watched := api.Watch(ctx)
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

func newDesk(t *testing.T) *desk {
	t.Helper()
	d := &desk{t: t, service: &fake.Booking{}, nodes: map[string]*entry{}}
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
		d.start(name, names, &addresses)
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
	d.configure()
	return d
}

func (d *desk) start(name string, names []string, addresses *sync.Map) {
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
	e := &entry{links: &cuttable{Links: links}, done: make(chan struct{})}
	r, err := replica.Open(replica.Config{
		Entry: config.Node{Name: name}, Voter: true, Data: filepath.Join(d.t.TempDir(), name),
		Voters: names, Seeds: names, Links: e.links, Log: log,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	e.Replica = r
	registry := upstream.NewRegistry(time.Second)
	e.api = New(routing.Node{Name: name, Incarnation: 1}, solo{r}, registry, log)
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
	go func() { defer close(served); d.serve(ctx, e.api, registry) }()
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

// configure puts a configuration with one booking service in force.
func (d *desk) configure() {
	d.t.Helper()
	second := config.Duration(time.Second)
	items, err := config.Items(config.Site{
		Name:     "test",
		Accounts: []config.Account{{Name: "acc", Token: bearer.Hash("secret"), Weight: 1}},
		Services: []config.Service{{
			Name: "booking", Kind: config.KindPlain, Version: "v1", Start: 64, Status: "/bookings/{key}",
			Classes: []config.Class{{Name: "booking", First: 10 * second, Complete: 30 * second, Progress: 20 * second}},
			Routes:  []config.Route{{Path: "/bookings", Methods: []string{"POST"}, Class: "booking", Once: true}},
		}},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

func (d *desk) eventually(what string, condition func() bool) {
	d.t.Helper()
	end := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type reply struct {
	status int
	body   string
}

// book sends one booking through a node.
func (d *desk) book(node, key, body string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, d.nodes[node].url+"/s/booking/bookings", bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		req.Header.Set(KeyHeader, key)
	}
	// Each attempt has its own connection: the test's client must not repeat it.
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(text)}, err
}

func (d *desk) mustBook(node, key, body string, status int) reply {
	d.t.Helper()
	got, err := d.book(node, key, body)
	if err != nil || got.status != status {
		d.t.Fatalf("booking %s through %s: got %+v, %v, want status %d", key, node, got, err, status)
	}
	return got
}

func (d *desk) ranOnce(key string) {
	d.t.Helper()
	if got := d.service.Runs(key); got != 1 {
		d.t.Fatalf("booking %s ran %d times, want once", key, got)
	}
}

// Guards against a second run when duplicates arrive through all nodes at the same
// time.
func TestConcurrentDuplicatesRunOnceAndGetOneAnswer(t *testing.T) {
	d := newDesk(t)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[reply]int{}
	for i := range 9 {
		group.Go(func() {
			got, err := d.book([]string{"a", "b", "c"}[i%3], "k", "{}")
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			answers[got]++
			mu.Unlock()
		})
	}
	group.Wait()
	d.ranOnce("k")
	if len(answers) != 1 {
		t.Fatalf("got %d different answers: %v", len(answers), answers)
	}
	if later := d.mustBook("c", "k", "{}", http.StatusCreated); answers[later] == 0 {
		t.Fatalf("a later duplicate got another answer: %+v", later)
	}
}

func TestKeyIsRequiredAndBoundToItsRequest(t *testing.T) {
	d := newDesk(t)
	d.mustBook("a", "", "{}", http.StatusBadRequest)
	d.mustBook("a", "k", "{}", http.StatusCreated)
	d.mustBook("b", "k", `{"other":1}`, http.StatusUnprocessableEntity)
	d.ranOnce("k")
}

// Guards against a booking that is sent again after its node was cut off while the
// service ran it. The look-up of its state settles it.
func TestBookingOfACutOffNodeIsSettledAndNotSentAgain(t *testing.T) {
	d := newDesk(t)
	inside, leave := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leave) })
	t.Cleanup(release)
	hold := sync.OnceFunc(func() { close(inside); <-leave })
	d.after.Store(&hold)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = d.book("a", "k", "{}") }()
	<-inside
	d.after.Store(nil)
	d.nodes["a"].links.cut.Store(true)
	d.mustBook("b", "k", "{}", http.StatusOK)
	d.mustBook("c", "k", "{}", http.StatusOK)
	d.ranOnce("k")
	release()
	d.nodes["a"].links.cut.Store(false)
	<-first
	d.ranOnce("k")
}

// Guards against a second send when the node was cut off before the service saw the
// request, so that the look-up cannot tell what became of it.
func TestUnsettledBookingIsRefusedAndNotSentAgain(t *testing.T) {
	d := newDesk(t)
	inside, leave := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leave) })
	t.Cleanup(release)
	hold := sync.OnceFunc(func() { close(inside); <-leave })
	d.before.Store(&hold)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = d.book("a", "k", "{}") }()
	<-inside
	d.before.Store(nil)
	d.nodes["a"].links.cut.Store(true)
	got := d.mustBook("b", "k", "{}", http.StatusConflict)
	if !bytes.Contains([]byte(got.body), []byte("may-have-run")) {
		t.Fatalf("got %s, want the verdict may-have-run", got.body)
	}
	release()
	d.nodes["a"].links.cut.Store(false)
	<-first
	d.ranOnce("k")
}

func TestAnswerOverTheLimitTellsThatTheRequestRan(t *testing.T) {
	d := newDesk(t)
	big := fmt.Sprintf("%0*d", 300<<10, 1) // the service echoes the body
	for _, node := range []string{"a", "b"} {
		got := d.mustBook(node, "k", big, http.StatusBadGateway)
		if !bytes.Contains([]byte(got.body), []byte(`"verdict":"ran"`)) {
			t.Fatalf("got %.200s, want the verdict ran", got.body)
		}
	}
	d.ranOnce("k")
}

// Guards against a lost or doubled booking when leaders fail while bookings run.
func TestBookingsRunAtMostOnceWhileLeadersAreCutOff(t *testing.T) {
	d := newDesk(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for _, name := range []string{"a", "b", "c", "a"} {
			d.nodes[name].links.cut.Store(true)
			select {
			case <-stop:
			case <-time.After(1500 * time.Millisecond):
			}
			d.nodes[name].links.cut.Store(false)
		}
	})
	for w := range 4 {
		group.Go(func() {
			for i := range 15 {
				key := fmt.Sprintf("w%d-%d", w, i)
				end := time.Now().Add(patience)
				wanted := 1
				for try := 0; ; try++ {
					got, err := d.book([]string{"a", "b", "c"}[(w+try)%3], key, "{}")
					if err == nil && (got.status == http.StatusCreated || got.status == http.StatusOK) {
						break
					}
					if bytes.Contains([]byte(got.body), []byte("outcome-unknown")) {
						wanted = min(1, d.service.Runs(key)) // true, and final, whether it ran or not
						break
					}
					if time.Now().After(end) {
						t.Errorf("booking %s has no answer: %+v, %v", key, got, err)
						break
					}
				}
				if runs := d.service.Runs(key); runs != wanted {
					t.Errorf("booking %s ran %d times, want %d", key, runs, wanted)
				}
			}
		})
	}
	group.Wait()
	close(stop)
}
