package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

// Long work of a later queue leaves free what the queue before it lately needed; but
// a job that has had nothing running for a second gets a task to run, or its gang,
// while less than half of all cores is in use.
func TestLongWorkLeavesRoomButNoJobIdlesBesideAnIdleHalf(t *testing.T) {
	for _, c := range []struct {
		name        string
		spare       int
		since       time.Duration
		quick, long types.Cores // in use
		want        types.Cores
		runs        bool // something of its job
		tasks       int
	}{
		{"short work is not bound", 0, 0, 70, 10, 0, false, 3},
		{"patient work", spareMost, 0, 70, 10, 30, false, 3},
		{"so much at most is left", spareMost, 0, 95, 5, 8, false, 3},
		{"less patient work", spareLater, 0, 95, 5, 25, false, 3},
		{"just come, most is free", spareMost, 0, 0, 30, 20, false, 3},
		{"waits, most is free", spareMost, idle, 0, 30, 0, false, 1},
		{"waits, most is free, but its job runs", spareMost, idle, 0, 30, 20, true, 3},
		{"waits, half is in use", spareMost, idle, 40, 10, 20, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &Controller{now: types.Now{Mono: types.Stamp(time.Hour)}, peaked: types.Stamp(time.Hour), peaks: map[types.Queue]float64{"quick": 80}}
			in := placement.Input{Total: 100, Wants: []placement.Want{{Queue: "long", Spare: c.spare, Since: c.since, Idle: !c.runs, Tasks: []int{0, 1, 2}}}, Dues: map[types.Queue]*placement.Due{
				"quick": {Row: config.Row{Name: "quick", Stretch: 1}, Cores: c.quick}, "long": {Row: config.Row{Name: "long", Stretch: 3, Priority: 2}, Cores: c.long}}}
			if c.quick == 70 {
				h.peaks["quick"] = 0
			}
			h.caps(in)
			is.Equal(in.Wants[0].Cap, c.want)
			is.Equal(len(in.Wants[0].Tasks), c.tasks)
		})
	}
}
