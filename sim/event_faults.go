// Faults that begin right after something has happened, such as an acknowledgement.

package sim

import (
	"time"

	"coppercourse/sim/history"
)

const (
	maxDelayAfterAck    = 4 * time.Millisecond   // after an acknowledgement
	minDelayAfterSubmit = 5 * time.Millisecond   // after a table was submitted
	maxDelayAfterSubmit = 400 * time.Millisecond // while its change is being replicated
)

// faultAfterEvent begins another fault soon after the next event of a kind, and ends it when
// its own time is over.
func faultAfterEvent(kind history.Kind, shortest, longest time.Duration, fault Fault) Fault {
	return func(r *Run, duration time.Duration) func() {
		var end func()
		over := false
		r.OnNextEvent(kind, shortest, longest, func() {
			if !over {
				end = fault(r, duration)
			}
		})
		return func() {
			over = true
			if end != nil {
				end()
			}
		}
	}
}

// faultAfterAcknowledgement begins another fault right after an acknowledgement.
func faultAfterAcknowledgement(kind history.Kind, fault Fault) Fault {
	return faultAfterEvent(kind, 0, maxDelayAfterAck, fault)
}

// faultDuringTableChange begins another fault while a change of the table is under way.
func faultDuringTableChange(fault Fault) Fault {
	return faultAfterEvent(history.TableSubmitted, minDelayAfterSubmit, maxDelayAfterSubmit, fault)
}
