// Package operator implements the HTTP API for operators and its client.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/wire"
)

const maxBodyBytes = 4 << 20

// State gives access to the replicated state.
type State interface {
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	// View returns the view in force on this node and reports whether the node's session
	// lease is valid.
	View(now time.Time) (*config.View, bool)
	// WaitInForce waits until every node with a session has the version in force. It
	// returns an error if ctx ends first.
	WaitInForce(ctx context.Context, version uint64) error
	// History returns the retained changes after a version.
	History(ctx context.Context, version uint64) ([]wire.Record, error)
	// ChangeVoters changes the membership of the Raft group by one step.
	ChangeVoters(ctx context.Context, v wire.Voters) error
}

// Upstreams lists the upstreams in a node's registry.
type Upstreams interface {
	List() []upstream.Entry
}

// Server implements the operators' API of one node.
type Server struct {
	State     State
	Upstreams Upstreams
	Rollouts  Rollouts
	Events    *event.Ring
	// Vars are the expvar variables of the node. /debug/vars adds them to the global ones
	// of the process.
	Vars   map[string]expvar.Var
	Tokens bearer.Tokens
	Log    logrus.FieldLogger
	Now    func() time.Time
}

// Handler returns a handler for the API's routes. Every route requires an operator's
// bearer token.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Use(s.authorize)
	r.HandleFunc("/v1/config", s.showConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/changes", s.applyChange).Methods(http.MethodPost)
	r.HandleFunc("/v1/voters", s.changeVoters).Methods(http.MethodPost)
	r.HandleFunc("/v1/upstreams", s.listUpstreams).Methods(http.MethodGet)
	s.registerRolloutRoutes(r)
	r.HandleFunc("/v1/events", s.listEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/history", s.listHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/in-force", s.waitInForce).Methods(http.MethodGet)
	r.HandleFunc("/debug/vars", s.showVars).Methods(http.MethodGet)
	return r
}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.Tokens.Holder(r); !ok {
			event.With(s.Log, event.OperatorRefused).WithField("remote", r.RemoteAddr).Warn("refused operator request without a valid token")
			writeError(w, http.StatusUnauthorized, "an operator's bearer token is required")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) showConfig(w http.ResponseWriter, _ *http.Request) {
	view, _ := s.State.View(s.Now())
	writeJSON(w, http.StatusOK, view)
}

func (s *Server) applyChange(w http.ResponseWriter, r *http.Request) {
	var c wire.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "the change is not valid JSON: "+err.Error())
		return
	}
	if c.ID == "" {
		writeError(w, http.StatusBadRequest, "a change needs an id, so that it can be sent again after a lost answer")
		return
	}
	c.Author, _ = s.Tokens.Holder(r)
	view, _ := s.State.View(s.Now())
	if err := errors.Join(setDrainAuthors(c), rejectVersionChanges(view, c)); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	result, err := s.State.Change(r.Context(), c)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	status := http.StatusOK
	if len(result.Conflict) > 0 {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

// setDrainAuthors sets the author of each drain in the change to the holder of the
// request's token, so that an operator cannot set a drain under another name.
func setDrainAuthors(c wire.Change) error {
	for i, item := range c.Items {
		if item.Deleted || !strings.HasPrefix(item.Key, config.PrefixDrainDomain) && !strings.HasPrefix(item.Key, config.PrefixDrainUpstream) {
			continue
		}
		var d config.Drain
		if err := json.Unmarshal(item.Value, &d); err != nil {
			return fmt.Errorf("%s is not a drain: %w", item.Key, err)
		}
		d.Author = c.Author
		value, err := json.Marshal(d)
		if err != nil {
			return err
		}
		c.Items[i].Value = value
	}
	return nil
}

// rejectVersionChanges rejects a change of an existing service's version. Versions
// change only by rollouts; otherwise a configuration file written before a rollout
// would revert it.
func rejectVersionChanges(view *config.View, c wire.Change) error {
	var errs error
	for _, item := range c.Items {
		name, found := strings.CutPrefix(item.Key, config.PrefixService)
		old, known := view.Services[name]
		if !found || !known || item.Deleted {
			continue
		}
		var next config.Service
		if err := json.Unmarshal(item.Value, &next); err != nil {
			return fmt.Errorf("%s is not a service: %w", item.Key, err)
		}
		if next.Version != old.Version {
			errs = errors.Join(errs, fmt.Errorf("service %q runs version %q, the change says %q; write %q, or move the traffic with jaystage rollout start --to %s",
				name, old.Version, next.Version, old.Version, next.Version))
		}
	}
	return errs
}

func (s *Server) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Upstreams.List())
}

func (s *Server) listEvents(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "since must be the sequence number of an event")
			return
		}
		since = n
	}
	writeJSON(w, http.StatusOK, s.Events.Since(since))
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, ErrorResponse{Error: text})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
