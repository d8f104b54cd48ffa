// The verdict on a simulated run: broken rules, and how service came back.
package trial

import (
	"fmt"
	"sort"
	"time"
)

// Verdict is what one run showed.
type Verdict struct {
	Breaks []Break
	Untold int
	Legs   int
	Ratio  float64
}

// Verdict checks the run's history. The ratio is of jobs done a second: from 12
// seconds after healing to the end of the traffic, beside the calm before.
func (r *Run) Verdict() (v Verdict) {
	v.Breaks, v.Untold = Check(&r.Hist, Rules, r.done, 3, 30*time.Second)
	for _, h := range r.Hist.List {
		if h.What == Started {
			v.Legs++
		}
	}
	p := r.Plan
	from := 6*time.Second + 2*time.Second
	calm := Rate(&r.Hist, int64(from), int64(6*time.Second+p.Calm))
	heal := 6*time.Second + p.Calm + p.Storm + 12*time.Second
	if calm > 0 && p.After > 12*time.Second {
		v.Ratio = Rate(&r.Hist, int64(heal), int64(heal+p.After-12*time.Second)) / calm
	}
	return
}

// Spread tells least, median and most of a list.
func Spread(list []float64) string {
	if len(list) == 0 {
		return "nothing"
	}
	sort.Float64s(list)
	return fmt.Sprintf("least %.2f, median %.2f, most %.2f of %d", list[0], list[len(list)/2], list[len(list)-1], len(list))
}
