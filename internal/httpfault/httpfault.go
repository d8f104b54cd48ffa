// Package httpfault is an HTTP server for tests that closes a connection at a chosen moment of
// an exchange. Tests of HTTP clients use it to show that a request that the server may have
// read is never sent a second time.
package httpfault

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"coppercourse/internal/types"
)

// Moment is a point of an exchange at which the server closes the connection.
type Fault struct {
	Name string
	// ResponseStarted reports whether the client has a complete response header by then.
	ResponseStarted bool
	// breakOff does what comes before the connection is closed.
	breakOff func(conn net.Conn, requests *bufio.Reader)
}

// Parts of a response with a body of 13 bytes.
const (
	truncatedStatusLine = "HTTP/1.1 2"
	truncatedHeader     = "HTTP/1.1 200 OK\r\nContent-Le"
	truncatedBody       = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"clock"
)

// Moments are all points at which a server can close the connection, in the order of an
// exchange.
var Faults = []Fault{
	{"closed on arrival", false, func(net.Conn, *bufio.Reader) {}},
	{"reset on arrival", false, func(conn net.Conn, _ *bufio.Reader) { resetOnClose(conn) }},
	{"closed after the request's header", false, func(_ net.Conn, requests *bufio.Reader) {
		http.ReadRequest(requests)
	}},
	{"closed after the request", false, afterRequest(nil, "")},
	{"reset after the request", false, afterRequest(resetOnClose, "")},
	{"closed in the status line", false, afterRequest(nil, truncatedStatusLine)},
	{"closed in the header", false, afterRequest(nil, truncatedHeader)},
	{"closed in the body", true, afterRequest(nil, truncatedBody)},
	{"reset in the body", true, afterRequest(resetOnClose, truncatedBody)},
}

// afterRequest reads the request, writes a part of a response, and calls then unless it is nil.
func afterRequest(then func(net.Conn), response string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		io.WriteString(conn, response)
		if then != nil {
			then(conn)
		}
	}
}

// reset has the connection end with a TCP reset when it is closed.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// readRequest reads one request with its body.
func readRequest(requests *bufio.Reader) {
	if request, err := http.ReadRequest(requests); err == nil {
		io.Copy(io.Discard, request.Body)
	}
}

// Server responds to the first request on its first connection. During every other request,
// on that connection or a later one, it closes the connection.
type Server struct {
	Addr            types.Addr
	FaultedRequests atomic.Int32  // requests during which the connection was closed
	ClosedConns     chan struct{} // has an element for each connection that was closed, up to its capacity
}

// closedConnsCapacity is more connections than any test makes.
const closedConnsCapacity = 100

// Start starts a server that gives one response and then closes connections at a moment of the
// exchange. It ends with the test.
func Start(t *testing.T, response string, moment Fault) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: types.Addr(listener.Addr().String()), ClosedConns: make(chan struct{}, closedConnsCapacity)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.serve(t.Context(), listener, response, moment)
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return s
}

// serve serves one connection after the other until the listener is closed.
func (s *Server) serve(ctx context.Context, listener net.Listener, response string, moment Fault) {
	for first := true; ; first = false {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.serveConn(ctx, conn, first, response, moment)
		s.ClosedConns <- struct{}{}
	}
}

// serveConn serves one connection, and closes it at the latest when ctx ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, first bool, response string, moment Fault) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	requests := bufio.NewReader(conn)
	if first {
		readRequest(requests)
		io.WriteString(conn, response)
	}
	if _, err := requests.Peek(1); err == nil {
		s.FaultedRequests.Add(1)
		moment.breakOff(conn, requests)
	}
}
