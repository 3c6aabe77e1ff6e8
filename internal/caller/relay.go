package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// RequestIDHeader carries the request id to the upstream, which echoes it.
const RequestIDHeader = "X-Request-Id"

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

func (a *API) completion(w http.ResponseWriter, r *http.Request) {
	c, err := a.admitCompletion(w, r, a.Now())
	a.run(w, r, c, err)
}

func (a *API) plain(w http.ResponseWriter, r *http.Request) {
	c, err := a.admitPlain(w, r, a.Now())
	if err == nil && c.once {
		a.runOnce(w, r, c)
		return
	}
	a.run(w, r, c, err)
}

func (a *API) run(w http.ResponseWriter, r *http.Request, c *call, err error) {
	if err == nil {
		err = a.relay(r.Context(), w, c)
	}
	if err != nil {
		e := verdict.From(err)
		event.With(a.Log, event.RequestRefused).WithField("code", e.Code).WithField("verdict", e.Verdict.String()).Debug(e.Detail)
		writeProblem(w, e)
	}
}

// relay sends a call to one upstream and copies the answer.
func (a *API) relay(ctx context.Context, w http.ResponseWriter, c *call) error {
	target, err := a.choose(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, c.start.Add(c.class.Complete.Std()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+target.Address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest, Detail: "the request's path cannot be sent", Cause: err}
	}
	req.Header = c.header.Clone()
	req.Header.Set(RequestIDHeader, c.id)
	resp, err := a.Transport.Do(req, c.once)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	header := w.Header()
	for name, values := range endToEnd(resp.Header) {
		header[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	return copyFlushing(w, resp.Body)
}

func (a *API) choose(c *call) (upstream.Entry, error) {
	list := a.Upstreams.Serving(c.service.Name, c.service.Version)
	if len(list) == 0 {
		return upstream.Entry{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeNoUpstream, Status: http.StatusServiceUnavailable,
			RetryAfter: leaseRetryAfter, Detail: "no upstream serves " + c.service.Name + " version " + strconv.Quote(c.service.Version),
		}
	}
	return list[a.next.Load()%uint64(len(list))], nil
}

// copyFlushing copies an answer and flushes after each read, so that streamed
// tokens are not held back. An error after the headers cannot be told to the
// caller other than by cutting the connection.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			_ = flusher.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
