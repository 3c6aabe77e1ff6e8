package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Problem is the body of a refusal, of type application/problem+json.
type Problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail"`
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
}

// newProblem returns the document for an error.
func newProblem(e *verdict.Error) Problem {
	return Problem{
		Type: "urn:jaystage:problem:" + string(e.Code), Title: http.StatusText(e.Status),
		Status: e.Status, Detail: e.Detail, Code: e.Code, Verdict: e.Verdict.String(),
	}
}

func writeProblem(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(newProblem(e))
}

// writeStreamError ends a stream of server-sent events that cannot be completed,
// with the problem as an error object. There is no [DONE] after it.
func writeStreamError(w http.ResponseWriter, e *verdict.Error) {
	body, err := json.Marshal(struct {
		Error Problem `json:"error"`
	}{newProblem(e)})
	if err != nil {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	_ = control.Flush()
}
