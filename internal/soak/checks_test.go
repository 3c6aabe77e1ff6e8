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
	eventCount    = 8
	eventInterval = 30 * time.Millisecond
	workTime      = 15 * time.Millisecond
	slotCount     = 16
	// leaseTime is how long a node without contact to the voters keeps serving, as the
	// platform adapter derives it from the settings.
	leaseTime = 3 * time.Second
	// slack is the tolerance for delays on a busy machine between an event and the moment
	// at which the test takes its time.
	slack = 1500 * time.Millisecond
)

// history records what clients, upstreams and the platform observe, and the violations
// of the system's guarantees.
type history struct {
	mu sync.Mutex
	// The maps from runs to refusedWith are keyed by attempt ID.
	runs        map[string]int
	firstRun    map[string]time.Time // time of the first run
	sentAt      map[string]time.Time // time when the client sent the attempt
	keyOf       map[string]string
	kindOf      map[string]string
	refusedWith map[string]int // status code of a refusal, which guarantees that nothing ran
	// served and requested count the requests with the key that is never revoked.
	served           int
	requested        int
	violations       []string
	ackedPlanVersion uint64
	// revokedAt is when the revocation of the second key was acknowledged; zero while the
	// key is valid or its revocation is not yet acknowledged.
	revokedAt    time.Time
	drainAckedAt map[string]time.Time // when an upstream's draining report was acknowledged
	usageReports map[uint64]string
	fencingToken uint64
	dutyHolder   string
}

func newHistory() *history {
	return &history{
		runs: map[string]int{}, firstRun: map[string]time.Time{}, sentAt: map[string]time.Time{},
		keyOf: map[string]string{}, kindOf: map[string]string{},
		refusedWith: map[string]int{}, drainAckedAt: map[string]time.Time{}, usageReports: map[uint64]string{},
	}
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// upstream is a stand-in for an upstream, which the platform's API calls a runner. It
// checks each request that it runs against the history.
type upstream struct {
	id, address   string
	history       *history
	slots         chan struct{}
	startedMillis int64
	server        *http.Server
	proxy         *proxy
	sequence      int
	draining      bool
}

func newUpstream(t testing.TB, h *history, network byte, n int) *upstream {
	t.Helper()
	listenAddress := fmt.Sprintf("127.%d.2.%d:29000", network, n)
	u := &upstream{
		id: fmt.Sprint("u", n), address: fmt.Sprintf("127.%d.3.%d:29000", network, n), history: h,
		slots: make(chan struct{}, slotCount), startedMillis: time.Now().UnixMilli(),
	}
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	if u.proxy, err = newProxy(u.address, listenAddress); err != nil {
		t.Fatal(err)
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	t.Cleanup(func() { _ = u.server.Close(); _ = u.proxy.listener.Close() })
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
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.recordRun(attempt, r, string(body))
	w.Header().Set("X-Runner-Signature", u.id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		u.stream(w, r, attempt)
		return
	}
	time.Sleep(workTime)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

func (u *upstream) recordRun(attempt string, r *http.Request, body string) {
	h, now := u.history, time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[attempt]++
	if _, seen := h.firstRun[attempt]; !seen {
		h.firstRun[attempt] = now
	}
	sent, known := h.sentAt[attempt]
	switch {
	case !known:
		h.addViolation("%s ran %q, which no client sent", u.id, attempt)
	case r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != "tenant-"+h.keyOf[attempt]:
		h.addViolation("%s ran %s with an Authorization header or for the wrong tenant %q", u.id, attempt, r.Header.Get("X-Tenant"))
	case r.Method == http.MethodPost && body != "body of "+attempt:
		h.addViolation("%s ran %s with the wrong body %q", u.id, attempt, body)
	case h.keyOf[attempt] == "k2" && !h.revokedAt.IsZero() && sent.Sub(h.revokedAt) > revokeTimeout:
		h.addViolation("%s ran %s %v after its key was revoked", u.id, attempt, sent.Sub(h.revokedAt))
	}
	if drainAckedAt, ok := h.drainAckedAt[u.id]; ok && now.Sub(drainAckedAt) > leaseTime+drainTimeout+slack {
		h.addViolation("%s ran %s %v after its draining report was acknowledged", u.id, attempt, now.Sub(drainAckedAt))
	}
}

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := lastEvent + 1; i <= eventCount; i++ {
		_, _ = io.WriteString(w, event(attempt, i))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

func event(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)
}

// reportState sends one status report and reports whether it was acknowledged.
func (u *upstream) reportState(c *cluster, state string) bool {
	u.sequence++
	status := fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`, u.address, slotCount, state, u.sequence, u.startedMillis)
	code, _ := callControl(c, c.randomVoter(), http.MethodPut, "/runners/"+u.id, status)
	return code == http.StatusOK
}

func (c *cluster) randomVoter() int {
	members := c.members(true)
	return members[rand.IntN(len(members))]
}

// callControl calls a voter's control API and returns the status code and body. The code
// is 0 if there was no response.
func callControl(c *cluster, voter int, method, path, body string) (int, []byte) {
	return callControlWithin(time.Second, c, voter, method, path, body)
}

func callControlWithin(timeout time.Duration, c *cluster, voter int, method, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", c.host(voter), controlPort, path), strings.NewReader(body))
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

func planJSON(version uint64, withSecondKey bool) string {
	route := func(name, kind string, attempts int, resume bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":3000,"target_latency_ms":300,"service":"s","max_attempts":%d,"stream_resume":%v}`, name, name, kind, attempts, resume)
	}
	tenants := `{"name":"tenant-k1","api_keys":["k1"]}`
	if withSecondKey {
		tenants += `,{"name":"tenant-k2","api_keys":["k2"]}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"s"}],"limits":{},"tenants":[%s]}`, version,
		route("book", "non_idempotent", 1, false), route("look", "idempotent", 2, false), route("chat", "streaming", 2, true), tenants)
}

// changePlan changes the plan until ctx is done. Its versions add and revoke the second
// key in turn.
func (h *history) changePlan(ctx context.Context, c *cluster) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		withSecondKey := version%2 == 0
		if withSecondKey {
			h.mu.Lock()
			h.revokedAt = time.Time{}
			h.mu.Unlock()
		}
		h.putPlan(ctx, c, version, withSecondKey)
		sleep(ctx, 500*time.Millisecond+rand.N(2*time.Second))
		if !withSecondKey {
			sleep(ctx, revokeTimeout) // the key stays revoked until every node must refuse it
		}
	}
}

