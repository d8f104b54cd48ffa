package types

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestCoresAreDecimalsOfThousandths(t *testing.T) {
	for text, want := range map[string]Cores{"1": 1000, "0.25": 250, "1.5": 1500, "16": 16000, "0.001": 1, "12.34": 12340} {
		is := is.New(t)
		var c Cores
		is.NoErr(json.Unmarshal([]byte(text), &c))
		is.Equal(c, want)
		b, err := json.Marshal(c)
		is.NoErr(err)
		is.Equal(string(b), text)
	}
	for _, text := range []string{"1.2345", "1e3", `"1"`, "1.-5"} {
		var c Cores
		is.New(t).True(json.Unmarshal([]byte(text), &c) != nil) // refused
	}
	b, err := json.Marshal(Cores(-1500))
	is.New(t).NoErr(err)
	is.New(t).Equal(string(b), "-1.5")
}

func TestRoomFitsByItsScarcestPart(t *testing.T) {
	is := is.New(t)
	r := Room{Cores: 16 * Core, Memory: 100, Accel: 2}
	is.Equal(r.Fits(Room{Cores: Core}), 16)
	is.Equal(r.Fits(Room{Cores: Core, Memory: 30}), 3)
	is.Equal(r.Fits(Room{Cores: Core, Memory: 30, Accel: 1}), 2)
	is.Equal(r.Minus(Room{Cores: 20 * Core}).Fits(Room{Cores: Core}), 0)
	is.True(!r.Holds(Room{Accel: 3}))
}
