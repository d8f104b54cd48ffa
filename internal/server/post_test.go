package server

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/wire"
)

// What waits for a peer that takes nothing is bounded in bytes, and the newest stay.
func TestPeerQueueBoundsBytesAndKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	l := &peerQueue{wake: make(chan struct{}, 1)}
	big := bytes.Repeat([]byte("x"), 100<<10)
	dropped := 0
	for i := range 200 {
		dropped += l.put(wire.Message{Kind: wire.Kind(rune('a' + i%26)), Body: big})
	}
	is.True(l.size <= maxQueuedBytes)
	kept := l.byClass[wire.ClassBackground]
	is.Equal(len(kept)+dropped, 200)
	is.Equal(l.count, len(kept))
	is.Equal(kept[len(kept)-1].Kind, wire.Kind(rune('a'+199%26)))
	for group := l.take(); len(group) > 0; group = l.take() {
		size := 0
		for _, n := range group {
			size += len(n.Body)
		}
		is.True(size <= maxRequestBytes)
	}
	is.Equal(l.size, 0)
	for range 5000 {
		l.put(wire.Message{Body: []byte("1")})
	}
	is.Equal(l.count, maxQueuedMessages)
	is.Equal(len(l.take()), maxMessagesPerRequest)
}

// A heartbeat goes out with the next request, before what a slow link has left
// waiting, and is not what a full lane drops.
func TestUrgentMessagesLeaveFirst(t *testing.T) {
	is := is.New(t)
	l := &peerQueue{wake: make(chan struct{}, 1)}
	big := bytes.Repeat([]byte("x"), 100<<10)
	for range 30 {
		l.put(wire.Message{Kind: wire.ForwardRequest, Body: big})
	}
	l.put(wire.Message{Kind: wire.StatusReport, Body: big})
	l.put(wire.Message{Kind: wire.ConfigWatch})
	l.put(wire.Message{Kind: wire.AppendEntries})
	for range 30 {
		l.put(wire.Message{Kind: wire.ForwardRequest, Body: big})
	}
	var kinds []wire.Kind
	for _, n := range l.take() {
		kinds = append(kinds, n.Kind)
	}
	is.Equal(kinds, []wire.Kind{wire.AppendEntries, wire.ConfigWatch, wire.StatusReport, wire.ForwardRequest})
	for range 2 * maxQueuedMessages {
		l.put(wire.Message{Kind: wire.ForwardRequest})
	}
	l.put(wire.Message{Kind: wire.AppendEntries})
	is.Equal(l.count, maxQueuedMessages)
	is.Equal(l.take()[0].Kind, wire.AppendEntries)
}
