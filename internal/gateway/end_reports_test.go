package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func report(n int) wire.Message {
	return wire.Message{From: "agent", Kind: wire.StatusReport, Body: fmt.Appendf(nil, "%d", n)}
}

// A report is sent to whoever leads once a second, until it is too old.
func TestEndReportsAreRepeatedToTheLeader(t *testing.T) {
	is := is.New(t)
	var buffer endReportBuffer
	buffer.add(at(0), report(1))
	buffer.add(at(0), report(1)) // the same again
	is.Equal(len(buffer.due(at(0), "")), 0)
	is.Equal(buffer.due(at(0), "a"), []wire.OutboundMessage{{To: "a", Message: report(1)}})
	is.Equal(len(buffer.due(at(reportInterval-1), "a")), 0)
	is.Equal(buffer.due(at(reportInterval), "b")[0].To, types.Addr("b"))
	is.Equal(len(buffer.due(at(reportLifetime), "b")), 1)
	is.Equal(len(buffer.due(at(reportLifetime+time.Second), "b")), 0)
	is.Equal(len(buffer.reports), 0)
}

func TestEndReportsAreBounded(t *testing.T) {
	is := is.New(t)
	var buffer endReportBuffer
	for n := range maxReports + 10 {
		buffer.add(at(0), report(n))
	}
	is.Equal(len(buffer.due(at(0), "a")), maxReports)
}
