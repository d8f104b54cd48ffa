package types

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestCoresAreDecimalsOfThousandths(t *testing.T) {
	for text, want := range map[string]MilliCores{"1": 1000, "0.25": 250, "1.5": 1500, "16": 16000, "0.001": 1, "12.34": 12340} {
		is := is.New(t)
		var c MilliCores
		is.NoErr(json.Unmarshal([]byte(text), &c))
		is.Equal(c, want)
		b, err := json.Marshal(c)
		is.NoErr(err)
		is.Equal(string(b), text)
	}
	for _, text := range []string{"1.2345", "1e3", `"1"`, "1.-5"} {
		var c MilliCores
		is.New(t).True(json.Unmarshal([]byte(text), &c) != nil) // refused
	}
	b, err := json.Marshal(MilliCores(-1500))
	is.New(t).NoErr(err)
	is.New(t).Equal(string(b), "-1.5")
}

func TestRoomFitsByItsScarcestPart(t *testing.T) {
	is := is.New(t)
	r := Resources{Cores: 16 * Core, MemoryMB: 100, Accelerators: 2}
	is.Equal(r.FitCount(Resources{Cores: Core}), 16)
	is.Equal(r.FitCount(Resources{Cores: Core, MemoryMB: 30}), 3)
	is.Equal(r.FitCount(Resources{Cores: Core, MemoryMB: 30, Accelerators: 1}), 2)
	is.Equal(r.Sub(Resources{Cores: 20 * Core}).FitCount(Resources{Cores: Core}), 0)
	is.True(!r.Contains(Resources{Accelerators: 3}))
}
