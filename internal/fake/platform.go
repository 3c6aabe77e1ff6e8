package fake

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/jaystage/jaystage/internal/cloud"
)

// Platform is a stand-in for the cloud platform's API on a loopback socket. Its clock
// advances only through Advance.
type Platform struct {
	// URL is the base URL of the API.
	URL string

	server *httptest.Server
	token  string

	mu          sync.Mutex
	now         time.Time
	vms         map[string]*vm
	orders      map[string]string
	prices      []cloud.Price
	refuse      func(cloud.StartRequest) bool
	newestToken uint64
	dropsLeft   int
	hangsLeft   int
	release     chan struct{}
}

type vm struct {
	cloud.VM
	reclaimAt time.Time
}

// NewPlatform starts a platform that accepts the bearer token and offers the prices.
func NewPlatform(token string, prices []cloud.Price) *Platform {
	p := &Platform{
		token: token, prices: slices.Clone(prices), vms: make(map[string]*vm), orders: make(map[string]string),
		now: time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC), release: make(chan struct{}),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", p.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms", p.start).Methods(http.MethodPost)
	r.HandleFunc("/v1/vms/{id}", p.stop).Methods(http.MethodDelete)
	r.HandleFunc("/v1/prices", p.listPrices).Methods(http.MethodGet)
	r.HandleFunc("/v1/notices", p.notices).Methods(http.MethodGet)
	p.server = httptest.NewServer(p.middleware(r))
	p.URL = p.server.URL
	return p
}

// Close shuts the platform down and aborts all hanging responses.
func (p *Platform) Close() {
	close(p.release)
	p.server.Close()
}

// RefuseStarts sets the function that reports whether to refuse a start; nil refuses
// none. A repeated order whose VM exists is never refused.
func (p *Platform) RefuseStarts(f func(cloud.StartRequest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = f
}

// DropResponses makes the next n calls take effect but closes their connections without
// a response.
func (p *Platform) DropResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropsLeft = n
}

// HangResponses makes the next n calls take effect but keeps their connections open
// without a response until Close.
func (p *Platform) HangResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hangsLeft = n
}

// Reclaim gives notice that all reclaimable VMs in a failure domain will be reclaimed
// when the notice period ends.
func (p *Platform) Reclaim(domain string, notice time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.vms {
		if v.Domain == domain && v.Reclaimable && v.reclaimAt.IsZero() {
			v.reclaimAt = p.now.Add(notice)
		}
	}
}

// Advance advances the clock and removes the VMs whose notice period has ended.
func (p *Platform) Advance(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = p.now.Add(d)
	maps.DeleteFunc(p.vms, func(_ string, v *vm) bool { return !v.reclaimAt.IsZero() && !p.now.Before(v.reclaimAt) })
}

// VMCount returns the number of VMs that have not ended.
func (p *Platform) VMCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.vms)
}

// middleware checks the bearer token, lets the call take effect and then injects the faults
// set by DropResponses and HangResponses.
func (p *Platform) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+p.token {
			writeProblem(w, http.StatusUnauthorized, "unauthenticated", "unknown token")
			return
		}
		rec := httptest.NewRecorder()
		next.ServeHTTP(rec, r)
		p.mu.Lock()
		drop, hang := p.dropsLeft > 0, p.hangsLeft > 0
		p.dropsLeft, p.hangsLeft = max(0, p.dropsLeft-1), max(0, p.hangsLeft-1)
		p.mu.Unlock()
		if hang {
			<-p.release
		}
		if drop || hang {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
}

func writeProblem(w http.ResponseWriter, status int, code, detail string) {
	writeJSON(w, status, cloud.Problem{Code: code, Detail: detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []cloud.VM{}
	for _, id := range slices.Sorted(maps.Keys(p.vms)) {
		out = append(out, p.vms[id].VM)
	}
	writeJSON(w, http.StatusOK, out)
}

func (p *Platform) start(w http.ResponseWriter, r *http.Request) {
	var s cloud.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil || s.OrderID == "" {
		writeProblem(w, http.StatusBadRequest, "bad-request", "a start needs an order id")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checkFencingToken(w, s.FencingToken) {
		return
	}
	if id, ok := p.orders[s.OrderID]; ok {
		v, running := p.vms[id]
		if !running {
			writeProblem(w, http.StatusGone, "gone", "the VM of this order has ended")
			return
		}
		writeJSON(w, http.StatusOK, v.VM)
		return
	}
	i := slices.IndexFunc(p.prices, func(q cloud.Price) bool {
		return q.Class == s.Class && q.Domain == s.Domain && q.Reclaimable == s.Reclaimable
	})
	if i < 0 || (p.refuse != nil && p.refuse(s)) {
		writeProblem(w, http.StatusConflict, "refused", fmt.Sprintf("no %s in %s", s.Class, s.Domain))
		return
	}
	v := &vm{VM: cloud.VM{
		ID: "vm-" + strconv.Itoa(len(p.orders)+1), OrderID: s.OrderID, Class: s.Class, Domain: s.Domain,
		Reclaimable: s.Reclaimable, Pool: s.Pool, State: "running", Started: p.now.UnixMilli(), HourlyPrice: p.prices[i].HourlyPrice,
	}}
	p.vms[v.ID], p.orders[s.OrderID] = v, v.ID
	writeJSON(w, http.StatusCreated, v.VM)
}

// checkFencingToken refuses a token that is older than the newest one received.
func (p *Platform) checkFencingToken(w http.ResponseWriter, token uint64) bool {
	if token < p.newestToken {
		writeProblem(w, http.StatusConflict, "fenced", fmt.Sprintf("token %d is older than %d", token, p.newestToken))
		return false
	}
	p.newestToken = token
	return true
}

func (p *Platform) stop(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.URL.Query().Get("fencing"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad-request", "a stop needs a fencing token")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checkFencingToken(w, token) {
		return
	}
	id := mux.Vars(r)["id"]
	if _, ok := p.vms[id]; !ok {
		writeProblem(w, http.StatusNotFound, "not-found", "no such VM")
		return
	}
	delete(p.vms, id)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) listPrices(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.prices)
}

func (p *Platform) notices(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []cloud.Notice{}
	for _, id := range slices.Sorted(maps.Keys(p.vms)) {
		if v := p.vms[id]; !v.reclaimAt.IsZero() {
			out = append(out, cloud.Notice{VM: id, SecondsLeft: v.reclaimAt.Sub(p.now).Seconds()})
		}
	}
	writeJSON(w, http.StatusOK, out)
}
