// A zone cut off for long, with its controller, gateway, agents and workers: the rest
// serves all the while, the cut side refuses, and after the link is back service
// is what it was. CI cuts for ten minutes; -cut takes any time.
package sim

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/controller"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/wire"
)

var steady = flag.Bool("steady", false, "all the usual traffic throughout the cut")

var long = flag.Duration("cut", 10*time.Minute, "how long the zone is cut off")

func TestZoneCutForHours(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	t.Parallel()
	is := is.New(t)
	r := Build(Plan{Seed: 11, Deployment: "kingston", Patience: 30 * time.Second})
	r.Clients.Cancel = 0
	r.at(3*time.Second, func() { r.Clients.put(r.Clients.deployment.Table(), "g1", 0, func(bool) {}) })
	traffic := func() {
		r.Clients.open = true
		for _, f := range r.Clients.deployment.Flows {
			r.Clients.flow(f)
		}
	}
	r.at(6*time.Second, traffic)
	r.Run(20 * time.Second)
	zone := r.zones["z1"]
	rest := r.others(append(zone, r.Clients.addr)...)
	r.Split(zone, rest, true, true)
	cut := r.now
	r.Run(30 * time.Second)
	var f *apierror.Error
	r.request(r.Clients.addr, "g1", "job.cancel", "quotes-1", nil, func(a wire.Response) { f = a.Error })
	r.Run(32 * time.Second)
	is.Equal(f.Kind, apierror.NoLeader) // the cut side's own gateway refuses at once
	is.True(f.RetryAfterSeconds > 1)
	r.Clients.open = *steady // else hours of little traffic: a burst every two minutes
	if *steady {
		r.Run(time.Duration(cut) + *long)
	}
	for end := cut + int64(*long); r.now < end; {
		r.Run(time.Duration(min(end, r.now+int64(110*time.Second))))
		traffic()
		r.Run(time.Duration(r.now) + 10*time.Second)
		r.Clients.open = false
	}
	if !*steady {
		r.Run(time.Duration(r.now) + 12*time.Second) // all streams have ended, so that they are not doubled
		traffic()
	}
	r.Run(time.Duration(r.now) + 10*time.Second)
	r.Split(zone, rest, true, false)
	heal := r.now
	sent := 0
	for _, h := range r.Hist.List { // callers inside repeat what they sent before and at the time of the cut
		if h.What == Sent && h.At < cut+int64(10*time.Second) {
			sent++
			r.request(r.Clients.addr, "g1", "job.put", string(h.Job), wire.EncodeBody(h.Spec), func(a wire.Response) {
				if a.Error != nil && a.Error.RetryAfterSeconds == 0 {
					t.Error(h.Job, a.Error)
				}
			})
		}
	}
	is.True(sent > 50)
	r.Run(time.Duration(heal) + 27*time.Second)
	before := Rate(&r.Hist, int64(8*time.Second), int64(20*time.Second))
	after := Rate(&r.Hist, heal+int64(12*time.Second), heal+int64(27*time.Second))
	healthy := 0
	for _, w := range r.leader().m.(*controller.Controller).Workers() {
		if w.State == dispatch.Healthy {
			healthy++
		}
	}
	is.Equal(healthy, 11)
	t.Logf("cut for %s: jobs done a second %.2f before, %.2f from 12 s after, %d workers healthy", *long, before, after, healthy)
	is.True(after > Near*before)
	r.Clients.open = false
	r.Run(time.Duration(r.now) + 40*time.Second)
	breaks, seen := Check(&r.Hist, Rules, r.now, 30*time.Second)
	t.Logf("chances:\n%v", seen)
	is.True(seen["again: a good end told late or never"] > 0) // attempts ended well beyond the cut
	for _, b := range breaks {
		t.Error(b)
	}
}
