package workqueue

import (
	"time"

	"coppercourse/internal/wire"
)

const (
	// EntryPatience is how long the oldest request of a caller may have waited
	// before new work is turned away at once.
	EntryPatience = 250 * time.Millisecond
	// RequestPatience is how long a request waits for the machine before it is
	// turned away untaken.
	RequestPatience = 700 * time.Millisecond
	// CallPatience is so for a request that a gateway handed over, which must hear of
	// it before it asks another controller.
	CallPatience = 450 * time.Millisecond
	// ReportPatience is how long a report of ends waits. Its sender has repeated it
	// by then, and will until it is settled.
	ReportPatience = time.Second
)

// Patience is how long an event may wait for the machine; 0 is for ever.
func Patience(e wire.Event) time.Duration {
	switch {
	case e.Ask != nil && e.Class() == wire.Callers:
		return RequestPatience
	case e.Message != nil && e.Message.Kind == wire.Call:
		return CallPatience
	case e.Message != nil && e.Message.Kind == wire.Status:
		return ReportPatience
	}
	return 0
}
