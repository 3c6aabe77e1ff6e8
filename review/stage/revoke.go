package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// revokeTime is revoke_timeout_ms of the deployment, with a margin.
const revokeTime = 6 * time.Second

func init() { cases["revoke"] = playRevoke }

// playRevoke takes the last tenant, and so its key, out of the config. After revoke_timeout_ms no
// request with that key may run, nor one with a key that no config ever held.
func playRevoke(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(3, 2); err != nil {
		return false, err
	}
	if _, err := s.startRunner("engine"); err != nil {
		return false, err
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if a := s.book("held", "key-of-tenant-1"); a.status != http.StatusOK {
		return false, fmt.Errorf("a request with a key in force got status %d", a.status)
	}
	if a := s.book("unheld", "key-of-nobody"); a.status != http.StatusUnauthorized {
		return false, fmt.Errorf("a request with an unknown key got status %d", a.status)
	}
	config := plan(2)
	if trouble {
		start, end := strings.Index(config, `"tenants":[`), strings.LastIndex(config, "]")
		config = config[:start] + `"tenants":[` + config[end:]
		s.note("the operator takes the last tenant and its key away: %s", config[start:])
	}
	status, err := s.order(http.MethodPut, "/config", config, 5*time.Second)
	s.note("the operator sends version 2: status %d, error: %v", status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("config: status %d, %w", status, err)
	}
	time.Sleep(revokeTime)
	s.book("after", "key-of-tenant-1")
	s.book("unknown", "key-of-nobody")
	revokedRan, unknownRan := len(s.runsOf("after-0"))+len(s.runsOf("after-1")) > 0, len(s.runsOf("unknown-0"))+len(s.runsOf("unknown-1")) > 0
	s.note("a request with the key of tenant-1 ran: %v; one with a key that no config held: %v", revokedRan, unknownRan)
	return trouble && revokedRan || unknownRan, nil
}

// book sends a booking with a key to each entry node and returns the last answer.
func (s *stage) book(name, key string) (last answer) {
	for i, m := range s.entryNodes() {
		id := fmt.Sprintf("%s-%d", name, i)
		head := strings.Replace(attemptHead(id, 2500*time.Millisecond), "key-of-tenant-1", key, 1)
		a, err := s.exchange(m, "POST /book/x HTTP/1.1\r\n"+head+"Content-Length: 0\r\n\r\n", 3*time.Second)
		s.note("client got for %s with %s: status %d, error: %v", id, key, a.status, err)
		last = a
	}
	return last
}
