//go:build review

// Package standins3 is the program of the third review's scripts: it starts the project's own
// programs as processes on loopback addresses, and plays the operator, the clients, the workers
// and the links between workers and their agents.
package standins3

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	usageMessage = "usage: review-standins-3 CASE RECORD"
)

// cases maps the name of a case to its function, which returns whether the rule was broken.
var cases = map[string]func(*rig) (broken bool){}

// TestMain is the program's main function.
func TestMain(_ *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageMessage)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns the exit code.
func runCase(name, recordPath string) (code int) {
	r, err := newRig(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	defer func() {
		if reason := recover(); reason != nil {
			r.note("could not run: %v", reason)
			code = exitNotRun
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.close()
		os.Exit(exitNotRun)
	}()
	r.note("case %s, trouble %v", name, r.trouble)
	if cases[name](r) {
		r.note("RESULT: the rule was broken")
		return exitBroken
	}
	r.note("RESULT: the rule held")
	return exitHeld
}
