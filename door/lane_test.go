// What waits for a mate that can't be reached stays small, and what is sent when
// it can be reached again is in order and not old.
package door

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/word"
)

func TestALaneStaysSmall(t *testing.T) {
	is := is.New(t)
	l, now := newLane(), time.Now()
	big := make([]byte, 300<<10)
	taken := 0
	for range 100 {
		if l.put(word.Note{Body: big}, now) {
			taken++
		}
	}
	is.Equal(taken, 6) // two megabytes
	l = newLane()
	for range 3 * depth {
		l.put(word.Note{}, now)
	}
	is.Equal(len(l.list), depth)
	is.True(newLane().put(word.Note{Body: make([]byte, 2*heavy)}, now)) // one alone always has a place
}

func TestALaneKeepsOrderAndDropsWhatIsOld(t *testing.T) {
	is := is.New(t)
	l, now := newLane(), time.Now()
	for i, kind := range []string{"a", "b", "c", "d"} {
		is.True(l.put(word.Note{Kind: kind}, now.Add(time.Duration(i)*time.Second)))
	}
	group, dropped := l.take(now.Add(3 * time.Second))
	is.Equal(dropped, 2)
	is.Equal([]string{group[0].Kind, group[1].Kind}, []string{"c", "d"})
	is.Equal(l.bytes, 0)
	for range 5 {
		l.put(word.Note{Body: make([]byte, 400<<10)}, now)
	}
	group, _ = l.take(now)
	is.Equal(len(group), 3) // a request has about a megabyte
	group, _ = l.take(now)
	is.Equal(len(group), 2)
}
