package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	lossDelay = 200 * time.Millisecond
	startWait = 60 * time.Second
)

// playStart lets the core machine with the lowest address lose its disk right after the first start.
func playStart(record string) (bool, error) {
	s, err := newStage(record, 5, 1)
	if err != nil {
		return false, err
	}
	defer s.close()
	r, err := s.addRunner("hold", (&busyRunners{seen: newAttempts(), held: make(map[*runner]int)}).serve)
	if err != nil {
		return false, err
	}
	for _, n := range s.nodes() {
		if err := s.start(n, true); err != nil {
			return false, err
		}
	}
	s.note("all machines start for the first time")
	if s.trouble {
		lowest := s.voters[0]
		time.Sleep(lossDelay)
		<-lowest.signal(syscall.SIGKILL)
		if err := s.wipe(lowest); err != nil {
			return false, err
		}
		s.note("%s has lost its power and its disk", lowest.name)
		time.Sleep(startDelay)
		if err := s.start(lowest, false); err != nil {
			return false, err
		}
		s.note("%s is back with an empty disk and bootstrap=false", lowest.name)
	}
	go r.beat()
	routes, services := desk()
	config := map[string]any{"version": 1, "routes": routes, "services": services, "limits": limits()}
	status := 0
	for end := time.Now().Add(startWait); status != http.StatusOK && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _ = s.call(http.MethodPut, "/config", config)
	}
	s.note("the first config is sent until it is confirmed; last status %d (0: no answer, or 5xx)", status)
	if status == http.StatusOK {
		time.Sleep(3 * time.Second)
	}
	end := newAttempts().send(newClient(clientTimeout), s.entries[0], "0000000000000001", "/hold/1", 300, clientTimeout)
	s.note("a request to %s ends with %s", s.entries[0].name, end)
	return s.judge(end != fmt.Sprint(http.StatusOK), "Fault: %v after the first start the config has status %d, and a request ends with %s", startWait, status, end), nil
}
