package load

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxAttempts is the maximum number of times that a baseline sends a request to an
// upstream.
const maxAttempts = 3

// baseline is a simple load balancer that knows only which upstreams exist. It retries a
// request when the upstream fails before the first byte of its response or responds with
// a 5xx status.
type baseline struct {
	upstreams []*fakeUpstream
	// leastOutstanding selects the upstream with the fewest open requests instead of the
	// next one in turn.
	leastOutstanding bool
	next             atomic.Uint64
}

// ServeHTTP implements http.Handler.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for range maxAttempts {
		if b.forward(w, r, body) {
			return
		}
	}
	http.Error(w, "no upstream answered", http.StatusBadGateway)
}

func (b *baseline) pick() *fakeUpstream {
	n := b.next.Add(1)
	best := b.upstreams[n%uint64(len(b.upstreams))]
	if !b.leastOutstanding {
		return best
	}
	for i := range b.upstreams {
		u := b.upstreams[(n+uint64(i))%uint64(len(b.upstreams))]
		if u.outstanding.Load() < best.outstanding.Load() {
			best = u
		}
	}
	return best
}

// forward sends the request to an upstream and relays the response. It returns false if
// the request may be retried, and true if a response was relayed or the client is gone.
func (b *baseline) forward(w http.ResponseWriter, r *http.Request, body []byte) bool {
	target := b.pick()
	target.outstanding.Add(1)
	defer target.outstanding.Add(-1)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target.process.Address()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return r.Context().Err() != nil
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return false
	}
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || control.Flush() != nil {
			return true
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
