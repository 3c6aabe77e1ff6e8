package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// inForceTimeout limits how long one request waits for a version to be in force.
const inForceTimeout = 10 * time.Second

// InForceStatus reports whether every node with a session applies a version.
type InForceStatus struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"force"`
}

// listHistory lists the retained changes of the configuration after a version.
func (s *Server) listHistory(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "since must be a version of the configuration")
			return
		}
		since = n
	}
	records, err := s.State.History(r.Context(), since)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, records)
}

// waitInForce waits up to inForceTimeout for a version to be in force on every node with
// a session.
func (s *Server) waitInForce(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "version must be a version of the configuration")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), inForceTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, InForceStatus{Version: version, InForce: s.State.WaitInForce(ctx, version) == nil})
}
