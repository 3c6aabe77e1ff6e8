package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	manyAttempts = 999_999_999_999
	fewAttempts  = 3
	attemptLoad  = 20 * time.Second
	// pauseEach is how many requests of a runner come to one for which it is silent for pauseTime.
	pauseEach = 10
	pauseTime = 1200 * time.Millisecond
)

// playAttempts changes the config to one with a large max_attempts.
func playAttempts(record string) (bool, error) {
	s, err := newStage(record, 3, 2)
	if err != nil {
		return false, err
	}
	defer s.close()
	seen := newAttempts()
	var served atomic.Int64
	serve := func(_ *runner, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		seen.update(req.Header.Get("X-Attempt-Id"), func(a *attempt) { a.ran++ })
		pause := 50 * time.Millisecond
		if served.Add(1)%pauseEach == 0 {
			pause = pauseTime
		}
		time.Sleep(pause)
		return answer(c, req, http.StatusOK, "", "done")
	}
	for range 4 {
		if _, err := s.addRunner("upload", serve); err != nil {
			return false, err
		}
	}
	routes, services := desk()
	config := map[string]any{"version": 1, "routes": routes, "services": services, "limits": limits()}
	if err := s.startAll(config); err != nil {
		return false, err
	}
	var ids atomic.Int64
	var done atomic.Bool
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() {
			client := newClient(clientTimeout)
			defer client.CloseIdleConnections()
			for !done.Load() {
				id := fmt.Sprintf("%016x", ids.Add(1))
				if end := seen.send(client, s.entries[i%len(s.entries)], id, "/upload/1", 300, clientTimeout); !strings.HasPrefix(end, "200") {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	stopped, restarts := make(chan struct{}), make(chan struct{})
	go func() { defer close(restarts); s.restartEnded(stopped) }()
	time.Sleep(3 * time.Second)
	most := fewAttempts
	if s.trouble {
		most = manyAttempts
	}
	for _, r := range routes {
		r.(map[string]any)["max_attempts"] = most
	}
	config["version"] = 2
	status, _ := s.call(http.MethodPut, "/config", config)
	s.note("a config with max_attempts %d is sent and confirmed with status %d", most, status)
	time.Sleep(attemptLoad)
	done.Store(true)
	clients.Wait()
	close(stopped)
	<-restarts
	seen.summarise(s)
	seen.noteLost(s)
	if status != http.StatusOK || len(seen.list) < 200 {
		return false, errTooFew
	}
	broken := seen.count(func(a *attempt) bool { return a.kept && a.ran > 0 && a.end == closedWithoutAnswer })
	return s.judge(broken > maxLost, "LOST: %d requests from kept connections ran at a runner and got no answer (%d are borne); processes that ended by themselves: %d times, %v",
		broken, maxLost, len(s.ends()), first(s.ends(), 5)), nil
}
