package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

func TestForecastFit(t *testing.T) {
	cores := func(n types.MilliCores) types.Resources { return types.Resources{Cores: n * types.Core} }
	short := attemptEnd{expectedIn: time.Second, limitIn: time.Minute, freed: cores(6)}
	long := attemptEnd{expectedIn: time.Hour, limitIn: 2 * time.Hour, freed: cores(3)}
	overdue := attemptEnd{limitIn: time.Second, freed: cores(2)}
	for _, c := range []struct {
		name string
		free types.MilliCores // of the 10 cores that are needed
		ends []attemptEnd
		want fitForecast
	}{
		{"it fits now", 10, []attemptEnd{short}, fitForecast{free: cores(10)}},
		{"it fits beside what runs on", 7, []attemptEnd{short, long},
			fitForecast{expectedIn: time.Second, limitIn: time.Minute, free: cores(13)}},
		{"all must end", 1, []attemptEnd{overdue, short, long},
			fitForecast{expectedIn: time.Hour, limitIn: 2 * time.Hour, free: cores(12)}},
		{"the latest limit counts", 5, []attemptEnd{short, overdue},
			fitForecast{expectedIn: time.Second, limitIn: time.Minute, free: cores(11)}},
		{"it does not fit even then", 2, []attemptEnd{overdue},
			fitForecast{limitIn: time.Second, free: cores(4)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			slot := &placement.Slot{Free: cores(c.free)}
			is.New(t).Equal(forecastFit(slot, cores(10), c.ends), c.want)
		})
	}
}
