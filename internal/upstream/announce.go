package upstream

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

// MaxAnnounceBytes is the maximum size of an announcement's body.
const MaxAnnounceBytes = 64 << 10

// AnnounceAPI is the HTTP API by which upstreams announce themselves.
type AnnounceAPI struct {
	// HandleAnnounce records an announcement. It returns the address to send the next one
	// to (empty for the same address) and the time until then.
	HandleAnnounce func(now time.Time, a wire.Announce) (next string, interval time.Duration)
	Tokens         bearer.Tokens
	Log            logrus.FieldLogger
	Now            func() time.Time
}

// Handler returns the API's routes.
func (s *AnnounceAPI) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/announce", s.announce).Methods(http.MethodPost)
	return r
}

func (s *AnnounceAPI) announce(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.Tokens.Holder(r); !ok {
		event.With(s.Log, event.AnnounceRefused).WithField("remote", r.RemoteAddr).Warn("announcement without a valid token rejected")
		http.Error(w, "a valid bearer token is required", http.StatusUnauthorized)
		return
	}
	var a wire.Announce
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAnnounceBytes)).Decode(&a); err != nil {
		http.Error(w, "the announcement is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(a.ID, "/") {
		http.Error(w, "the id of an upstream holds no slash", http.StatusBadRequest)
		return
	}
	if a.ID == "" || a.Address == "" || a.Domain == "" || a.VM == "" {
		http.Error(w, "id, address, domain and vm are required", http.StatusBadRequest)
		return
	}
	next, interval := s.HandleAnnounce(s.Now(), a)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.Announced{Owner: next, Interval: uint64(interval.Milliseconds())})
}
