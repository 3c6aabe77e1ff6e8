package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

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

// Limits on an announcement. One beyond them is not an upstream's.
const (
	maxTextBytes = 256
	maxSlots     = 1 << 20
	// maxCount keeps sums of loads within an int64.
	maxCount = 1 << 53
	// maxIncarnation leaves room above the present time in nanoseconds. A larger one would
	// outdate every later announcement of the upstream.
	maxIncarnation = 1 << 62
	// maxAmount bounds the price per hour and the seconds until the VM is reclaimed.
	maxAmount = 1e9
)

// check returns an error if no upstream can have sent an announcement.
func check(a wire.Announce) error {
	if strings.Contains(a.ID, "/") {
		return errors.New("the id of an upstream holds no slash")
	}
	if a.ID == "" || a.Address == "" || a.Domain == "" || a.VM == "" {
		return errors.New("id, address, domain and vm are required")
	}
	if strings.ContainsFunc(a.ID, func(c rune) bool { return unicode.IsControl(c) || unicode.IsSpace(c) }) {
		return fmt.Errorf("id %.64q holds a space or a control character", a.ID)
	}
	for name, text := range map[string]string{"id": a.ID, "address": a.Address, "domain": a.Domain, "vm": a.VM, "class": a.Class} {
		if len(text) > maxTextBytes {
			return fmt.Errorf("%s has %d bytes, more than %d", name, len(text), maxTextBytes)
		}
	}
	_, port, err := net.SplitHostPort(a.Address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 {
		return fmt.Errorf("address %q has no host and port between 1 and 65535", a.Address)
	}
	if a.Incarnation > maxIncarnation || a.Sequence > maxIncarnation {
		return fmt.Errorf("incarnation %d or sequence %d is too large", a.Incarnation, a.Sequence)
	}
	if a.Limit > maxSlots || max(a.Load.Running, a.Load.Waiting, a.Load.Tokens, a.Load.Capacity) > maxCount {
		return errors.New("limit or load is too large")
	}
	if math.Abs(a.Price) > maxAmount || math.Abs(a.Reclaim) > maxAmount {
		return errors.New("price or reclaim is too large")
	}
	return nil
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
	if err := check(a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	next, interval := s.HandleAnnounce(s.Now(), a)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.Announced{Owner: next, Interval: uint64(interval.Milliseconds())})
}
