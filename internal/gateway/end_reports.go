package gateway

import (
	"bytes"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Limits of the buffered reports.
const (
	reportLifetime = 15 * time.Second // age after which a report is dropped
	reportInterval = time.Second      // between the first two sends of one report; doubles after each further send
	maxReports     = 1024
)

// endReportBuffer buffers reports of ended attempts that controllers have forwarded through this
// gateway because they could not reach the leader directly. The gateway resends them to the leader
// until they expire, since the controller that had the report, the agent and the worker may all have
// stopped before a leader is elected.
type endReportBuffer struct{ reports []endReport }

type endReport struct {
	message    wire.Message
	receivedAt types.MonoTime
	sentAt     types.MonoTime // types.DistantPast until the first send
	sends      int
}

// add buffers a report unless an equal one is buffered already or the buffer is full.
func (b *endReportBuffer) add(now types.MonoTime, message wire.Message) {
	same := func(r endReport) bool { return bytes.Equal(r.message.Body, message.Body) }
	if len(b.reports) < maxReports && !slices.ContainsFunc(b.reports, same) {
		b.reports = append(b.reports, endReport{message: message, receivedAt: now, sentAt: types.DistantPast})
	}
}

// due drops expired reports. If there is a leader, it returns the reports that are due to be sent or
// resent to it.
func (b *endReportBuffer) due(now types.MonoTime, leader types.Addr) (messages []wire.OutboundMessage) {
	b.reports = slices.DeleteFunc(b.reports, func(r endReport) bool {
		return now.Sub(r.receivedAt) > reportLifetime
	})
	if leader == "" {
		return nil
	}
	for i := range b.reports {
		if r := &b.reports[i]; now.Sub(r.sentAt) >= reportInterval<<max(0, r.sends-1) {
			r.sentAt = now
			r.sends++
			messages = append(messages, wire.OutboundMessage{To: leader, Message: r.message})
		}
	}
	return messages
}
