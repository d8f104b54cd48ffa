package server

import (
	"net"
	"sync"
)

// channelListener is a net.Listener that receives its connections from a channel. An
// endpointServer accepts the connections and passes them to the channelListener of an http.Server.
type channelListener struct {
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
	addr        net.Addr
}

func newChannelListener(addr net.Addr) *channelListener {
	return &channelListener{
		connections: make(chan net.Conn),
		closed:      make(chan struct{}),
		addr:        addr,
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.connections:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close unblocks Accept. The endpoint's own listener stays open.
func (l *channelListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the endpoint's own listener.
func (l *channelListener) Addr() net.Addr { return l.addr }
