package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
)

// shutdownPollInterval is how often a shutdown checks whether it is complete.
const shutdownPollInterval = 10 * time.Millisecond

// ShutdownTiming bounds a graceful shutdown. The daemon accepts requests for NotReadyFor, until
// all callers have detected that it is not ready, and then rejects new ones. The shutdown ends
// after Timeout at the latest.
type ShutdownTiming struct{ NotReadyFor, Timeout time.Duration }

// NewShutdownTiming returns the timing of a shutdown with the grace period grace, where callers
// need detectionTime to detect that a daemon is not ready.
func NewShutdownTiming(grace, detectionTime time.Duration) ShutdownTiming {
	return ShutdownTiming{NotReadyFor: min(detectionTime, grace/2), Timeout: grace * 3 / 4}
}

// shutdownState is the progress of a graceful shutdown. The goroutine of shutDown sets the two
// flags, HTTP handlers read them.
type shutdownState struct {
	draining  atomic.Bool  // not ready; clients are asked to close their connections
	rejecting atomic.Bool  // new requests are rejected
	inFlight  atomic.Int64 // requests that are being handled
}

// TrackInFlight returns a handler that counts the requests in flight, so that a shutdown
// can wait for them, and that rejects new ones late in a shutdown. Messages of
// peers are accepted until the end: the machine needs them to transfer its leadership.
func (h *Handlers) TrackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.shutdown.inFlight.Add(1)
		defer h.shutdown.inFlight.Add(-1)
		fromPeer := r.URL.Path == messagesPath
		if h.shutdown.draining.Load() && !fromPeer {
			w.Header().Set("Connection", "close")
		}
		if h.shutdown.rejecting.Load() && !fromPeer {
			WriteError(w, apierror.New(apierror.ShuttingDown, "", "this daemon is stopping; retry on another daemon"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// shutDown marks the daemon as not ready, has the machine transfer its leadership, and
// returns once all requests are answered, at the latest after the timeout.
func (h *Handlers) shutDown(ctx context.Context, logger logr.Logger, timing ShutdownTiming) {
	logger.Info("shutting down: reporting not ready, transferring leadership",
		"not_ready_for", timing.NotReadyFor.String(), "timeout", timing.Timeout.String())
	h.shutdown.draining.Store(true)
	h.Loop.BeginShutdown()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	for time.Since(startedAt) < timing.Timeout {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		rejecting := time.Since(startedAt) > timing.NotReadyFor
		h.shutdown.rejecting.Store(rejecting)
		if rejecting && h.Loop.Drained() && h.shutdown.inFlight.Load() == 0 {
			break
		}
	}
	logger.Info("stopped", "unanswered", h.shutdown.inFlight.Load(), "after", time.Since(startedAt).String())
}
