package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/pkg/wire"
)

const validAnnouncement = `{"id":"u","incarnation":1,"sequence":1,"address":"10.0.0.7:8000","vm":"v","domain":"d","ready":true,"serving":[{"service":"s","version":"v1"}],"load":{}}`

// newTestHandler returns the handler of the announce API and a counter of the
// announcements that it accepted.
func newTestHandler() (http.Handler, *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	accepted := 0
	s := &AnnounceAPI{
		HandleAnnounce: func(time.Time, wire.Announce) (string, time.Duration) {
			accepted++
			return "", time.Second
		},
		Tokens: bearer.Tokens{"up": bearer.Hash("secret")}, Log: log, Now: time.Now,
	}
	return s.Handler(), &accepted
}

func postAnnouncement(h http.Handler, token, body string) int {
	r := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code
}

func TestAnnounceAPI(t *testing.T) {
	tests := []struct {
		name, token, body string
		want, accepted    int
	}{
		{"valid announcement", "secret", validAnnouncement, http.StatusOK, 1},
		{"missing token", "", validAnnouncement, http.StatusUnauthorized, 0},
		{"wrong token", "guess", validAnnouncement, http.StatusUnauthorized, 0},
		{"missing address", "secret", strings.Replace(validAnnouncement, "10.0.0.7:8000", "", 1), http.StatusBadRequest, 0},
		{"id with the prefix of account limits", "secret", strings.Replace(validAnnouncement, `"id":"u"`, `"id":"account/u"`, 1), http.StatusBadRequest, 0},
		{"truncated body", "secret", validAnnouncement[:40], http.StatusBadRequest, 0},
		{"oversized body", "secret", `{"id":"` + strings.Repeat("u", MaxAnnounceBytes) + `"}`, http.StatusBadRequest, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, accepted := newTestHandler()
			if got := postAnnouncement(h, tt.token, tt.body); got != tt.want || *accepted != tt.accepted {
				t.Errorf("got status %d and %d accepted, want %d and %d", got, *accepted, tt.want, tt.accepted)
			}
		})
	}
}

// Guards against an announcement of another writer that outdates every later one of the
// upstream, whose numbers overflow, or that no node can connect to.
func TestImpossibleAnnouncementIsRefused(t *testing.T) {
	replace := func(old, replacement string) string {
		return strings.Replace(validAnnouncement, old, replacement, 1)
	}
	for name, body := range map[string]string{
		"incarnation beyond int64":  replace(`"incarnation":1`, `"incarnation":9223372036854775808`),
		"largest incarnation":       replace(`"incarnation":1`, `"incarnation":18446744073709551615`),
		"incarnation beyond uint64": replace(`"incarnation":1`, `"incarnation":18446744073709551616`),
		"fractional incarnation":    replace(`"incarnation":1`, `"incarnation":1.5`),
		"largest sequence":          replace(`"sequence":1`, `"sequence":18446744073709551615`),
		"largest limit":             replace(`"load":{}`, `"load":{},"limit":18446744073709551615`),
		"largest load":              replace(`"load":{}`, `"load":{"running":18446744073709551615}`),
		"price":                     replace(`"load":{}`, `"load":{},"price":1e300`),
		"price beyond float64":      replace(`"load":{}`, `"load":{},"price":1e400`),
		"reclaim":                   replace(`"load":{}`, `"load":{},"reclaim":1e300`),
		"port 0":                    replace("10.0.0.7:8000", "10.0.0.7:0"),
		"port 65536":                replace("10.0.0.7:8000", "10.0.0.7:65536"),
		"port 99999999":             replace("10.0.0.7:8000", "10.0.0.7:99999999"),
		"no port":                   replace("10.0.0.7:8000", "10.0.0.7"),
		"long domain":               replace(`"domain":"d"`, `"domain":"`+strings.Repeat("d", 60_000)+`"`),
		"id with a line break":      replace(`"id":"u"`, `"id":"u\r\nx"`),
		"deep nesting":              replace(`"load":{}`, `"load":`+strings.Repeat("[", 30_000)+strings.Repeat("]", 30_000)),
		"deep unknown field":        replace(`"load":{}`, `"odd":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,"load":{}`),
	} {
		t.Run(name, func(t *testing.T) {
			h, accepted := newTestHandler()
			if got := postAnnouncement(h, "secret", body); got != http.StatusBadRequest || *accepted != 0 {
				t.Errorf("got status %d and %d accepted, want %d and none", got, *accepted, http.StatusBadRequest)
			}
		})
	}
}

// FuzzAnnounce guards against announcements that crash the node.
func FuzzAnnounce(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{"id":1}`)
	f.Add(`{"serving":[{}],"price":1e400}`)
	f.Add(`[`)
	h, _ := newTestHandler()
	f.Fuzz(func(t *testing.T, body string) {
		if got := postAnnouncement(h, "secret", body); got != http.StatusOK && got != http.StatusBadRequest {
			t.Errorf("got status %d, want 200 or 400", got)
		}
	})
}
