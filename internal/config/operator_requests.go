package config

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Drain is the body of a request to drain a worker or rack.
type Drain struct {
	WithinMillis int `json:"within_ms"` // time until it must be empty; 0 lets running tasks end
}

// ReadDrain decodes a drain.
func ReadDrain(document []byte, errs *apierror.ErrorList) Drain {
	var drain Drain
	r := NewReader(document, errs)
	r.ReadDocument(map[string]Field{"within_ms": Int(r, &drain.WithinMillis, 0, dayMillis)})
	return drain
}

// Calendar is the body of a request to set the maintenance calendar of either a worker or a
// rack.
type Calendar struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
	ICS   string      `json:"ics"` // the text of the iCalendar file; see package maintenance
}

// ReadCalendar decodes a calendar. It does not parse the iCalendar text.
func ReadCalendar(document []byte, errs *apierror.ErrorList) Calendar {
	var calendar Calendar
	r := NewReader(document, errs)
	r.ReadDocument(map[string]Field{
		"worker": Text(r, &calendar.Shard, CheckName),
		"rack":   Text(r, &calendar.Rack, CheckName),
		"ics":    Text(r, &calendar.ICS, AnyText),
	})
	if len(errs.List()) == 0 {
		errs.Check((calendar.Shard == "") != (calendar.Rack == ""), "worker", "want either a worker or a rack")
		errs.Check(calendar.ICS != "", "ics", "missing")
	}
	return calendar
}
