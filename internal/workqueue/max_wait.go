package workqueue

import (
	"time"

	"coppercourse/internal/wire"
)

const (
	// MaxSubmitDelay is how long the oldest request of a caller may have waited
	// before new work is turned away at once.
	MaxSubmitDelay = 250 * time.Millisecond
	// MaxRequestWait is how long a request waits for the machine before it is
	// turned away untaken.
	MaxRequestWait = 700 * time.Millisecond
	// MaxForwardWait is so for a request that a gateway handed over, which must hear of
	// it before it asks another controller.
	MaxForwardWait = 450 * time.Millisecond
	// MaxReportWait is how long a report of ends waits. Its sender has repeated it
	// by then, and will until it is settled.
	MaxReportWait = time.Second
)

// MaxWait is how long an event may wait for the machine; 0 is for ever.
func MaxWait(e wire.Event) time.Duration {
	switch {
	case e.Request != nil && e.Class() == wire.ClassCallers:
		return MaxRequestWait
	case e.Message != nil && e.Message.Kind == wire.ForwardRequest:
		return MaxForwardWait
	case e.Message != nil && e.Message.Kind == wire.StatusReport:
		return MaxReportWait
	}
	return 0
}
