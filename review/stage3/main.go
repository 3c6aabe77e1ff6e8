package main

import (
	"errors"
	"fmt"
	"os"
)

// cases holds the cases by the number of their folder.
var cases = map[string]func(record string) (broken bool, err error){
	"rejoin":  playRejoin,
	"crash":   playCrash,
	"removed": playRemoved,
	"start":   playStart,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, serveReports(os.Args[2], os.Args[3], os.Args[4]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE RECORD")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// judge writes the verdict of a case to its record.
func (s *stage) judge(broken bool, format string, args ...any) bool {
	verdict := "the rule held: "
	if broken {
		verdict = "the rule was broken: "
	}
	s.note(verdict+format, args...)
	fmt.Println(verdict + fmt.Sprintf(format, args...))
	return broken
}

var errTooFew = errors.New("too few requests to judge")
