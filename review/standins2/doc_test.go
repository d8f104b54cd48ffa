//go:build review

// Package standins2 has the stand-ins of the second review: workers, clients and the operator of
// the users' platform, and the starting of the project's daemons as processes on loopback
// addresses. It is built as a program by review/build-2.sh. Each case of the review is one
// scenario, chosen by the first argument.
package standins2

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// scenario runs one case. It returns whether the rule held; trouble is false if the case is to run
// without its disruption.
type scenario func(s *system, trouble bool) (held bool, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{}

// TestMain is the program: NAME PROGRAM RECORD, with TROUBLE=0 in the environment for a run
// without the disruption.
func TestMain(*testing.M) { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 SCENARIO PROGRAM RECORD")
		return exitFailed
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	s, err := newSystem(args[1], rec)
	if err != nil {
		rec.line("could not run: %v", err)
		return exitFailed
	}
	defer s.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("scenario %s, trouble %v", args[0], trouble)
	held, err := scenarios[args[0]](s, trouble)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		return exitFailed
	case held:
		rec.line("the rule held")
		return exitHeld
	}
	rec.line("the rule was broken")
	return exitBroken
}
