package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/problem"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// Problem is the body of an error response, of type application/problem+json.
type Problem = problem.Document

func newProblem(e *verdict.Error) Problem { return problem.New(e) }

func writeProblem(w http.ResponseWriter, e *verdict.Error) {
	problem.Write(w, e, problem.WholeSeconds)
}

// writeStreamError ends an incomplete stream of server-sent events with the
// problem as an error object. No [DONE] event follows it.
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
