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

func boundsErrors(b Bounds) error {
	h := &apierror.ErrorList{}
	p := DeriveTimeouts(b)
	p.check(h)
	b.check(p, h)
	return h.Err()
}

func TestDefaultBoundsGiveQuickTimeouts(t *testing.T) {
	is := is.New(t)
	is.Equal(DeriveTimeouts(DefaultBounds), QuickTimeouts)
	is.Equal(DeriveTimeouts(Bounds{}), QuickTimeouts)
	is.NoErr(boundsErrors(DefaultBounds))
}

func TestDerivedTimeoutsKeepTheBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		b      Bounds
		grant  int
		worker int
		stale  int
	}{
		{"kingston", Bounds{MaxLeaseMS: 6000, StopMS: 400, GangWaitMS: 3000, CancelMS: 3000, DrainMS: 2000, ApplyTableMS: 2000, AckTableMS: 4000, ReconnectMS: 3000, GraceMS: 6000, NoticeMS: 2300}, 800, 600, 1500},
		{"cluj", Bounds{MaxLeaseMS: 10000, StopMS: 900, GangWaitMS: 3000, CancelMS: 3000, DrainMS: 2000, ApplyTableMS: 2000, AckTableMS: 4000, ReconnectMS: 3000, GraceMS: 6000, NoticeMS: 2300}, 800, 600, 1500},
		{"short hold", Bounds{MaxLeaseMS: 2000, CancelMS: 30000}, 800, 600, 1500},
		{"shorter hold", Bounds{MaxLeaseMS: 1000, CancelMS: 30000}, 800, 600, 1500},
		{"short cancel", Bounds{MaxLeaseMS: 60000, CancelMS: 1000}, 666, 499, 1500},
		{"quick tables", Bounds{MaxLeaseMS: 6000, CancelMS: 3000, ApplyTableMS: 500}, 800, 600, 375},
		{"quick gangs", Bounds{MaxLeaseMS: 6000, CancelMS: 3000, GangWaitMS: 400}, 800, 600, 1500},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := DeriveTimeouts(c.b)
			is.NoErr(boundsErrors(c.b))
			is.Equal(p.LeaseMS, c.grant)
			is.Equal(p.WorkerLeaseMS, c.worker)
			is.Equal(p.StaleAfterMS, c.stale)
		})
	}
}

func TestAnySensibleBoundsGiveValidTimeouts(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	pick := func(least, most int) int {
		if rnd.Intn(8) == 0 {
			return 0
		}
		return least + rnd.Intn(most-least+1)
	}
	for range 20_000 {
		b := Bounds{MaxLeaseMS: pick(2000, 60_000), StopMS: pick(50, 5000), GangWaitMS: pick(300, 20_000), CancelMS: pick(1000, 30_000),
			DrainMS: pick(200, 20_000), ApplyTableMS: pick(300, 30_000), AckTableMS: pick(1000, 30_000), ReconnectMS: pick(500, 30_000), CatchUpMS: pick(2000, 60_000),
			EarlyStartMS: pick(50, 2000), GraceMS: pick(2500, 60_000), NoticeMS: 2300, CheckpointMS: pick(100, 20_000), RestoreMS: pick(50, 5000)}
		if err := boundsErrors(b); err != nil {
			t.Fatal(fmt.Sprintf("%+v", b), DeriveTimeouts(b), err)
		}
	}
}

func TestTimeoutsBeyondBoundsAreReported(t *testing.T) {
	is := is.New(t)
	h := &apierror.ErrorList{}
	p := Defaults().Timeouts
	Bounds{MaxLeaseMS: 1400, GangWaitMS: 1000, CancelMS: 2000, ApplyTableMS: 1500, AckTableMS: 1500, ReconnectMS: 1500, GraceMS: 600, NoticeMS: 700}.check(p, h)
	text := h.Err().Error()
	for _, f := range []string{"pace.grant_ms", "pace.stale_ms", "pace.election_ms", "pace.stall_ms", "pace.again_ms", "notice_ms"} {
		is.True(strings.Contains(text, ": "+f+": "))
	}
	is.Equal(len(h.List()), 7) // the grant stands against two bounds
}
