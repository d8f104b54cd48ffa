package configwatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// watcher is a reader, or one with a planted bug.
type watcher interface {
	Tick(now types.MonoTime, lead types.Addr) []wire.Send
	Take(now types.MonoTime, n wire.Message)
	Decides(now types.MonoTime) (types.Version, bool)
	Restart(now types.MonoTime)
}

// sound is the reader as it is.
type sound struct {
	reader *Watcher
	base   types.MonoTime // when its process began: its clock starts there
	lives  types.MonoTime
}

func (s *sound) Tick(now types.MonoTime, lead types.Addr) []wire.Send {
	return s.reader.Tick(now-s.base, lead)
}
func (s *sound) Take(_ types.MonoTime, n wire.Message) { s.reader.Take(n) }
func (s *sound) Decides(now types.MonoTime) (types.Version, bool) {
	return s.reader.Table.Version, s.reader.Fresh(now - s.base)
}
func (s *sound) Restart(now types.MonoTime) {
	s.lives++
	s.base, s.reader = now, NewWatcher("gateway:1", DefaultStaleAfter, s.lives<<32)
}

// countsFromReceipt lets a confirmation count from when its answer is taken.
type countsFromReceipt struct{ sound }

func (c *countsFromReceipt) Take(now types.MonoTime, n wire.Message) {
	c.sound.Take(now, n)
	if b, ok := wire.Read[watchResponse](n); ok && b.Version == c.reader.Table.Version {
		c.reader.sure = now - c.base
	}
}

// takesAnyMark believes the stamp that an answer brings, as marks once were.
type takesAnyMark struct{ sound }

func (t *takesAnyMark) Tick(now types.MonoTime, lead types.Addr) []wire.Send {
	sends := t.sound.Tick(now, lead)
	for i := range sends {
		a, _ := wire.Read[watchRequest](sends[i].Message)
		a.Mark = now - t.base
		sends[i].Message.Body = wire.Body(a)
	}
	return sends
}

func (t *takesAnyMark) Take(_ types.MonoTime, n wire.Message) {
	b, _ := wire.Read[watchResponse](n)
	mark := b.Mark
	b.Mark = t.reader.mark
	n.Body = wire.Body(b)
	was := t.reader.sure
	t.reader.Take(n)
	t.reader.sure = was
	if b.Version == t.reader.Table.Version {
		t.reader.sure = max(was, mark)
	}
}

// publishedBit answers by what its last step found, and steps seldom.
type publishedBit struct {
	sound
	version types.Version
	fresh   bool
	stepped types.MonoTime
}

func (p *publishedBit) Decides(now types.MonoTime) (types.Version, bool) {
	if now.Sub(p.stepped) >= 3*time.Second {
		p.stepped = now
		p.version, p.fresh = p.sound.Decides(now)
	}
	return p.version, p.fresh
}

// day plays a reader whose questions and answers take long on their way, whose
// process starts anew at times, and a leader whose table changes. It gives the
// first time that the reader decided by a version too old.
func day(w watcher, late time.Duration) string {
	const step = 10 * time.Millisecond
	type flight struct {
		at          types.MonoTime
		message     wire.Message
		toPublisher bool
	}
	publisher, table := NewPublisher("controller:1"), config.Table{Version: 1}
	changed := types.MonoTime(0) // when the latest version was acknowledged
	var way []flight
	w.Restart(0)
	for now := types.MonoTime(0); now < types.MonoTime(40*time.Second); now += types.MonoTime(step) {
		switch {
		case now%types.MonoTime(6*time.Second) == types.MonoTime(4*time.Second):
			table, changed = config.Table{Version: table.Version + 1}, now
		case now%types.MonoTime(9*time.Second) == types.MonoTime(8*time.Second):
			w.Restart(now)
		}
		kept := way[:0]
		for _, f := range way {
			switch {
			case f.at > now:
				kept = append(kept, f)
			case f.toPublisher:
				publisher.Take(now, f.message)
			default:
				w.Take(now, f.message)
			}
		}
		way = kept
		delay := late
		if now%types.MonoTime(7*time.Second) < types.MonoTime(2*time.Second) {
			delay = 2 * step
		}
		for _, s := range w.Tick(now, "controller:1") {
			way = append(way, flight{now.Add(2 * step), s.Message, true})
		}
		for _, s := range publisher.Answer(now, table) {
			way = append(way, flight{now.Add(delay), s.Message, false})
		}
		if v, ok := w.Decides(now); ok && v < table.Version && now.Sub(changed) > DefaultStaleAfter {
			return fmt.Sprintf("at %v by version %d, %v after version %d", time.Duration(now), v, now.Sub(changed), table.Version)
		}
	}
	return ""
}

// However late answers come and however often the process starts anew, nothing is
// decided by a table that was replaced longer ago than a confirmation lasts; each
// planted bug is seen to do so.
func TestNoWatcherDecidesByATableReplacedLongAgo(t *testing.T) {
	planted := map[string]func() watcher{
		"counts from receipt": func() watcher { return &countsFromReceipt{} },
		"takes any mark":      func() watcher { return &takesAnyMark{} },
		"published bit":       func() watcher { return &publishedBit{stepped: -1 << 60} },
	}
	caught := map[string]string{}
	for late := 100 * time.Millisecond; late <= 5*time.Second; late += 100 * time.Millisecond {
		is := is.New(t)
		is.Equal(day(&sound{}, late), "")
		for name, make := range planted {
			if found := day(make(), late); found != "" && caught[name] == "" {
				caught[name] = found
			}
		}
	}
	for name := range planted {
		if caught[name] == "" {
			t.Errorf("the planted bug %q was not caught", name)
		}
	}
}

// An answer to a question of an earlier process confirms nothing.
func TestAnAnswerToAnEarlierProcessConfirmsNothing(t *testing.T) {
	is := is.New(t)
	old := NewWatcher("gateway:1", DefaultStaleAfter, 1<<40)
	question := old.Tick(types.MonoTime(500*time.Second), "controller:1")[0].Message
	publisher := NewPublisher("controller:1")
	publisher.Take(0, question)
	answer := publisher.Answer(0, config.Table{Version: 7})[0].Message
	r := NewWatcher("gateway:1", DefaultStaleAfter, 1<<50)
	is.True(!r.Take(answer)) // not even the table is taken: this process has not asked
	is.True(!r.any)
	is.True(!r.Fresh(0))
	is.True(!r.Fresh(types.MonoTime(time.Second)))
	publisher.Take(0, r.Tick(types.MonoTime(time.Second), "controller:1")[0].Message)
	publisher.waits["gateway:1"] = pendingWatch{publisher.waits["gateway:1"].ask, 0}
	r.Take(publisher.Answer(types.MonoTime(time.Second), config.Table{Version: 7})[0].Message)
	is.Equal(r.ConfirmedUntil(), types.MonoTime(time.Second).Add(DefaultStaleAfter)) // from when it was asked
}
