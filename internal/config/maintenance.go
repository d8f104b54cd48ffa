package config

// Drains and maintenance calendars, as operators send them.

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Drain is the body of a drain: within how many milliseconds the worker or rack
// must be empty, or 0 to let what runs there end.
type Drain struct {
	WithinMillis int `json:"within_ms"`
}

// ReadDrain decodes a drain.
func ReadDrain(document []byte, errs *apierror.ErrorList) (d Drain) {
	r := NewReader(document, errs)
	r.ReadDocument(map[string]Field{"within_ms": Int(r, &d.WithinMillis, 0, dayMillis)})
	return
}

// Calendar is the body of a maintenance calendar: the worker or the rack that it
// is for, and the text of the iCalendar file.
type Calendar struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
	ICS   string      `json:"ics"`
}

// ReadCalendar decodes a calendar. The text itself is read by package maintenance.
func ReadCalendar(document []byte, errs *apierror.ErrorList) (c Calendar) {
	r := NewReader(document, errs)
	r.ReadDocument(map[string]Field{
		"worker": Text(r, &c.Shard, CheckName),
		"rack":   Text(r, &c.Rack, CheckName),
		"ics":    Text(r, &c.ICS, acceptAny),
	})
	if len(errs.List()) == 0 {
		errs.Check((c.Shard == "") != (c.Rack == ""), "worker", "want either a worker or a rack")
		errs.Check(c.ICS != "", "ics", "missing")
	}
	return
}
