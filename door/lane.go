// A lane holds what waits to be sent to one mate: so many notes and bytes, and
// none for long. What finds it full is dropped, and so is what has grown old in
// it, since the machines repeat what matters. Dropping the oldest for the newest
// would leave a mate that is catching up without the part that it needs next.
package door

import (
	"sync"
	"time"

	"coppercourse/word"
)

const (
	depth = 1024
	heavy = 2 << 20
	load  = 1 << 20 // of one request
	old   = 1500 * time.Millisecond
)

type waiting struct {
	note word.Note
	at   time.Time
}

type lane struct {
	mu    sync.Mutex
	list  []waiting
	bytes int
	wake  chan struct{}
}

func newLane() *lane { return &lane{wake: make(chan struct{}, 1)} }

func size(n word.Note) int { return len(n.Body) + 64 }

// put adds a note; false when there is no place for it.
func (l *lane) put(n word.Note, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) >= depth || l.bytes+size(n) > heavy && len(l.list) > 0 {
		return false
	}
	l.list = append(l.list, waiting{n, now})
	l.bytes += size(n)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// take gives what shares one request, and tells how many were too old for it.
func (l *lane) take(now time.Time) (group []word.Note, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for len(l.list) > 0 && len(group) < share && sum < load {
		w := l.list[0]
		l.list[0] = waiting{}
		l.list = l.list[1:]
		l.bytes -= size(w.note)
		if now.Sub(w.at) > old {
			dropped++
			continue
		}
		group = append(group, w.note)
		sum += size(w.note)
	}
	if len(l.list) == 0 {
		l.list = nil
	}
	return
}