// putPlan sends a plan until it is acknowledged.
func (h *history) putPlan(ctx context.Context, c *cluster, version uint64, withSecondKey bool) {
	for ctx.Err() == nil {
		if code, _ := callControl(c, c.randomVoter(), http.MethodPut, "/config", planJSON(version, withSecondKey)); code == http.StatusOK {
			h.mu.Lock()
			h.ackedPlanVersion = version
			if !withSecondKey {
				h.revokedAt = time.Now()
			}
			h.mu.Unlock()
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// checkPlanReads reads the plan from random voters until ctx is done. It checks that none
// returns an older plan than the last one acknowledged before the read.
func (h *history) checkPlanReads(ctx context.Context, c *cluster) {
	for ctx.Err() == nil {
		h.mu.Lock()
		acked := h.ackedPlanVersion
		h.mu.Unlock()
		voter := c.randomVoter()
		if code, text := callControl(c, voter, http.MethodGet, "/config", ""); code == http.StatusOK {
			var got struct {
				Version uint64 `json:"version"`
			}
			if err := json.Unmarshal(text, &got); err != nil || got.Version < acked {
				h.mu.Lock()
				h.addViolation("voter %d returned plan version %d (%v) after version %d was acknowledged", voter, got.Version, err, acked)
				h.mu.Unlock()
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

// runClient sends requests over persistent connections until ctx is done.
func (h *history) runClient(ctx context.Context, c *cluster, clientNumber int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("c%d-%d", clientNumber, i)
		kind, method := []string{"book", "look", "chat"}[rand.IntN(3)], http.MethodPost
		if kind == "look" {
			method = http.MethodGet
		}
		key := "k1"
		if rand.IntN(3) == 0 {
			key = "k2"
		}
		h.mu.Lock()
		h.sentAt[attempt], h.keyOf[attempt], h.kindOf[attempt] = time.Now(), key, kind
		if key == "k1" {
			h.requested++
		}
		h.mu.Unlock()
		h.sendRequest(c, transport, method, kind, key, attempt)
		sleep(ctx, rand.N(60*time.Millisecond))
	}
}

func (h *history) sendRequest(c *cluster, transport http.RoundTripper, method, kind, key, attempt string) {
	body := io.Reader(http.NoBody)
	if method == http.MethodPost {
		body = strings.NewReader("body of " + attempt)
	}
	entry := voters + rand.IntN(entryNodes)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/%s/x", c.host(entry), clientPort, kind), body)
	if err != nil {
		return
	}
	r.Host, r.GetBody = "h.example", nil
	for name, value := range map[string]string{"X-Attempt-Id": attempt, "X-Deadline-Ms": "3000", "Authorization": "Bearer " + key} {
		r.Header.Set(name, value)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return // a failed connection does not show whether the request ran
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		h.checkAnswer(resp, kind, attempt, answer, err)
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		h.refusedWith[attempt] = resp.StatusCode
	case http.StatusUnauthorized:
		if key == "k1" {
			h.addViolation("%s got 401 although its key was never revoked", attempt)
		}
	case http.StatusNotFound:
		h.addViolation("%s got 404 although its route was never removed", attempt)
	}
}

// checkAnswer checks a response with status 200. readErr is the error of reading its body,
// if any: the text must then be a prefix of the full response, and the request does not
// count as served.
func (h *history) checkAnswer(resp *http.Response, kind, attempt string, text []byte, readErr error) {
	want := []byte("answer to " + attempt)
	if kind == "chat" {
		want = nil
		for i := 1; i <= eventCount; i++ {
			want = append(want, event(attempt, i)...)
		}
	}
	switch {
	case readErr != nil && !bytes.HasPrefix(want, text):
		h.addViolation("%s got the corrupt partial response %q", attempt, text)
	case readErr != nil:
	case !bytes.Equal(text, want) || resp.Header.Get("X-Runner-Signature") == "":
		h.addViolation("%s got a wrong or unsigned response: %q, signature %q", attempt, text, resp.Header.Get("X-Runner-Signature"))
	case h.keyOf[attempt] == "k1":
		h.served++
	}
}

// acceptUsageReport accepts usage reports as the platform does: it refuses a fencing token
// older than the newest one. It checks that no two holders use the same token and that no
// usage window is reported with two different contents.
func (h *history) acceptUsageReport(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	text, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var report struct {
		Window uint64 `json:"window_number"`
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	holder := r.Header.Get("X-Duty-Holder")
	switch {
	case json.Unmarshal(text, &report) != nil:
		w.WriteHeader(http.StatusBadRequest)
	case token < h.fencingToken:
		w.WriteHeader(http.StatusConflict)
	case token == h.fencingToken && holder != h.dutyHolder:
		h.addViolation("%s and %s both used the fencing token %d", h.dutyHolder, holder, token)
	default:
		h.fencingToken, h.dutyHolder = token, holder
		if earlier, ok := h.usageReports[report.Window]; ok && earlier != string(text) {
			h.addViolation("usage window %d was reported with different contents: %s and %s", report.Window, earlier, text)
		}
		h.usageReports[report.Window] = string(text)
	}
}

// checkBookings checks that no booking ran twice and that no refused booking ran. It must
// be called after all requests have ended.
func (h *history) checkBookings() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for attempt, n := range h.runs {
		if n > 1 && h.kindOf[attempt] == "book" {
			h.addViolation("booking %s ran %d times", attempt, n)
		}
		if status, ok := h.refusedWith[attempt]; ok && h.kindOf[attempt] == "book" {
			h.addViolation("booking %s was refused with %d but ran", attempt, status)
		}
	}
}
