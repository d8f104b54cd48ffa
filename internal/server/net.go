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
	backlog  = 4096
	unheeded = 3 * time.Second // data not acknowledged for so long breaks a connection
)

var probes = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Listen opens an address with a queue for crowds of new connections.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: probes}
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
	return ln, nil
}

// Dialer dials from one source IP, if any.
func Dialer(source string) *net.Dialer {
	d := &net.Dialer{Timeout: dial, KeepAliveConfig: probes, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unheeded/time.Millisecond))
		})
	}}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NoRedirect keeps a client from sending a request on to where its answer points.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Client is an HTTP client that dials from one source IP. It follows no redirect.
func Client(source string, wait time.Duration) *http.Client {
	return &http.Client{Timeout: wait, CheckRedirect: NoRedirect, Transport: &http.Transport{DialContext: Dialer(source).DialContext, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 30 * time.Second, MaxConnsPerHost: 512}}
}
