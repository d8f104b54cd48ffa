// Bounds are what the surroundings of a cluster ask of it: how long a worker runs
// on without a word, by when a cancel or a table must hold, how long a planned
// stop may take. The pace is derived from them, so that a timing is said once.
package settings

import "coppercourse/internal/apierror"

// Bounds are in milliseconds; 0 is one that nobody asks for.
type Bounds struct {
	Hold       int     // the longest lease of a worker
	Stop       int     // a worker's attempt to end what it was told to stop
	Gang       int     // how long members of a gang wait for one another
	Cancel     int     // from when nothing of a cancelled job may start
	Drain      int     // from when a leaving worker may be given nothing
	Apply      int     // from when a table must be in use everywhere
	Ack        int     // by when a table must be acknowledged
	CatchUp    int     // until a member that is new, or back, counts as there
	Contact    int     // after which daemons that reach each other again must serve
	Early      int     // how far ahead of its time a task may start
	Grace      int     // from the warning of a planned stop to its end
	Notice     int     // until callers know that a daemon is not ready
	Checkpoint int     // work between two times that progress is kept
	Restore    int     // to go on from kept progress
	Far        float64 // how many times as long a task takes away from its data
}

// Usual are the bounds where nobody gives others.
var Usual = Bounds{Cancel: 3000, Drain: 2000, Apply: 2000, Early: 250, Grace: 6000, Notice: 700, Far: 1}

// some is a part of a bound, or the default where the bound asks for nothing less.
func some(usual, bound, times, of int) int {
	if bound == 0 {
		return usual
	}
	return max(1, min(usual, bound*times/of))
}

// Quick is the pace where the surroundings give bounds: a lost worker or leader
// costs less there than beats do.
var Quick = Timeouts{Beat: 100, Ill: 400, Loss: 1000, Grant: 800, Worker: 600, Again: 100, Round: 40, Election: 200, Stall: 400,
	Dead: 5000, Stale: 1500}

// Derive makes a pace that holds within the bounds: the quick one, or less of it.
func Derive(b Bounds) Timeouts {
	p := Quick
	p.Grant = min(some(p.Grant, b.Hold, 8, 10), some(p.Grant, b.Cancel, 2, 3))
	p.Worker = min(p.Worker, p.Grant*3/4)
	p.Stale = some(p.Stale, b.Apply, 3, 4)
	p.Election = min(p.Election, p.Grant/4, some(p.Election, b.Contact, 1, 6), some(p.Election, b.Ack, 1, 8))
	p.Round = max(1, min(p.Round, p.Election/5))
	p.Stall = min(p.Stall, 2*p.Election)
	p.Beat = max(1, min(p.Beat, p.Grant*3/20))
	p.Again = min(p.Again, p.Beat, some(p.Again, b.Gang, 1, 5))
	p.Loss = max(p.Loss, (5*p.Grant+3)/4)
	p.Dead = max(p.Loss+1, some(p.Dead, b.CatchUp, 3, 8))
	return p
}

// check ties bounds and pace together.
func (b Bounds) check(p Timeouts, h *apierror.ErrorList) {
	within := func(bound int, ok bool, field, reason string) { h.Check(bound == 0 || ok, field, reason) }
	within(b.Hold, 10*p.Grant <= 9*b.Hold, "pace.grant_ms", "must be at most nine tenths of the longest lease of a worker")
	within(b.Hold, p.Loss > p.Worker*51/50, "pace.loss_ms", "must outlast a worker's lease on a clock that is 2% slow")
	within(b.Cancel, 6*p.Grant <= 5*b.Cancel, "pace.grant_ms", "must be at most five sixths of the time in which a cancel holds")
	within(b.Apply, 5*p.Stale <= 4*b.Apply, "pace.stale_ms", "must be at most four fifths of the time in which a table is in use everywhere")
	within(b.Contact, 4*p.Election <= b.Contact, "pace.election_ms", "must be at most a quarter of the time after which daemons must serve again")
	within(b.Ack, p.Stall+2*p.Election < b.Ack, "pace.stall_ms", "must leave time to elect another leader before a table must be acknowledged")
	within(b.CatchUp, p.Dead+2*p.Stall+4*p.Election <= b.CatchUp, "pace.dead_ms", "must leave time to elect a leader and to give a new member its vote before a lost one counts as replaced")
	within(b.Gang, 4*p.Again <= b.Gang, "pace.again_ms", "must be at most a quarter of the time that members of a gang wait for one another")
	within(b.Grace, b.Notice < b.Grace, "notice_ms", "must be less than the time that a planned stop may take")
}
