package state

// One task of a job: how its attempts ended, what is known of it, and whether it may
// have another.

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	OK     Outcome = "ok"
	Bad    Outcome = "failed"
	Lost   Outcome = "lost"
	Cut    Outcome = "cut off" // lost with its whole locality, which may come back
	Waited Outcome = "waited"  // a lost leg's end has been waited for long enough
	Halted Outcome = "stopped"
	Unrun  Outcome = "refused" // it never ran and never will
	Gone   Outcome = "gone"    // its worker process is known to have ended
	Lapsed Outcome = "lapsed"  // its lease ended unseen: nothing that it did counts any more
)

// doubtful outcomes are not the last word: the attempt may have ended well unseen.
func (o Outcome) doubtful() bool { return o == Lost || o == Cut }

// IsFact is true for what a worker did, whoever tells it.
func (o Outcome) IsFact() bool { return o == OK || o == Bad }

// Over is true where somebody beside the worker knows that the attempt takes no room
// there any more.
func (o Outcome) Over() bool { return o.IsFact() || o == Halted || o == Unrun }

// Out is the attempt given out and not ended.
type Out struct {
	Attempt int         `json:"leg"`
	Shard   types.Shard `json:"shard"`
	At      types.Tick  `json:"at"`
	Back    Why         `json:"back,omitempty"` // it is being taken back
}

// Task is one task's account. Fails are what the queue's tries count.
type Task struct {
	Attempt int         `json:"leg"`
	Out     *Out        `json:"out,omitempty"`
	Copy    *Out        `json:"copy,omitempty"` // a second one beside it, where the step allows that
	Done    bool        `json:"done,omitempty"`
	Dead    bool        `json:"dead,omitempty"`
	Fails   int         `json:"fails,omitempty"`
	Lost    int         `json:"lost,omitempty"`
	Halts   int         `json:"stopped,omitempty"`
	Moved   int         `json:"displaced,omitempty"`
	Shun    types.Shard `json:"shun,omitempty"` // where a leg of it stalled or failed last
	Ready   types.Tick  `json:"ready"`
	// Doubt is the worker whose word is awaited: the last attempt was lost there,
	// and may yet turn out to have ended well.
	Doubt types.Shard `json:"doubt,omitempty"`
	Limbo []int       `json:"limbo,omitempty"` // legs lost whose true end is not known
	Shut  int         `json:"shut,omitempty"`  // legs up to this one have lapsed
	Bad   int         `json:"bad,omitempty"`   // the last leg of it that was counted failed
	Ref   string      `json:"ref,omitempty"`   // what its last leg saved, to go on from
}

// Outs are the attempts given out and not ended.
func (t *Task) Outs() (list []*Out) {
	for _, o := range [...]*Out{t.Out, t.Copy} {
		if o != nil {
			list = append(list, o)
		}
	}
	return
}

// On is the attempt with a number, if it is out.
func (t *Task) On(attempt int) *Out {
	for _, o := range [...]*Out{t.Out, t.Copy} {
		if o != nil && o.Attempt == attempt {
			return o
		}
	}
	return nil
}

// drop takes an attempt that has ended from those that are out.
func (t *Task) drop(attempt int) {
	if t.Out.Attempt == attempt {
		t.Out = t.Copy
	}
	t.Copy = nil
}

// rest is how long a task waits after a loss, longer each time and up to five
// minutes, for it may be what takes its workers down; unless its queue's row says
// how it rests.
func rest(p *Step, t *Task, row config.Row) time.Duration {
	switch {
	case p.Lasts:
		return row.Pause(1)
	case row.Rest > 0:
		return row.Pause(t.Lost)
	}
	return min(5*time.Minute, 100*ms<<min(t.Lost, 12))
}

// spent tells whether a task may be given out no more.
func (t *Task) spent(row config.Row) bool {
	return t.Fails >= row.Tries || row.Losses > 0 && t.Lost >= row.Losses
}

// Knows tells whether an end of an attempt would change nothing any more.
func (t *Task) Knows(attempt int, f Outcome) bool {
	switch {
	case t.On(attempt) != nil:
		return false
	case attempt <= t.Shut:
		return true
	case slices.Contains(t.Limbo, attempt):
		return f.doubtful()
	}
	return f != OK || t.Done
}
