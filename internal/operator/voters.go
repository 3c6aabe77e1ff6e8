package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// changeVotersTimeout limits the wait for one membership change.
const changeVotersTimeout = 10 * time.Second

// changeVoters adds a learner to the Raft group, promotes a learner or removes a
// member. A lost voter is replaced in three steps: start the new one with an empty data
// directory, add it as a learner, and promote it once it has all committed entries.
func (s *Server) changeVoters(w http.ResponseWriter, r *http.Request) {
	var v wire.Voters
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&v); err != nil {
		writeError(w, http.StatusBadRequest, "the request is not valid JSON: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeVotersTimeout)
	defer cancel()
	if err := s.State.ChangeVoters(ctx, v); err != nil {
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// ChangeVoters changes the membership of the Raft group by one step.
func (c *Client) ChangeVoters(ctx context.Context, v wire.Voters) error {
	var result wire.Voters
	return c.call(ctx, http.MethodPost, "/v1/voters", v, &result)
}
