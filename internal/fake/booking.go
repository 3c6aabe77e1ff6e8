package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Booking is a stand-in for a booking service. It does not deduplicate: it executes every
// request that it receives, even if the idempotency key was used before, so that tests
// can count duplicate executions.
type Booking struct {
	mu   sync.Mutex
	runs map[string]int
}

// Booked is the response to a booking request.
type Booked struct {
	Booking int    `json:"booking"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// Handler returns the service's routes: POST /bookings creates a booking,
// GET /bookings/KEY reports whether the key was booked, and GET /availability returns
// an empty list.
func (b *Booking) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", b.book).Methods(http.MethodPost)
	r.HandleFunc("/bookings/{key}", b.status).Methods(http.MethodGet)
	r.HandleFunc("/availability", b.availability).Methods(http.MethodGet)
	return r
}

// Runs returns how many bookings were executed for a key.
func (b *Booking) Runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

func (b *Booking) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[key]++
	n := len(b.runs)
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Booked{Booking: n, Key: key, Body: string(body)})
}

func (b *Booking) status(w http.ResponseWriter, r *http.Request) {
	if b.Runs(mux.Vars(r)["key"]) == 0 {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (b *Booking) availability(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"free":[]}`)
}
