package main

import (
	"syscall"
	"time"
)

const (
	crashRunners = 12
	crashed      = 2
	crashClients = 90
	cutLength    = 5 * time.Second
	// settle is the time after the loss of the path until the crash.
	settle = 2500 * time.Millisecond
)

// playCrash crashes two of twelve runners while one entry machine has lost its path to all of them
// and reaches them through the others.
func playCrash(record string) (bool, error) {
	s, err := newStage(record, 3, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	processes, stop, err := s.startReportRunners(crashRunners)
	if err != nil {
		return false, err
	}
	defer stop()
	if err := s.startAll(reportConfig()); err != nil {
		return false, err
	}
	reports := s.load(s.entries, crashClients)
	time.Sleep(6 * time.Second)
	if s.trouble {
		for _, p := range processes {
			_ = p.Process.Signal(syscall.SIGUSR1)
		}
		s.note("%s has lost its path to all runners: its connections to them are reset", s.entries[0].name)
	}
	time.Sleep(settle)
	if s.trouble {
		for i := range crashed {
			_ = processes[i].Process.Signal(syscall.SIGKILL)
			s.note("runner %s crashes: SIGKILL", s.runners[i].id)
		}
	}
	time.Sleep(cutLength - settle)
	if s.trouble {
		for _, p := range processes {
			_ = p.Process.Signal(syscall.SIGUSR2) // fails for those that have crashed
		}
		s.note("%s has its path again", s.entries[0].name)
	}
	return s.judgeReports(reports)
}
