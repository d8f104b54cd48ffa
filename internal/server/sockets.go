package server

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that is partitioned or has lost power does not close its connections. Therefore both ends
// send keep-alive probes on idle connections, and unacknowledged data breaks a connection.
const (
	listenBacklog  = 4096                   // connections that may wait for Accept
	dialTimeout    = 300 * time.Millisecond // to establish a connection
	unackedTimeout = 3 * time.Second        // after which unacknowledged data breaks a connection
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Limits of an HTTP client's connections.
const (
	maxConnsPerHost     = 512
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
)

// Listen listens on a TCP address, with a backlog for bursts of new connections.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err // contains the address
	}
	setBacklog(listener)
	return listener, nil
}

// setBacklog raises a listener's backlog above the system's default. A listener without a TCP
// socket, or whose socket rejects the change, keeps the default.
func setBacklog(listener net.Listener) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), listenBacklog) })
	}
}

// NewDialer returns a dialer that dials from a source IP, if it is not empty.
func NewDialer(source string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

// setUnackedTimeout bounds the time that data may stay unacknowledged on a socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
}

// RefuseRedirect is a CheckRedirect function that keeps an HTTP client from following redirects.
func RefuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClient returns an HTTP client that dials from a source IP, if it is not empty, and
// follows no redirects. A timeout of 0 means no timeout.
func NewClient(source string, timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		CheckRedirect: RefuseRedirect,
		Transport: &http.Transport{
			DialContext:         NewDialer(source).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			MaxConnsPerHost:     maxConnsPerHost,
		},
	}
}
