package server

import (
	"net/http"
	"time"

	"coppercourse/internal/config"
)

// Endpoint is an address that a daemon listens on, with its handler and limits.
type Endpoint struct {
	Addr    string
	Handler http.Handler
	// Limits are the limits of each new connection; nil for the defaults.
	Limits ConnectionLimits
	// MaxConns is the maximum number of open connections; 0 is defaultMaxConns.
	MaxConns int
}

// ConnectionLimits are limits that may change while the daemon runs.
type ConnectionLimits interface {
	// Limits returns the limits of connections that are accepted from now on.
	Limits() config.Limits
}

// Default limits of connections.
const (
	defaultMaxConns      = 4096
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultHeaderBytes   = 16 << 10
)

const (
	// maxIdleReuseMargin bounds how long an idle connection is kept open beyond its idle timeout,
	// so that it is still open for a client that reuses it just before the timeout.
	maxIdleReuseMargin = 5 * time.Second
	// bodyTimeout bounds the time to read a request's body after its header.
	bodyTimeout = 10 * time.Second
)

// newHTTPServer returns an HTTP server with the given limits.
func newHTTPServer(handler http.Handler, limits config.Limits) *http.Server {
	idleTimeout := orDefault(time.Duration(limits.IdleTimeoutMillis)*time.Millisecond, defaultIdleTimeout)
	headerTimeout := orDefault(time.Duration(limits.HeaderTimeoutMillis)*time.Millisecond, defaultHeaderTimeout)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout + bodyTimeout,
		IdleTimeout:       idleTimeout + min(idleTimeout, maxIdleReuseMargin),
		MaxHeaderBytes:    orDefault(limits.HeaderBytes, defaultHeaderBytes),
	}
}

// orDefault returns value if it is positive, else defaultValue.
func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}
