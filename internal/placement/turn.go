// Whose turn it is: queues without aims by priority, share and weight; work of
// queues whose jobs have aims by what it gains.
package placement

import (
	"sort"

	"coppercourse/internal/types"
)

func line(wants []Want, dues map[types.Queue]*Due) (turns []*turn) {
	by := map[types.Queue]*turn{}
	for _, w := range wants {
		if len(w.Tasks) == 0 {
			continue
		}
		t := by[w.Queue]
		if t == nil {
			d := dues[w.Queue]
			if d == nil {
				continue
			}
			t = &turn{due: d}
			by[w.Queue], turns = t, append(turns, t)
		}
		t.wants = append(t.wants, w)
	}
	for _, t := range turns {
		sort.SliceStable(t.wants, func(i, k int) bool {
			a, b := &t.wants[i], &t.wants[k]
			return a.Urgency > b.Urgency || a.Urgency == b.Urgency && t.due.Row.Aims() && sooner(a, b)
		})
	}
	return
}

// Class is what a job can still be worth.
type Class int

const (
	InAim Class = iota // it can be done within its aim
	Late               // within three times that
	Spent              // it can't
)

// behind is how far a class puts work behind that of other queues that is in aim.
var behind = map[Class]int{InAim: 0, Late: 2, Spent: 6}

func (w *Want) rank(d *Due) int { return d.Row.Priority + behind[w.Class] }

// sooner puts what can still meet its aim before what can't.
func sooner(a, b *Want) bool {
	return a.Turn < b.Turn
}

// next is the queue whose turn it is: by priority; then those below their share,
// the one furthest below before the others; then by cores in use for each weight.
// Queues whose jobs have aims stand together, at the place of the first of them, and
// of those it is the one with the lowest turn, which has their priority in it.
func next(turns []*turn, total types.Cores) *turn {
	var plain, aims *turn
	first := 0 // the best rank of those with aims
	for _, t := range turns {
		if len(t.wants) == 0 {
			continue
		}
		if rank := t.wants[0].rank(t.due); t.due.Row.Aims() {
			if aims == nil || rank < first {
				first = rank
			}
			if aims == nil || sooner(&t.wants[0], &aims.wants[0]) {
				aims = t
			}
		} else if plain == nil || t.before(plain, rank, plain.wants[0].rank(plain.due), total) {
			plain = t
		}
	}
	if aims == nil || plain != nil && plain.before(aims, plain.wants[0].rank(plain.due), first, total) {
		return plain
	}
	return aims
}

// before compares two queues by the ranks that they have.
func (t *turn) before(o *turn, p, q int, total types.Cores) bool {
	if p != q {
		return p < q
	}
	a, x := t.due.lacks(total)
	b, y := o.due.lacks(total)
	return a && !b || a == b && x < y
}

// lacks tells whether a queue is below its share, and how little it has.
func (d *Due) lacks(total types.Cores) (bool, float64) {
	part := 100 * float64(d.Cores) / float64(max(total, 1))
	if s := float64(d.Row.Share); part < s {
		return true, part / s
	}
	return false, float64(d.Cores) / float64(d.Row.Weight)
}
