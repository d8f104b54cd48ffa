//go:build review

package standins3

import (
	"io"
	"net"
	"sync"
)

// link passes the bytes of connections on, in both directions.
type link struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections []net.Conn
}

func newLink(listenAddr, target string) *link {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		panic(err)
	}
	l := &link{listener: listener, target: target}
	go l.accept()
	return l
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) close() {
	l.mu.Lock()
	connections := l.connections
	l.mu.Unlock()
	l.listener.Close()
	for _, c := range connections {
		c.Close()
	}
}

func (l *link) accept() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", l.target)
		if err != nil {
			caller.Close()
			continue
		}
		l.mu.Lock()
		l.connections = append(l.connections, caller, target)
		l.mu.Unlock()
		go l.copy(target, caller)
		go l.copy(caller, target)
	}
}

// copy passes bytes on until either end closes its connection.
func (l *link) copy(to, from net.Conn) {
	io.Copy(to, from)
	to.Close()
	from.Close()
}
