// The long poll of the table: what is confirmed, and how soon it is again.
package news

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/blueprint"
	"coppercourse/mark"
)

// A reader that knows the table and has heard no leader for longer than that lasts
// is confirmed soon after one is back: asking again and again holds no answer up.
func TestAKnownTableIsConfirmedAgainAfterAnOutage(t *testing.T) {
	is := is.New(t)
	at := func(ms int) mark.Stamp { return mark.Stamp(0).Add(time.Duration(ms) * time.Millisecond) }
	r, d := NewReader("g", Stale), NewDesk("h")
	table := blueprint.Table{Edition: 3}
	fresh := 0
	for ms := 0; ms < 20_000; ms += 10 {
		away := ms >= 5000 && ms < 9000
		for _, s := range r.Tick(at(ms), "h") {
			if !away {
				d.Take(at(ms+1), s.Note)
			}
		}
		if !away {
			for _, s := range d.Tell(at(ms+2), table) {
				r.Take(s.Note)
			}
		}
		if ms == 8990 {
			is.True(!r.Fresh(at(ms)))
		}
		if r.Fresh(at(ms)) && ms >= 9000 && fresh == 0 {
			fresh = ms
		}
		is.True(ms < 9600 && ms >= 5000 || ms < 100 || r.Fresh(at(ms)))
	}
	t.Logf("confirmed %d ms after the leader was back", fresh-9000)
	is.True(fresh > 0)
}
