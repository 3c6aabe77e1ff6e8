package main

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

// playCoreReplaced replaces several of five core machines as planned and loses nothing else:
// all successors start first and have the time to catch up, then the old machines get SIGTERM.
// REPLACED is their number and GAP the time between two of them.
func playCoreReplaced(w *world) error {
	replaced, err := strconv.Atoi(os.Getenv("REPLACED"))
	if err != nil || replaced < 1 || replaced > 5 || !w.trouble {
		replaced = 1
	}
	gap, err := time.ParseDuration(os.Getenv("GAP"))
	if err != nil {
		gap = 3 * time.Second
	}
	cores, seeds, err := w.startCores()
	if err != nil {
		return err
	}
	var successors []*machine
	for i := range replaced {
		m := w.add(6+i, true, seeds)
		if err := m.start(false); err != nil {
			return err
		}
		successors = append(successors, m)
	}
	time.Sleep(catchUp + 500*time.Millisecond)
	rest := append(successors, cores[replaced:]...)
	if err := w.putConfig(newConfig(2, 2), rest, 10*time.Second); err != nil {
		return err
	}
	for _, m := range cores[:replaced] {
		w.note("platform: SIGTERM to %s; it does not come back", m.name)
		m.signal(syscall.SIGTERM)
		time.Sleep(gap)
	}
	time.Sleep(recovery)
	return w.readBack(rest, 2)
}
