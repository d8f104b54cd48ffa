package workqueue

import (
	"time"

	"coppercourse/internal/wire"
)

// Limits on how long events may wait for the machine.
const (
	// MaxSubmitDelay is the wait of the oldest caller's request above which new work is rejected
	// immediately.
	MaxSubmitDelay = 250 * time.Millisecond
	// MaxRequestWait is how long a caller's request may wait before it is rejected.
	MaxRequestWait = 700 * time.Millisecond
	// MaxForwardWait is how long a forwarded request may wait before it is rejected. The gateway
	// must receive the rejection before it tries another controller.
	MaxForwardWait = 450 * time.Millisecond
	// MaxReportWait is how long a report of ends may wait before it is dropped. Its sender has
	// repeated it by then, and retries until the report is acknowledged.
	MaxReportWait = time.Second
)

// MaxWait returns how long an event may wait for the machine; 0 means indefinitely.
func MaxWait(event wire.Event) time.Duration {
	switch {
	case event.Request != nil && event.Class() == wire.ClassCallers:
		return MaxRequestWait
	case event.Message != nil && event.Message.Kind == wire.ForwardRequest:
		return MaxForwardWait
	case event.Message != nil && event.Message.Kind == wire.StatusReport:
		return MaxReportWait
	default:
		return 0
	}
}
