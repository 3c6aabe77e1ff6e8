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

const goodAnnouncement = `{"id":"u","incarnation":1,"sequence":1,"address":"10.0.0.7:8000","vm":"v","domain":"d","ready":true,"serving":[{"service":"s","version":"v1"}],"load":{}}`

// listen returns the announcements' handler and the number of those it took.
func listen() (http.Handler, *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	taken := 0
	s := &Announcements{
		Take: func(time.Time, wire.Announce) (string, time.Duration) {
			taken++
			return "", time.Second
		},
		Tokens: bearer.Tokens{"up": bearer.Hash("secret")}, Log: log, Now: time.Now,
	}
	return s.Handler(), &taken
}

func announceTo(h http.Handler, token, body string) int {
	r := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code
}

func TestAnnouncements(t *testing.T) {
	tests := []struct {
		name, token, body string
		want, taken       int
	}{
		{"a valid one must not be refused", "secret", goodAnnouncement, http.StatusOK, 1},
		{"one without a token must not be taken", "", goodAnnouncement, http.StatusUnauthorized, 0},
		{"one with a wrong token must not be taken", "guess", goodAnnouncement, http.StatusUnauthorized, 0},
		{"one without an address must not be taken", "secret", strings.Replace(goodAnnouncement, "10.0.0.7:8000", "", 1), http.StatusBadRequest, 0},
		{"one that takes the name of an account's limit must not be taken", "secret", strings.Replace(goodAnnouncement, `"id":"u"`, `"id":"account/u"`, 1), http.StatusBadRequest, 0},
		{"a truncated one must not be taken", "secret", goodAnnouncement[:40], http.StatusBadRequest, 0},
		{"an oversized one must not be taken", "secret", `{"id":"` + strings.Repeat("u", MaxAnnounceBytes) + `"}`, http.StatusBadRequest, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, taken := listen()
			if got := announceTo(h, tt.token, tt.body); got != tt.want || *taken != tt.taken {
				t.Errorf("got status %d and %d taken, want %d and %d", got, *taken, tt.want, tt.taken)
			}
		})
	}
}

// FuzzAnnounce guards against announcements that stop the node.
func FuzzAnnounce(f *testing.F) {
	f.Add(goodAnnouncement)
	f.Add(`{"id":1}`)
	f.Add(`{"serving":[{}],"price":1e400}`)
	f.Add(`[`)
	h, _ := listen()
	f.Fuzz(func(t *testing.T, body string) {
		if got := announceTo(h, "secret", body); got != http.StatusOK && got != http.StatusBadRequest {
			t.Errorf("got status %d, want 200 or 400", got)
		}
	})
}
