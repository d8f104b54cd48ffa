// The pace that is derived from bounds: sound for every sensible set of them, and
// the quick one where they ask for nothing more.
package settings

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
)

func faults(b Bounds) error {
	h := &apierror.ErrorList{}
	p := Derive(b)
	p.check(h)
	b.check(p, h)
	return h.Err()
}

func TestUsualBoundsGiveTheQuickPace(t *testing.T) {
	is := is.New(t)
	is.Equal(Derive(Usual), Quick)
	is.Equal(Derive(Bounds{}), Quick)
	is.NoErr(faults(Usual))
}

func TestDerivedPaceHolds(t *testing.T) {
	for _, c := range []struct {
		name   string
		b      Bounds
		grant  int
		worker int
		stale  int
	}{
		{"kingston", Bounds{Hold: 6000, Stop: 400, Gang: 3000, Cancel: 3000, Drain: 2000, Apply: 2000, Ack: 4000, Contact: 3000, Grace: 6000, Notice: 2300}, 800, 600, 1500},
		{"cluj", Bounds{Hold: 10000, Stop: 900, Gang: 3000, Cancel: 3000, Drain: 2000, Apply: 2000, Ack: 4000, Contact: 3000, Grace: 6000, Notice: 2300}, 800, 600, 1500},
		{"short hold", Bounds{Hold: 2000, Cancel: 30000}, 800, 600, 1500},
		{"shorter hold", Bounds{Hold: 1000, Cancel: 30000}, 800, 600, 1500},
		{"short cancel", Bounds{Hold: 60000, Cancel: 1000}, 666, 499, 1500},
		{"quick tables", Bounds{Hold: 6000, Cancel: 3000, Apply: 500}, 800, 600, 375},
		{"quick gangs", Bounds{Hold: 6000, Cancel: 3000, Gang: 400}, 800, 600, 1500},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := Derive(c.b)
			is.NoErr(faults(c.b))
			is.Equal(p.Grant, c.grant)
			is.Equal(p.Worker, c.worker)
			is.Equal(p.Stale, c.stale)
		})
	}
}

func TestAnySensibleBoundsGiveAHealthyPace(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	pick := func(least, most int) int {
		if rnd.Intn(8) == 0 {
			return 0
		}
		return least + rnd.Intn(most-least+1)
	}
	for range 20_000 {
		b := Bounds{Hold: pick(2000, 60_000), Stop: pick(50, 5000), Gang: pick(300, 20_000), Cancel: pick(1000, 30_000),
			Drain: pick(200, 20_000), Apply: pick(300, 30_000), Ack: pick(1000, 30_000), Contact: pick(500, 30_000), CatchUp: pick(3000, 60_000),
			Early: pick(50, 2000), Grace: pick(2500, 60_000), Notice: 2300, Checkpoint: pick(100, 20_000), Restore: pick(50, 5000)}
		if err := faults(b); err != nil {
			t.Fatal(fmt.Sprintf("%+v", b), Derive(b), err)
		}
	}
}

func TestPaceAgainstBoundsIsTold(t *testing.T) {
	is := is.New(t)
	h := &apierror.ErrorList{}
	p := Defaults().Pace
	Bounds{Hold: 1400, Gang: 1000, Cancel: 2000, Apply: 1500, Ack: 1500, Contact: 1500, Grace: 600, Notice: 700}.check(p, h)
	text := h.Err().Error()
	for _, f := range []string{"pace.grant_ms", "pace.stale_ms", "pace.election_ms", "pace.stall_ms", "pace.again_ms", "notice_ms"} {
		is.True(strings.Contains(text, ": "+f+": "))
	}
	is.Equal(len(h.List()), 7) // the grant stands against two bounds
}
