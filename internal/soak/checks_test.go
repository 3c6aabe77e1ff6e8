package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	events     = 8
	eventPause = 30 * time.Millisecond
	workTime   = 15 * time.Millisecond
	slots      = 16
	// leaseTime is how long a node without contact serves, as the adapter derives it.
	leaseTime = 3 * time.Second
	// slack covers the delays of a busy machine between a clock reading here and the
	// event that it stands for.
	slack = 1500 * time.Millisecond
)

// book records what callers and upstreams see, and the promises that were broken.
type book struct {
	mu     sync.Mutex
	runs   map[string]int       // by attempt
	ran    map[string]time.Time // first run
	sent   map[string]time.Time // when the client sent the attempt
	key    map[string]string
	kind   map[string]string
	denied map[string]int // status of refusals that promise that nothing ran
	// served and asked count the requests with the key that is never taken away.
	served int
	asked  int
	broken []string
	acked  uint64
	// revoked is when the removal of the second key was acknowledged; zero while it is
	// allowed or its removal is on the way.
	revoked time.Time
	gone    map[string]time.Time // upstreams whose leaving was acknowledged
	windows map[uint64]string
	token   uint64
	holder  string
}

func newBook() *book {
	return &book{
		runs: map[string]int{}, ran: map[string]time.Time{}, sent: map[string]time.Time{}, key: map[string]string{}, kind: map[string]string{},
		denied: map[string]int{}, gone: map[string]time.Time{}, windows: map[uint64]string{},
	}
}

func (b *book) fault(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// upstream is a stand-in for a runner.
type upstream struct {
	id, address string
	book        *book
	places      chan struct{}
	born        int64
	server      *http.Server
	path        *proxy
	sequence    int
	leaving     bool
}

func newUpstream(t testing.TB, b *book, network byte, n int) *upstream {
	t.Helper()
	own := fmt.Sprintf("127.%d.2.%d:29000", network, n)
	u := &upstream{id: fmt.Sprint("u", n), address: fmt.Sprintf("127.%d.3.%d:29000", network, n), book: b, places: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", own)
	if err != nil {
		t.Fatal(err)
	}
	if u.path, err = newProxy(u.address, own); err != nil {
		t.Fatal(err)
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	t.Cleanup(func() { _ = u.server.Close(); _ = u.path.l.Close() })
	return u
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", attempt)
	if r.Header.Get("X-Expected-Runner") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.places <- struct{}{}:
		defer func() { <-u.places }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.begin(attempt, r, string(body))
	w.Header().Set("X-Runner-Signature", u.id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		u.stream(w, r, attempt)
		return
	}
	time.Sleep(workTime)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

func (u *upstream) begin(attempt string, r *http.Request, body string) {
	b, now := u.book, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[attempt]++
	if _, again := b.ran[attempt]; !again {
		b.ran[attempt] = now
	}
	sent, known := b.sent[attempt]
	switch {
	case !known:
		b.fault("%s ran %q, which no client sent", u.id, attempt)
	case r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != "tenant-"+b.key[attempt]:
		b.fault("%s ran %s for %q", u.id, attempt, r.Header.Get("X-Tenant"))
	case r.Method == http.MethodPost && body != "body of "+attempt:
		b.fault("%s ran %s with the body %q", u.id, attempt, body)
	case b.key[attempt] == "k2" && !b.revoked.IsZero() && sent.Sub(b.revoked) > revokeTime:
		b.fault("%s ran %s %v after its key was revoked", u.id, attempt, sent.Sub(b.revoked))
	}
	if left, ok := b.gone[u.id]; ok && now.Sub(left) > leaseTime+drainTime+slack {
		b.fault("%s ran %s %v after its leaving was acknowledged", u.id, attempt, now.Sub(left))
	}
}

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= events; i++ {
		_, _ = io.WriteString(w, event(attempt, i))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

func event(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)
}

// report sends one status report; true when it was acknowledged.
func (u *upstream) report(w *world, state string) bool {
	u.sequence++
	status := fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`, u.address, slots, state, u.sequence, u.born)
	code, _ := control(w, w.rngVoter(), http.MethodPut, "/runners/"+u.id, status)
	return code == http.StatusOK
}

func (w *world) rngVoter() int { return rand.IntN(voters) }

// control calls a voter's control API; code 0 for no answer.
func control(w *world, voter int, method, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", w.host(voter), controlPort, path), strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

func plan(version uint64, second bool) string {
	route := func(name, kind string, attempts int, resume bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":3000,"target_latency_ms":300,"service":"s","max_attempts":%d,"stream_resume":%v}`, name, name, kind, attempts, resume)
	}
	tenants := `{"name":"tenant-k1","api_keys":["k1"]}`
	if second {
		tenants += `,{"name":"tenant-k2","api_keys":["k2"]}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"s"}],"limits":{},"tenants":[%s]}`, version,
		route("book", "non_idempotent", 1, false), route("look", "idempotent", 2, false), route("chat", "streaming", 2, true), tenants)
}

// operate changes the plan again and again, adding and removing the second key.
func (b *book) operate(ctx context.Context, w *world) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		second := version%2 == 0
		if second {
			b.mu.Lock()
			b.revoked = time.Time{}
			b.mu.Unlock()
		}
		b.put(ctx, w, version, second)
		sleep(ctx, 500*time.Millisecond+rand.N(2*time.Second))
		if !second {
			sleep(ctx, revokeTime) // the key stays away long enough to be missed
		}
	}
}

