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

// testWatcher is a reader, or one with a planted bug.
type testWatcher interface {
	Tick(now types.MonoTime, lead types.Addr) []wire.OutboundMessage
	HandleResponse(now types.MonoTime, n wire.Message)
	Decides(now types.MonoTime) (types.Version, bool)
	Restart(now types.MonoTime)
}

// soundWatcher is the reader as it is.
type soundWatcher struct {
	watcher     *Watcher
	startedAt   types.MonoTime // when its process began: its clock starts there
	incarnation types.MonoTime
}

func (s *soundWatcher) Tick(now types.MonoTime, lead types.Addr) []wire.OutboundMessage {
	return s.watcher.Tick(now-s.startedAt, lead)
}
func (s *soundWatcher) HandleResponse(_ types.MonoTime, n wire.Message) { s.watcher.HandleResponse(n) }
func (s *soundWatcher) Decides(now types.MonoTime) (types.Version, bool) {
	return s.watcher.Table.Version, s.watcher.Fresh(now - s.startedAt)
}
func (s *soundWatcher) Restart(now types.MonoTime) {
	s.incarnation++
	s.startedAt, s.watcher = now, NewWatcher("gateway:1", DefaultStaleAfter, s.incarnation<<32)
}

// countsFromReceipt lets a confirmation count from when its answer is taken.
type countsFromReceipt struct{ soundWatcher }

func (c *countsFromReceipt) HandleResponse(now types.MonoTime, n wire.Message) {
	c.soundWatcher.HandleResponse(now, n)
	if b, ok := wire.DecodeBody[watchResponse](n); ok && b.Version == c.watcher.Table.Version {
		c.watcher.confirmedAt = now - c.startedAt
	}
}

// trustsAnyNonce believes the stamp that an answer brings, as marks once were.
type trustsAnyNonce struct{ soundWatcher }

func (t *trustsAnyNonce) Tick(now types.MonoTime, lead types.Addr) []wire.OutboundMessage {
	sends := t.soundWatcher.Tick(now, lead)
	for i := range sends {
		a, _ := wire.DecodeBody[watchRequest](sends[i].Message)
		a.Nonce = now - t.startedAt
		sends[i].Message.Body = wire.EncodeBody(a)
	}
	return sends
}

func (t *trustsAnyNonce) HandleResponse(_ types.MonoTime, n wire.Message) {
	b, _ := wire.DecodeBody[watchResponse](n)
	mark := b.Nonce
	b.Nonce = t.watcher.lastNonce
	n.Body = wire.EncodeBody(b)
	was := t.watcher.confirmedAt
	t.watcher.HandleResponse(n)
	t.watcher.confirmedAt = was
	if b.Version == t.watcher.Table.Version {
		t.watcher.confirmedAt = max(was, mark)
	}
}

// cachesDecision answers by what its last step found, and steps seldom.
type cachesDecision struct {
	soundWatcher
	version types.Version
	fresh   bool
	stepped types.MonoTime
}

func (c *cachesDecision) Decides(now types.MonoTime) (types.Version, bool) {
	if now.Sub(c.stepped) >= 3*time.Second {
		c.stepped = now
		c.version, c.fresh = c.soundWatcher.Decides(now)
	}
	return c.version, c.fresh
}

// runScenario plays a reader whose questions and answers take long on their way, whose
// process starts anew at times, and a leader whose table changes. It gives the
// first time that the reader decided by a version too old.
func runScenario(w testWatcher, late time.Duration) string {
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
				publisher.HandleRequest(now, f.message)
			default:
				w.HandleResponse(now, f.message)
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
		for _, s := range publisher.Responses(now, table) {
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
	planted := map[string]func() testWatcher{
		"counts from receipt": func() testWatcher { return &countsFromReceipt{} },
		"takes any mark":      func() testWatcher { return &trustsAnyNonce{} },
		"published bit":       func() testWatcher { return &cachesDecision{stepped: -1 << 60} },
	}
	caught := map[string]string{}
	for late := 100 * time.Millisecond; late <= 5*time.Second; late += 100 * time.Millisecond {
		is := is.New(t)
		is.Equal(runScenario(&soundWatcher{}, late), "")
		for name, make := range planted {
			if found := runScenario(make(), late); found != "" && caught[name] == "" {
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
func TestResponseToEarlierProcessConfirmsNothing(t *testing.T) {
	is := is.New(t)
	old := NewWatcher("gateway:1", DefaultStaleAfter, 1<<40)
	question := old.Tick(types.MonoTime(500*time.Second), "controller:1")[0].Message
	publisher := NewPublisher("controller:1")
	publisher.HandleRequest(0, question)
	answer := publisher.Responses(0, config.Table{Version: 7})[0].Message
	r := NewWatcher("gateway:1", DefaultStaleAfter, 1<<50)
	is.True(!r.HandleResponse(answer)) // not even the table is taken: this process has not asked
	is.True(!r.hasTable)
	is.True(!r.Fresh(0))
	is.True(!r.Fresh(types.MonoTime(time.Second)))
	publisher.HandleRequest(0, r.Tick(types.MonoTime(time.Second), "controller:1")[0].Message)
	publisher.pending["gateway:1"] = pendingWatch{publisher.pending["gateway:1"].request, 0}
	r.HandleResponse(publisher.Responses(types.MonoTime(time.Second), config.Table{Version: 7})[0].Message)
	is.Equal(r.ConfirmedUntil(), types.MonoTime(time.Second).Add(DefaultStaleAfter)) // from when it was asked
}
