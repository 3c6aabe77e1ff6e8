package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["replaced"] = playReplaced }

const (
	// coreMachines is the number of core machines, two of which may be lost at once.
	coreMachines = 5
	// catchUp is how long the successor has run when the old machine is removed: catch_up_s (4) and
	// half a second.
	catchUp = 4500 * time.Millisecond
	// lossPause is the time from the removal to the loss of two disks.
	lossPause = time.Second
	// emptyPause is the time until the two machines are back with empty disks.
	emptyPause = 1200 * time.Millisecond
	// readTime is how long the operator tries to read the config back. recovery_s is 12.
	readTime = 40 * time.Second
)

// playReplaced replaces a machine of the core, whose old one is removed without SIGTERM, and then
// takes the disks of two others. What was acknowledged must be read back.
func playReplaced(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(coreMachines+1, 2); err != nil {
		return false, err
	}
	successor, removed := s.machines[coreMachines], s.machines[1]
	successor.spare = true
	if _, err := s.startRunner("engine"); err != nil {
		return false, err
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.note("%s is added with an empty disk", successor.name)
		if err := s.start(successor, false); err != nil {
			return false, err
		}
		time.Sleep(catchUp)
		s.note("%s is removed for good, without SIGTERM", removed.name)
		removed.kill()
		time.Sleep(lossPause)
	}
	status, err := s.order(http.MethodPut, "/config", plan(2), 5*time.Second)
	s.note("version 2 of the config: status %d, error: %v", status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("config: status %d, %w", status, err)
	}
	if err := s.loseTwoDisks(s.machines[2], s.machines[3]); err != nil {
		return false, err
	}
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(time.Second) {
		for _, m := range s.voters() {
			status, text, err := s.call(m, http.MethodGet, "/config", "")
			if err == nil && status == http.StatusOK {
				s.note("%s reads the config back: %.14s", m.name, text)
				return !strings.HasPrefix(text, `{"version":2`), nil
			}
		}
	}
	s.note("no machine of the core has read the config back for %v", readTime)
	a := s.book("last", "key-of-tenant-1")
	s.note("a booking gets status %d", a.status)
	return true, nil
}

// loseTwoDisks ends the processes of two machines at once and starts them again with empty disks.
func (s *stage) loseTwoDisks(machines ...*machine) error {
	for _, m := range machines {
		m.kill()
		if err := os.RemoveAll(filepath.Join(m.dir, "data")); err != nil {
			return err
		}
		s.note("%s has lost its disk", m.name)
	}
	time.Sleep(emptyPause)
	for _, m := range machines {
		if err := s.start(m, false); err != nil {
			return err
		}
	}
	s.note("both are back with empty disks")
	return nil
}
