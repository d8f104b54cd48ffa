package helm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/blueprint"
	"coppercourse/choice"
	"coppercourse/mark"
)

// Long work of a later queue leaves free what the queue before it lately needed;
// but once it has waited for a second, only while half of all cores are in use.
func TestLongWorkLeavesRoomButNeverWaitsBesideAnIdleHalf(t *testing.T) {
	for _, c := range []struct {
		name        string
		spare       int
		since       time.Duration
		quick, long mark.Cores // in use
		want        mark.Cores
	}{
		{"short work is not bound", 0, 0, 70, 10, 0},
		{"patient work", spareMost, 0, 70, 10, 30},
		{"so much at most is left", spareMost, 0, 95, 5, 15},
		{"less patient work", spareLater, 0, 95, 5, 40},
		{"just come, most is free", spareMost, 0, 0, 30, 20},
		{"waits, most is free", spareMost, idle, 0, 30, 0},
		{"waits, half is in use", spareMost, idle, 40, 10, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &Helm{now: mark.Now{Mono: mark.Stamp(time.Hour)}, peaked: mark.Stamp(time.Hour), peaks: map[mark.Queue]float64{"quick": 80}}
			in := choice.Input{Total: 100, Wants: []choice.Want{{Queue: "long", Spare: c.spare, Since: c.since}}, Dues: map[mark.Queue]*choice.Due{
				"quick": {Row: blueprint.Row{Name: "quick", Stretch: 1}, Cores: c.quick}, "long": {Row: blueprint.Row{Name: "long", Stretch: 3, Priority: 2}, Cores: c.long}}}
			if c.quick == 70 {
				h.peaks["quick"] = 0
			}
			h.caps(in)
			is.Equal(in.Wants[0].Cap, c.want)
		})
	}
}
