//go:build review

package standins

import (
	"fmt"
	"os"
	"testing"
)

// Results of a case, as exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: review-standins CASE RECORD"
)

var cases = map[string]func(r *rig, trouble bool) int{
	"gang":    starvedGang,
	"lasting": lastingTask,
	"waiting": waitingCount,
}

// TestMain is the program: it runs one case and exits with its result.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println(usageText)
		os.Exit(couldNot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with its disruption: %v", name, trouble)
	r, err := newRig(rec)
	if err != nil {
		rec.add("could not run: %v", err)
		return couldNot
	}
	defer r.stop()
	result := cases[name](r, trouble)
	rec.add("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case could not run"}[result])
	fmt.Println(map[int]string{held: "held", broken: "broken", couldNot: "could not run"}[result])
	return result
}
