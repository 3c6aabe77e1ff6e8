package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// splitDelay is the time from the return of the machine without its disk to the cut.
	splitDelay  = 110 * time.Millisecond
	splitLength = 5 * time.Second
	// calm is the time from the end of the cut to the final fault; catch_up_s is 4.
	calm = 10 * time.Second
	// recovery is far beyond recovery_s, which is 12.
	recovery      = 30 * time.Second
	startDelay    = 500 * time.Millisecond
	leaderTimeout = 10 * time.Second
)

// awaitLeader returns the core machine that has said last that it leads; nil if none has.
func (s *stage) awaitLeader() *node {
	for end := time.Now().Add(leaderTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := s.lastLeader(); n != nil {
			return n
		}
	}
	return nil
}

// awaitListening waits until a core process listens for the operator.
func awaitListening(n *node) bool {
	for end := time.Now().Add(leaderTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if c, err := net.Dial("tcp", net.JoinHostPort(n.ip, fmt.Sprint(controlPort))); err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

// wipe takes the disk of a machine whose process has ended.
func (s *stage) wipe(n *node) error { return os.RemoveAll(filepath.Join(s.dir, n.name, "data")) }

// readVersion reads the version of the config at the core machines; zero if none tells.
func (s *stage) readVersion() uint64 {
	for _, v := range s.voters {
		status, data := s.callAt(v, http.MethodGet, "/config", nil)
		var config struct {
			Version uint64 `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &config) == nil {
			return config.Version
		}
	}
	return 0
}

// loseDiskAndSplit lets a core machine come back without its disk while the core is cut in two,
// with this machine and the leader on one side.
func (s *stage) loseDiskAndSplit(leader, victim *node, rest []*node) error {
	<-victim.signal(syscall.SIGKILL)
	if err := s.wipe(victim); err != nil {
		return err
	}
	s.note("%s has lost its power and its disk", victim.name)
	time.Sleep(time.Second)
	s.seeds = rest
	if err := s.start(victim, false); err != nil {
		return err
	}
	if !awaitListening(victim) {
		return fmt.Errorf("%w: %s does not listen", errCannotRun, victim.name)
	}
	s.note("%s is back with an empty disk", victim.name)
	time.Sleep(splitDelay)
	s.split([]*node{leader, victim}, rest, true)
	s.note("the core is cut in two: %s, which leads, and %s from the others", leader.name, victim.name)
	time.Sleep(splitLength)
	cutOff := []*node{leader, victim}
	for _, n := range cutOff {
		<-n.signal(syscall.SIGKILL)
	}
	s.split(cutOff, rest, false)
	s.note("the cut is over; the processes that were cut off have been killed")
	time.Sleep(startDelay)
	for _, n := range cutOff {
		if err := s.start(n, false); err != nil {
			return err
		}
	}
	s.note("they are started again, with their disks")
	return nil
}

// loseDisks is the final fault: the core machines lose power, and two of them their disks.
func (s *stage) loseDisks(wiped []*node) error {
	var ended []<-chan struct{}
	for _, n := range s.voters {
		ended = append(ended, n.signal(syscall.SIGKILL))
	}
	for _, e := range ended {
		<-e
	}
	for _, n := range wiped {
		if err := s.wipe(n); err != nil {
			return err
		}
	}
	s.note("final fault: all core machines lose power; %s and %s have lost their disks", wiped[0].name, wiped[1].name)
	time.Sleep(startDelay)
	s.seeds = nil
	for _, n := range s.voters {
		if err := s.start(n, false); err != nil {
			return err
		}
	}
	s.note("all core machines are back")
	return nil
}

// playRejoin lets a core machine lose its disk and come back during a cut of the core. Later, after
// it has had far more than catch_up_s, two others lose their disks.
func playRejoin(record string) (bool, error) {
	s, err := newStage(record, 5, 1)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.layPaths(); err != nil {
		return false, err
	}
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
	s.note("%s leads", leader.name)
	others := slices.DeleteFunc(slices.Clone(s.voters), func(n *node) bool { return n == leader })
	victim, rest := others[len(others)-1], others[:len(others)-1]
	if s.trouble {
		if err := s.loseDiskAndSplit(leader, victim, rest); err != nil {
			return false, err
		}
	}
	// The platform starts a process again that has ended.
	stopped := make(chan struct{})
	var restarts sync.WaitGroup
	restarts.Go(func() { s.restartEnded(stopped) })
	time.Sleep(calm)
	s.note("since the cut, processes have ended by themselves %d times: %v", len(s.ends()), first(s.ends(), 5))
	config["version"] = 2
	status, _ := s.call(http.MethodPut, "/config", config)
	s.note("version 2 of the config is sent and confirmed with status %d", status)
	if status != http.StatusOK {
		return false, fmt.Errorf("%w: version 2 is not confirmed", errCannotRun)
	}
	close(stopped)
	restarts.Wait()
	ownEnds := len(s.ends())
	if err := s.loseDisks(rest[:2]); err != nil {
		return false, err
	}
	stopped = make(chan struct{})
	restarts.Go(func() { s.restartEnded(stopped) })
	version := s.awaitVersion(recovery)
	s.note("read back: version %d (0: no core machine answers with status 200)", version)
	close(stopped)
	restarts.Wait()
	return s.judge(version != 2, "LOST: version 2 was confirmed; %v after two disks were lost, version %d is read back; own ends before that: %d",
		recovery, version, ownEnds), nil
}

func first(list []string, n int) []string { return list[:min(n, len(list))] }