// put sends a plan until it is acknowledged.
func (b *book) put(ctx context.Context, w *world, version uint64, second bool) {
	for ctx.Err() == nil {
		if code, _ := control(w, w.rngVoter(), http.MethodPut, "/config", plan(version, second)); code == http.StatusOK {
			b.mu.Lock()
			b.acked = version
			if !second {
				b.revoked = time.Now()
			}
			b.mu.Unlock()
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// read checks that no voter answers with an older plan than one acknowledged before.
func (b *book) read(ctx context.Context, w *world) {
	for ctx.Err() == nil {
		b.mu.Lock()
		acked := b.acked
		b.mu.Unlock()
		voter := w.rngVoter()
		if code, text := control(w, voter, http.MethodGet, "/config", ""); code == http.StatusOK {
			var got struct {
				Version uint64 `json:"version"`
			}
			if err := json.Unmarshal(text, &got); err != nil || got.Version < acked {
				b.mu.Lock()
				b.fault("voter %d answered plan %d (%v) after %d was acknowledged", voter, got.Version, err, acked)
				b.mu.Unlock()
			}
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// client sends requests over kept connections until ctx ends.
func (b *book) client(ctx context.Context, w *world, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("c%d-%d", number, i)
		kind, method := []string{"book", "look", "chat"}[rand.IntN(3)], http.MethodPost
		if kind == "look" {
			method = http.MethodGet
		}
		key := "k1"
		if rand.IntN(3) == 0 {
			key = "k2"
		}
		b.mu.Lock()
		b.sent[attempt], b.key[attempt], b.kind[attempt] = time.Now(), key, kind
		if key == "k1" {
			b.asked++
		}
		b.mu.Unlock()
		b.call(w, transport, method, kind, key, attempt)
		sleep(ctx, rand.N(60*time.Millisecond))
	}
}

func (b *book) call(w *world, transport http.RoundTripper, method, kind, key, attempt string) {
	body := io.Reader(http.NoBody)
	if method == http.MethodPost {
		body = strings.NewReader("body of " + attempt)
	}
	entry := voters + rand.IntN(entries)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/%s/x", w.host(entry), clientPort, kind), body)
	if err != nil {
		return
	}
	r.Host, r.GetBody = "h.example", nil
	for name, value := range map[string]string{"X-Attempt-Id": attempt, "X-Deadline-Ms": "3000", "Authorization": "Bearer " + key} {
		r.Header.Set(name, value)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return // a closed connection promises nothing
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		b.answered(resp, kind, attempt, text, err)
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		b.denied[attempt] = resp.StatusCode
	case http.StatusUnauthorized:
		if key == "k1" {
			b.fault("%s was refused as unknown, though its key was never taken away", attempt)
		}
	case http.StatusNotFound:
		b.fault("%s was refused as unknown, though its route was never taken away", attempt)
	}
}

// answered checks a success. A stream that ended early is no success.
func (b *book) answered(resp *http.Response, kind, attempt string, text []byte, err error) {
	want := []byte("answer to " + attempt)
	if kind == "chat" {
		want = nil
		for i := 1; i <= events; i++ {
			want = append(want, event(attempt, i)...)
		}
	}
	switch {
	case err != nil && !bytes.HasPrefix(want, text):
		b.fault("%s got the broken answer %q", attempt, text)
	case err != nil:
	case !bytes.Equal(text, want) || resp.Header.Get("X-Runner-Signature") == "":
		b.fault("%s got %q, signed %q", attempt, text, resp.Header.Get("X-Runner-Signature"))
	case b.key[attempt] == "k1":
		b.served++
	}
}

// platform takes usage reports, as the users' platform does.
func (b *book) platform(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	text, rerr := io.ReadAll(r.Body)
	if err != nil || rerr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var u struct {
		Window uint64 `json:"window_number"`
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	holder := r.Header.Get("X-Duty-Holder")
	switch {
	case json.Unmarshal(text, &u) != nil:
		w.WriteHeader(http.StatusBadRequest)
	case token < b.token:
		w.WriteHeader(http.StatusConflict)
	case token == b.token && holder != b.holder:
		b.fault("%s and %s used the fencing token %d", b.holder, holder, token)
	default:
		b.token, b.holder = token, holder
		if first, ok := b.windows[u.Window]; ok && first != string(text) {
			b.fault("window %d was reported as %s and as %s", u.Window, first, text)
		}
		b.windows[u.Window] = string(text)
	}
}

// settle checks what holds only once everything has ended.
func (b *book) settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for attempt, n := range b.runs {
		if n > 1 && b.kind[attempt] == "book" {
			b.fault("booking %s ran %d times", attempt, n)
		}
		if status, ok := b.denied[attempt]; ok && b.kind[attempt] == "book" {
			b.fault("booking %s was refused with %d and ran", attempt, status)
		}
	}
}
