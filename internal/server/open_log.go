package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
)

// OpenLog opens the log of a data folder and returns it with its records. While the disk
// fails, it retries: a daemon without its log does not know which votes it has cast, so it
// may neither vote nor lead, and a restart would not repair the disk. Meanwhile the daemon
// answers at listen that it is live, not ready, and why; with an empty listen address it
// does not. The only error is that of ctx.
func OpenLog(
	ctx context.Context,
	logger logr.Logger,
	storage wal.Storage,
	dir, listen string,
) (*wal.File, [][]byte, error) {
	waiting := &diskWaitServer{}
	defer waiting.close()
	var backoff diskBackoff
	for {
		file, contents, err := wal.Open(storage, dir)
		if contents.CorruptPath != "" {
			logger.Error(nil, "write-ahead log is damaged; moved it aside and starting as a new member",
				"moved_to", contents.CorruptPath)
		}
		if err == nil {
			return file, contents.Records, nil
		}
		backoff.failures++
		if backoff.shouldLog() {
			logger.Error(err, "write-ahead log cannot be opened, retrying",
				"failures", backoff.failures, "retry_in", backoff.delay().String())
		}
		waiting.report(ctx, logger, listen, err)
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(backoff.delay()):
		}
	}
}

// diskWaitServer is the HTTP server of a daemon that has not opened its log.
type diskWaitServer struct {
	handler diskWaitHandler
	server  *http.Server // nil until there is something to show
	serving sync.WaitGroup
}

// show sets the reason why the daemon waits. The first call starts the server.
func (s *diskWaitServer) report(ctx context.Context, logger logr.Logger, addr string, reason error) {
	s.handler.setReason(reason.Error())
	if s.server != nil || addr == "" {
		return
	}
	listener, err := Listen(ctx, addr)
	if err != nil {
		logger.Error(err, "cannot serve the status page while the write-ahead log is not open")
		return
	}
	s.server = &http.Server{Handler: &s.handler, ReadHeaderTimeout: time.Second}
	s.serving.Go(func() { s.serve(logger, listener) })
}

func (s *diskWaitServer) serve(logger logr.Logger, listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logger.Error(err, "the status page ended before the write-ahead log was open")
	}
}

// close ends the server, so that its address is free for the daemon.
func (s *diskWaitServer) close() {
	if s.server != nil {
		s.server.Close()
		s.serving.Wait()
	}
}

// diskWaitHandler answers for a daemon that has not opened its log.
type diskWaitHandler struct{ reason atomic.Pointer[string] }

func (h *diskWaitHandler) setReason(reason string) { h.reason.Store(&reason) }

// ServeHTTP answers that the daemon is live and not ready, and why.
func (h *diskWaitHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reason := "the log can't be opened: " + *h.reason.Load()
	switch r.URL.Path {
	case "/live":
		writeJSON(w, http.StatusOK, []byte(liveBody))
	case "/v1/status":
		writeJSON(w, http.StatusOK, wire.EncodeBody(diskWaitStatus{Reason: reason}))
	default:
		WriteError(w, apierror.New(apierror.NotReady, "", reason))
	}
}

// diskWaitStatus is the status of a daemon that has not opened its log.
type diskWaitStatus struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason"`
}
