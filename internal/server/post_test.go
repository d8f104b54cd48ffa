package server

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

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

// What can wait is sent with what can't, or after its time; nothing waits longer for
// what comes after it.
func TestWhatCanWaitIsKeptForCompany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const linger = 20 * time.Millisecond
		l := &lane{wake: make(chan struct{}, 1)}
		put := func(kind string, after time.Duration) {
			l.put(wire.Message{Kind: kind})
			l.rouse(after)
		}
		sent := func(after time.Duration) (kinds string) {
			time.Sleep(after) // of the test's own clock
			synctest.Wait()
			select {
			case <-l.wake:
			default:
				return "nothing"
			}
			for _, m := range l.take() {
				kinds += m.Kind
			}
			return
		}
		put("a", linger)
		is.Equal(sent(linger-time.Millisecond), "nothing")
		put("b", linger) // goes with a, whose time is over first
		is.Equal(sent(time.Millisecond), "ab")
		is.Equal(sent(time.Second), "nothing")
		put("c", linger)
		put("d", 0)
		is.Equal(sent(0), "cd")
		is.Equal(sent(time.Second), "nothing")
		put("e", linger)
		is.Equal(sent(linger), "e")
	})
}
