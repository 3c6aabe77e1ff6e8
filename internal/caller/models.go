package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/jaystage/jaystage/pkg/verdict"
)

func (a *API) models(w http.ResponseWriter, r *http.Request) {
	view, _, err := a.authorize(r, a.Now())
	if err != nil {
		writeProblem(w, verdict.From(err))
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}
	list := make([]model, 0, len(view.Models))
	for name, service := range view.Models {
		list = append(list, model{ID: name, Object: "model", Owner: service})
	}
	slices.SortFunc(list, func(x, y model) int { return strings.Compare(x.ID, y.ID) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}
