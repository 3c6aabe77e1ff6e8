package load

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// tries is how often a baseline sends a request of which nothing was answered.
const maxAttempts = 3

// baseline is a balancer that knows only which upstreams exist. It sends a request
// again when the upstream fails before its first byte.
type baseline struct {
	upstreams []*fakeUpstream
	// least picks the upstream with the fewest open requests instead of the next.
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

// forward is false when the request may be sent again.
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
