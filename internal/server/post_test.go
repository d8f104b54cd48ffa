package server

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/wire"
)

// What waits for a peer that takes nothing is bounded in bytes, and the newest stay.
func TestALaneHoldsSoManyBytesAndKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	l := &lane{wake: make(chan struct{}, 1)}
	big := bytes.Repeat([]byte("x"), 100<<10)
	dropped := 0
	for i := range 200 {
		dropped += l.put(wire.Message{Kind: string(rune('a' + i%26)), Body: big})
	}
	is.True(l.size <= heavy)
	is.Equal(len(l.list)+dropped, 200)
	is.Equal(l.list[len(l.list)-1].Kind, string(rune('a'+199%26)))
	for group := l.take(); len(group) > 0; group = l.take() {
		size := 0
		for _, n := range group {
			size += len(n.Body)
		}
		is.True(size <= bulk)
	}
	is.Equal(l.size, 0)
	for range 5000 {
		l.put(wire.Message{Body: []byte("1")})
	}
	is.Equal(len(l.list), depth)
	is.Equal(len(l.take()), share)
}
