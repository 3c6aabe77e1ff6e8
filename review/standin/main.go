// Command standin plays the cases of the review that cannot be put as a day of the bench. It
// starts the project's program as separate processes on loopback addresses, and plays the
// platform, the operator, the clients and the runners as the users' pages describe them.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitSkipped = 2
)

// maxTime bounds the time of a case.
const maxTime = 115 * time.Second

// errBroken is the result of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// playbook holds the cases by name.
var playbook = map[string]func(*world) error{
	"planned-replacement": playPlannedReplacement,
	"core-replaced":       playCoreReplaced,
	"relayed-refusal":     playRelayedRefusal,
	"many-routes":         playManyRoutes,
	"unused-connection":   playUnusedConnection,
	"unframed-answers":    playUnframedAnswers,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitSkipped)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes record.txt to its folder and returns the exit code.
func play(name, folder string) int {
	run := playbook[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitSkipped
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSkipped
	}
	defer file.Close()
	w, err := newWorld(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSkipped
	}
	defer w.close()
	w.note("case %s, trouble %v", name, w.trouble)
	done := make(chan error, 1)
	go func() { done <- run(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("stopped by signal %v", s)
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %v", maxTime)
	}
	switch {
	case err == nil:
		w.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		return exitBroken
	}
	w.note("result: the case could not run: %v", err)
	return exitSkipped
}
