//go:build review

package standins3

import (
	"net"
	"sync"
)

// link passes the bytes of connections on, in both directions. Either direction can be cut: what is
// sent that way is held back, silently.
type link struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	cond        *sync.Cond
	cutForward  bool // from the caller to the target
	cutBackward bool
	closed      bool
	connections []net.Conn
}

func newLink(listenAddr, target string) *link {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		panic(err)
	}
	l := &link{listener: listener, target: target}
	l.cond = sync.NewCond(&l.mu)
	go l.accept()
	return l
}

func (l *link) addr() string { return l.listener.Addr().String() }

// cut cuts or restores each direction.
func (l *link) cut(forward, backward bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutForward, l.cutBackward = forward, backward
	l.cond.Broadcast()
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	connections := l.connections
	l.cond.Broadcast()
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
		go l.copy(target, caller, &l.cutForward)
		go l.copy(caller, target, &l.cutBackward)
	}
}

// copy passes bytes on until either end closes its connection. An end passes a cut no more than other
// bytes do.
func (l *link) copy(to, from net.Conn, cut *bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		for *cut && !l.closed {
			l.cond.Wait()
		}
		l.mu.Unlock()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
