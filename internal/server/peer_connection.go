package server

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coppercourse/internal/types"
)

// responseBufferBytes is enough for the response that a peer gives to messages.
const responseBufferBytes = 1 << 10

var errResponseTooLong = errors.New("the response is too long")

// peerConnection is the HTTP connection to one peer. A request and its response take place on
// the goroutine that calls post, one after the other, without the goroutines that a connection
// of http.Transport has: a leader makes thousands of requests a second, each of few bytes. Both
// are encoded and decoded by net/http. A request is sent once, whatever becomes of it. One
// goroutine uses a peerConnection.
type peerConnection struct {
	dialer *net.Dialer
	addr   types.Addr
	url    *url.URL
	header http.Header

	conn          net.Conn // nil while there is none
	reader        *bufio.Reader
	writer        *bufio.Writer
	detachContext func() bool // keeps conn open when the context that it was dialled with ends
}

func newPeerConnection(dialer *net.Dialer, addr types.Addr) *peerConnection {
	return &peerConnection{
		dialer: dialer,
		addr:   addr,
		url:    &url.URL{Scheme: "http", Host: string(addr), Path: messagesPath},
		header: http.Header{"Content-Type": {"application/json"}, "User-Agent": {""}}, // an empty one is left out
	}
}

// post makes one request, on the open connection if the peer has not closed it. Any response
// is a success; an error means that the peer may have got the request or not. The connection is
// closed when ctx ends.
func (pc *peerConnection) post(ctx context.Context, body []byte, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	if pc.conn != nil && hasPendingInput(pc.conn) {
		pc.close() // the peer has closed it, or sends what nobody has asked for
	}
	if pc.conn == nil {
		if err := pc.dial(ctx); err != nil {
			return err
		}
	}
	pc.conn.SetDeadline(deadline)
	if err := pc.writeRequest(body); err != nil {
		pc.close()
		return fmt.Errorf("send messages to %s: %w", pc.addr, err)
	}
	response, err := http.ReadResponse(pc.reader, nil)
	if err != nil {
		pc.close()
		return fmt.Errorf("read the response of %s: %w", pc.addr, err)
	}
	if discardBody(response) != nil || response.Close || pc.reader.Buffered() > 0 {
		pc.close()
	}
	return nil
}

func (pc *peerConnection) dial(ctx context.Context) error {
	conn, err := pc.dialer.DialContext(ctx, "tcp", string(pc.addr))
	if err != nil {
		return fmt.Errorf("connect to %s: %w", pc.addr, err)
	}
	pc.conn = conn
	pc.reader = bufio.NewReaderSize(conn, responseBufferBytes)
	pc.writer = bufio.NewWriter(conn)
	pc.detachContext = context.AfterFunc(ctx, func() { conn.Close() })
	return nil
}

func (pc *peerConnection) writeRequest(body []byte) error {
	request := http.Request{
		Method:        http.MethodPost,
		URL:           pc.url,
		Host:          string(pc.addr),
		Header:        pc.header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if err := request.Write(pc.writer); err != nil {
		return err
	}
	return pc.writer.Flush()
}

// close closes the connection, if there is one. The next request opens another.
func (pc *peerConnection) close() {
	if pc.conn == nil {
		return
	}
	pc.detachContext()
	pc.conn.Close()
	pc.conn, pc.reader, pc.writer = nil, nil, nil
}

// discardBody reads the body of a response to its end. It returns an error if the body is
// longer than maxDiscardedBytes or does not come whole.
func discardBody(response *http.Response) error {
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errResponseTooLong
	}
	return err
}

// hasPendingInput reports, without waiting, whether a connection has something to read or has ended.
// One without a socket of its own has not, as far as can be told.
func hasPendingInput(conn net.Conn) (has bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var next [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		has = !errors.Is(err, unix.EAGAIN)
	})
	return has || err != nil
}
