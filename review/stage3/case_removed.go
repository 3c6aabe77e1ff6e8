package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// successorLead is longer than catch_up_s, which is 4.
	successorLead = 4500 * time.Millisecond
	removedWait   = 40 * time.Second
)

// awaitVersion reads the config until a machine tells a version, for a time.
func (s *stage) awaitVersion(wait time.Duration) (version uint64) {
	for end := time.Now().Add(wait); version == 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		version = s.readVersion()
	}
	return version
}

// playRemoved removes a core machine after its successor has caught up; two others lose their disks
// in the same moment.
func playRemoved(record string) (bool, error) {
	s, err := newStage(record, 5, 1)
	if err != nil {
		return false, err
	}
	defer s.close()
	if _, err := s.addRunner("hold", (&busyRunners{seen: newAttempts(), held: make(map[*runner]int)}).serve); err != nil {
		return false, err
	}
	routes, services := desk()
	config := map[string]any{"version": 1, "routes": routes, "services": services, "limits": limits()}
	if err := s.startAll(config); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	leader := s.awaitLeader()
	if leader == nil {
		return false, fmt.Errorf("%w: no machine says that it leads", errCannotRun)
	}
	others := slices.DeleteFunc(slices.Clone(s.voters), func(n *node) bool { return n == leader })
	old, wiped := others[0], others[1:3]
	if s.trouble {
		successor := &node{name: "core-6", ip: s.ip(1, 6), voter: true, port: internalPort}
		if err := s.start(successor, false); err != nil {
			return false, err
		}
		s.note("%s is added, with an empty disk", successor.name)
		time.Sleep(successorLead)
		s.voters = append(slices.DeleteFunc(s.voters, func(n *node) bool { return n == old }), successor)
	} else {
		time.Sleep(successorLead)
	}
	config["version"] = 2
	status, _ := s.callAt(leader, http.MethodPut, "/config", config)
	s.note("version 2 of the config is sent and confirmed with status %d", status)
	if status != http.StatusOK {
		return false, fmt.Errorf("%w: version 2 is not confirmed", errCannotRun)
	}
	ended := []<-chan struct{}{wiped[0].signal(syscall.SIGKILL), wiped[1].signal(syscall.SIGKILL)}
	if s.trouble {
		<-old.signal(syscall.SIGKILL)
		s.note("%s is removed, without SIGTERM", old.name)
	}
	for i, n := range wiped {
		<-ended[i]
		if err := s.wipe(n); err != nil {
			return false, err
		}
	}
	s.note("final fault: %s and %s have lost their disks", wiped[0].name, wiped[1].name)
	time.Sleep(startDelay)
	if err := errors.Join(s.start(wiped[0], false), s.start(wiped[1], false)); err != nil {
		return false, err
	}
	s.note("they are back, with empty disks")
	version := s.awaitVersion(removedWait)
	s.note("read back: version %d (0: no core machine answers with status 200)", version)
	return s.judge(version != 2, "LOST: version 2 was confirmed; %v after two disks were lost, version %d is read back", removedWait, version), nil
}
