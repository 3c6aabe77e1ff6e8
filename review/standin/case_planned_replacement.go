package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	catchUp  = 4 * time.Second  // catch_up_s
	recovery = 12 * time.Second // recovery_s
	// diskDown is how long a machine that loses its disk is down.
	diskDown = 1200 * time.Millisecond
	// readTime is how long the operator reads back the config at the end.
	readTime = 20 * time.Second
	// defaultPause is the time between the end of the replaced machine's process and the config
	// that is confirmed before two machines lose their disks.
	defaultPause = time.Second
)

// playPlannedReplacement replaces one of five core machines as planned: the new machine first,
// then SIGTERM to the old one. Once the old one has ended, two other machines lose their
// disks, right after a config was confirmed.
func playPlannedReplacement(w *world) error {
	cores, seeds, err := w.startCores()
	if err != nil {
		return err
	}
	successor := w.add(6, true, seeds)
	if err := successor.start(false); err != nil {
		return err
	}
	time.Sleep(catchUp + 500*time.Millisecond)
	old := cores[4]
	w.note("platform: SIGTERM to %s, %v after its successor %s started; it does not come back", old.name, catchUp+500*time.Millisecond, successor.name)
	<-old.signal(syscall.SIGTERM)
	pause := defaultPause
	if p, err := time.ParseDuration(os.Getenv("PAUSE")); err == nil {
		pause = p
	}
	time.Sleep(pause)
	rest := append([]*machine{successor}, cores[:4]...)
	if err := w.putConfig(newConfig(2, 2), rest, 10*time.Second); err != nil {
		return err
	}
	if w.trouble {
		if err := w.loseDisks(cores[:2]); err != nil {
			return err
		}
	}
	time.Sleep(recovery)
	return w.readBack(rest, 2)
}

// startCores starts five core machines, sends a config and lets them catch up. It returns the
// hosts that their settings name.
func (w *world) startCores() (cores []*machine, seeds []string, err error) {
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, w.host(i))
	}
	for i := 1; i <= 5; i++ {
		cores = append(cores, w.add(i, true, seeds))
	}
	if err := w.startCloud(); err != nil {
		return nil, nil, err
	}
	for _, m := range cores {
		if err := m.start(true); err != nil {
			return nil, nil, err
		}
	}
	err = w.putConfig(newConfig(1, 2), cores, 10*time.Second)
	time.Sleep(catchUp)
	return cores, seeds, err
}

// loseDisks kills the processes of machines and starts them again with empty disks.
func (w *world) loseDisks(machines []*machine) error {
	for _, m := range machines {
		w.note("platform: %s loses its power and its disk", m.name)
		<-m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		if err := os.RemoveAll(m.dir); err != nil {
			return err
		}
	}
	time.Sleep(diskDown)
	for _, m := range machines {
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}

// readBack reads the config at all nodes and returns errBroken if none returns the version
// that was confirmed.
func (w *world) readBack(nodes []*machine, version uint64) error {
	until, reads, found := time.Now().Add(readTime), 0, 0
	last := make(map[string]string)
	for time.Now().Before(until) {
		for _, n := range nodes {
			got, answer := getConfig(n)
			reads++
			if last[n.name] != answer {
				last[n.name] = answer
				w.note("operator: GET /config at %s: %s", n.name, answer)
			}
			if got == version {
				found++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.note("operator: %d of %d reads from %v after the machines were back returned version %d", found, reads, recovery, version)
	if found == 0 {
		return fmt.Errorf("%w: the confirmed config %d cannot be read back", errBroken, version)
	}
	return nil
}
