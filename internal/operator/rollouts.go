package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/pkg/rollout"
)

// Rollouts starts, rolls back and lists rollouts.
type Rollouts interface {
	Start(ctx context.Context, req rollouts.StartRequest) (rollout.Rollout, error)
	Rollback(ctx context.Context, service, author string) (rollout.Rollout, error)
	List() ([]rollouts.Status, error)
}

func (s *Server) registerRolloutRoutes(r *mux.Router) {
	r.HandleFunc("/v1/rollouts", s.listRollouts).Methods(http.MethodGet)
	r.HandleFunc("/v1/rollouts", s.startRollout).Methods(http.MethodPost)
	r.HandleFunc("/v1/rollouts/{service}/undo", s.rollbackRollout).Methods(http.MethodPost)
}

func (s *Server) listRollouts(w http.ResponseWriter, _ *http.Request) {
	list, err := s.Rollouts.List()
	writeRollout(w, list, err)
}

func (s *Server) startRollout(w http.ResponseWriter, r *http.Request) {
	var req rollouts.StartRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "the order is not valid JSON: "+err.Error())
		return
	}
	if req.ID == "" || req.Service == "" || req.To == "" || req.Deadline.IsZero() {
		writeError(w, http.StatusBadRequest, "id, service, to and by are required")
		return
	}
	started, err := s.Rollouts.Start(r.Context(), req)
	writeRollout(w, started, err)
}

func (s *Server) rollbackRollout(w http.ResponseWriter, r *http.Request) {
	holder, _ := s.Tokens.Holder(r)
	result, err := s.Rollouts.Rollback(r.Context(), mux.Vars(r)["service"], holder)
	writeRollout(w, result, err)
}

func writeRollout(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.Is(err, rollouts.ErrNotFound):
		writeError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, rollout.ErrRules):
		writeError(w, http.StatusBadRequest, err.Error())
	case errors.Is(err, rollouts.ErrConflict), errors.Is(err, rollout.ErrRunning), errors.Is(err, rollout.ErrBadVersion), errors.Is(err, rollout.ErrEnded):
		writeError(w, http.StatusConflict, err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	}
}
