// Sockets of a daemon: what it listens on and how it dials. A peer behind a cut
// or without power says nothing, so both ends probe, and data that is not taken
// breaks the connection.
package server

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	backlog        = 4096
	unackedTimeout = 3 * time.Second // data not acknowledged for so long breaks a connection
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Listen opens an address with a queue for crowds of new connections.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive}
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
	return ln, nil
}

// NewDialer dials from one source IP, if any.
func NewDialer(source string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
		})
	}}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// RefuseRedirect keeps a client from sending a request on to where its answer points.
func RefuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClient is an HTTP client that dials from one source IP. It follows no redirect.
func NewClient(source string, wait time.Duration) *http.Client {
	return &http.Client{Timeout: wait, CheckRedirect: RefuseRedirect, Transport: &http.Transport{DialContext: NewDialer(source).DialContext, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 30 * time.Second, MaxConnsPerHost: 512}}
}
