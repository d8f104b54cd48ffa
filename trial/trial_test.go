// Simulated runs under fixed seeds; the long sweeps are `trial sweep`.
package trial

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCalm(t *testing.T) {
	is := is.New(t)
	r := Build(Plan{Seed: 1, Town: "kingston", Calm: 20 * time.Second, Settle: 30 * time.Second, Patience: 30 * time.Second}).Go()
	breaks, untold := Check(&r.Hist, Rules, r.done, 3, 30*time.Second)
	t.Log(Summary(&r.Hist), r.Crew.Count)
	for _, b := range breaks {
		t.Error(b)
	}
	is.Equal(untold, 0)
	is.True(Rate(&r.Hist, int64(12*time.Second), int64(26*time.Second)) > 6)
}
