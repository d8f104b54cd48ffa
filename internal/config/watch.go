// What operators write beside the table: drains, and calendars as they come.
package config

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Drain is the body of a drain: within how long the target must be empty, or 0
// to let what runs there end.
type Drain struct {
	Within int `json:"within_ms"`
}

func ReadDrain(b []byte, heap *apierror.ErrorList) (d Drain) {
	r := NewReader(b, heap)
	r.Whole(map[string]Field{"within_ms": Num(r, &d.Within, 0, 86_400_000)})
	return
}

// Calendar is the body of a calendar: whose it is, and the file's text.
type Calendar struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
	Text  string      `json:"ics"`
}

func ReadCalendar(b []byte, heap *apierror.ErrorList) (c Calendar) {
	r := NewReader(b, heap)
	r.Whole(map[string]Field{
		"worker": Text(r, &c.Shard, Name),
		"rack":   Text(r, &c.Rack, Name),
		"ics":    Text(r, &c.Text, func(string) string { return "" }),
	})
	if len(heap.List()) == 0 {
		heap.Check((c.Shard == "") != (c.Rack == ""), "worker", "want either a worker or a rack")
		heap.Check(c.Text != "", "ics", "missing")
	}
	return
}
