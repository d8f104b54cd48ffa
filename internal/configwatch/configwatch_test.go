package configwatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// A reader that was out of the publisher's reach for longer than its confirmation lasts,
// and has the very table in force, may decide by it again soon after it can ask;
// however often it asks, it does not put off its own answer.
func TestWatcherIsConfirmedAgainAfterAPartition(t *testing.T) {
	for _, stale := range []time.Duration{300 * time.Millisecond, DefaultStaleAfter} {
		is := is.New(t)
		table := config.Table{Version: 31}
		publisher, r := NewPublisher("controller:1"), NewWatcher("gateway:1", stale, 7<<32)
		fresh := func(from, to time.Duration, reach bool) (first time.Duration) {
			for at := from; at < to; at += 10 * time.Millisecond {
				now := types.MonoTime(at)
				for _, s := range r.Tick(now, "controller:1") {
					if reach {
						publisher.HandleRequest(now, s.Message)
					}
				}
				for _, s := range publisher.Responses(now, table) {
					if reach {
						r.HandleResponse(s.Message)
					}
				}
				if first == 0 && r.Fresh(now) {
					first = at
				}
			}
			return
		}
		is.True(fresh(time.Second, 2*time.Second, true) > 0)
		is.True(r.Fresh(types.MonoTime(2 * time.Second)))
		fresh(2*time.Second, 6*time.Second, false)
		is.True(!r.Fresh(types.MonoTime(6 * time.Second)))
		first := fresh(6*time.Second, 8*time.Second, true)
		is.True(first > 0 && first < 6*time.Second+200*time.Millisecond) // it must be confirmed again at once
		is.True(r.Fresh(types.MonoTime(8 * time.Second)))
	}
}

// Who asks often is answered when the hold of the first question is over.
func TestAskingAgainDoesNotDelayTheResponse(t *testing.T) {
	is := is.New(t)
	publisher, r := NewPublisher("controller:1"), NewWatcher("gateway:1", DefaultStaleAfter, 7<<32)
	r.hasTable, r.Table.Version = true, 31
	told := 0
	for at := time.Second; at < 2*time.Second; at += 50 * time.Millisecond {
		r.awaitingResponse, r.confirmedAt = false, types.MonoTime(at) // a reader that is confirmed and asks each time
		for _, s := range r.Tick(types.MonoTime(at), "controller:1") {
			publisher.HandleRequest(types.MonoTime(at), s.Message)
		}
		told += len(publisher.Responses(types.MonoTime(at), config.Table{Version: 31}))
	}
	is.True(told >= 2)
}

// An answer to the process that was at this address before counts from that
// one's clock. It confirms nothing, whether that clock was ahead or behind.
func TestResponseToFormerIncarnationConfirmsNothing(t *testing.T) {
	is := is.New(t)
	for _, former := range []time.Duration{time.Hour, 2 * time.Second} {
		publisher := NewPublisher("controller:1")
		old := NewWatcher("gateway:1", DefaultStaleAfter, 7<<32)
		for _, s := range old.Tick(types.MonoTime(former), "controller:1") {
			publisher.HandleRequest(types.MonoTime(former), s.Message)
		}
		late := publisher.Responses(types.MonoTime(former), config.Table{Version: 31})
		is.Equal(len(late), 1)
		is.True(old.HandleResponse(late[0].Message)) // it was a good answer to that one

		now := types.MonoTime(3 * time.Second)
		r := NewWatcher("gateway:1", DefaultStaleAfter, 8<<32) // the next process at the address, by a clock of its own
		asked := r.Tick(now, "controller:1")
		is.Equal(len(asked), 1)
		is.True(!r.HandleResponse(late[0].Message))
		is.True(!r.Fresh(now))
		publisher.HandleRequest(now, asked[0].Message)
		for _, s := range publisher.Responses(now.Add(longPollHold), config.Table{Version: 32}) {
			is.True(r.HandleResponse(s.Message)) // its own answer does
		}
		is.True(r.Fresh(now))
		is.Equal(r.Table.Version, types.Version(32))
	}
}
