package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/listener"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// ClassHeader is the header with the class of a request. Without it, the default
// class of the account or service applies.
const ClassHeader = "X-Class"

const (
	defaultRetryAfter = 2 * time.Second
	// bodyReadTimeout is the time limit for reading a request body.
	bodyReadTimeout = 30 * time.Second
	// defaultDeadline applies to classes that set no completion target.
	defaultDeadline = 10 * time.Minute
)

// authorize returns the current view and the client account of a request.
func (a *API) authorize(r *http.Request, now time.Time) (*config.View, config.Account, error) {
	view, ok := a.Viewer.View(now)
	if !ok {
		return nil, config.Account{}, leaseExpired()
	}
	hash, ok := bearer.FromRequest(r)
	name, known := view.AccountByTokenHash[hash]
	if !ok || !known {
		return nil, config.Account{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeUnauthenticated, Status: http.StatusUnauthorized,
			Detail: "a bearer token of a client account is required",
		}
	}
	return view, view.Accounts[name], nil
}

func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	unregister := a.drain.register(nil, func(error) { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	unregister()
	_ = control.SetReadDeadline(time.Time{})
	if a.drain.hasExpired() {
		w.Header().Set("Connection", "close")
		return nil, shuttingDown(verdict.NotRun, err)
	}
	if err == nil {
		listener.MarkWhole(r.Context())
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeTooLarge, Status: http.StatusRequestEntityTooLarge,
			Detail: "the body is larger than " + strconv.Itoa(MaxBodyBytes) + " bytes",
		}
	}
	// The rest of the body may still arrive, so the connection cannot be reused.
	w.Header().Set("Connection", "close")
	return nil, &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeRequestIncomplete, Status: http.StatusBadRequest,
		Detail: "the body ended early", Cause: err,
	}
}

// newCall returns a call with an ID that is unique within this process.
func (a *API) newCall(now time.Time, account config.Account, service config.Service) *call {
	return &call{
		id:    stream.RequestIDPrefix + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(a.nextCallID.Add(1), 36),
		start: now, account: account, service: service,
	}
}

// parseCompletion authorizes and parses a request of the OpenAI-compatible API.
func (a *API) parseCompletion(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	view, account, err := a.authorize(r, now)
	if err != nil {
		return nil, err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return nil, err
	}
	kind := stream.Text
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		kind = stream.Chat
	}
	req, err := stream.ParseRequest(kind, body)
	if err != nil {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest, Detail: err.Error(),
		}
	}
	service, ok := view.Services[view.Models[req.Model]]
	if !ok {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeUnknownModel, Status: http.StatusNotFound,
			Detail: "no service serves the model " + strconv.Quote(req.Model),
		}
	}
	c := a.newCall(now, account, service)
	c.method, c.path, c.body, c.route = http.MethodPost, r.URL.Path, body, r.URL.Path
	c.session = r.Header.Get(SessionHeader)
	c.transcript = stream.NewTranscript(req, "chatcmpl-"+c.id)
	c.fingerprint = routing.NewFingerprint(account.Name, service.Name, body)
	for _, part := range req.SharedParts() {
		c.parts = append(c.parts, poison.NewPart(req.Model, part))
	}
	c.blocks = routing.HashBlocks(req.Model, req.PromptText(), prefixBlockBytes)
	c.header = http.Header{"Content-Type": {"application/json"}}
	name := r.Header.Get(ClassHeader)
	if name == "" {
		name = account.Class
	}
	return c, c.setClass(name)
}

// parsePlain authorizes and parses a request to a plain service.
func (a *API) parsePlain(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	view, account, err := a.authorize(r, now)
	if err != nil {
		return nil, err
	}
	name := mux.Vars(r)["service"]
	service, ok := view.Services[name]
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name)
	route, routed := service.Route(r.Method, path)
	if !ok || !routed || service.Kind != config.KindPlain {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeUnknownService, Status: http.StatusNotFound,
			Detail: "no service has a route for " + r.Method + " " + r.URL.Path,
		}
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return nil, err
	}
	c := a.newCall(now, account, service)
	c.method, c.path, c.body, c.atMostOnce, c.keyOptional, c.route = r.Method, path, body, route.AtMostOnce, route.KeyOptional, route.Path
	c.fingerprint = routing.NewFingerprint(account.Name, service.Name+" "+r.Method+" "+c.path, body)
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	c.header = forwardedHeader(r.Header)
	return c, c.setClass(route.Class)
}

func (c *call) setClass(name string) error {
	class, ok := c.service.Class(name)
	if !ok {
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest,
			Detail: "the service " + c.service.Name + " has no class " + strconv.Quote(name),
		}
	}
	c.class = class
	limit := class.CompletionTarget.Std()
	if limit <= 0 {
		limit = defaultDeadline
	}
	c.deadline = c.start.Add(limit)
	return nil
}
