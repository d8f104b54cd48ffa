package gateway

import (
	"bytes"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Bounds of the reports that are kept.
const (
	reportLifetime = 15 * time.Second // after which a report is dropped
	reportInterval = time.Second      // between the first two sends of one report; it doubles with each
	maxReports     = 1024
)

// endReportBuffer holds reports of ended attempts that controllers have forwarded through
// this gateway because they could not reach the leader themselves. They are repeated to the
// leader for a while, since the controller that had the report, the agent and the worker may
// all have stopped by the time that there is a leader.
type endReportBuffer struct{ reports []endReport }

type endReport struct {
	message    wire.Message
	receivedAt types.MonoTime
	sentAt     types.MonoTime // types.DistantPast until it is sent
	sends      int
}

// add keeps a report unless the same is there or there are too many.
func (b *endReportBuffer) add(now types.MonoTime, message wire.Message) {
	same := func(r endReport) bool { return bytes.Equal(r.message.Body, message.Body) }
	if len(b.reports) < maxReports && !slices.ContainsFunc(b.reports, same) {
		b.reports = append(b.reports, endReport{message: message, receivedAt: now, sentAt: types.DistantPast})
	}
}

// due drops reports that are too old, and returns those that are to be sent to the leader
// now, if there is one.
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
