// Command stage starts a small deployment of jaystage-platform on loopback addresses, with
// stand-ins for the platform, runners, operators and clients, and plays one case of the second
// review. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of each case to its play, which reports whether the rule was broken. The file
// of each play adds it.
var cases = map[string]func(s *stage, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return exitFailed
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitFailed
	}
	s, err := newStage(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	s.endInTime()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := run(s, trouble)
	switch {
	case err != nil:
		s.note("the case could not run: %s", strings.ReplaceAll(err.Error(), "\n", " "))
		return exitFailed
	case broken:
		s.note("result: the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
