package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
)

// OpenLog opens the log of a data folder, and waits for a disk that refuses: a
// daemon without its log may neither vote nor lead, and doesn't know yet what it
// has promised, but ending itself would mend nothing. While it waits, its inner
// address tells that it is alive, not ready, and why. The error is that of ctx.
func OpenLog(ctx context.Context, log logr.Logger, storage wal.Storage, dir, listen string) (*wal.File, [][]byte, error) {
	waitHandler := &diskWaitHandler{}
	defer waitHandler.stop()
	for failures := 1; ; failures++ {
		file, records, spoilt, err := wal.Open(storage, dir)
		if spoilt != "" {
			log.Error(nil, "write-ahead log is damaged; moved it aside and starting as a new member", "moved_to", spoilt)
		}
		if err == nil {
			return file, records, nil
		}
		if failures == 1 || retryDelay(failures) > retryDelay(failures-1) {
			log.Error(err, "write-ahead log cannot be opened, retrying", "failures", failures, "retry_in", retryDelay(failures).String())
		}
		waitHandler.show(ctx, log, listen, err)
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(retryDelay(failures)):
		}
	}
}

// diskWaitHandler answers for a daemon that has not opened its log.
type diskWaitHandler struct {
	reason atomic.Value
	server *http.Server
}

// show tells why the daemon waits, from now on.
func (d *diskWaitHandler) show(ctx context.Context, log logr.Logger, listen string, why error) {
	d.reason.Store(why.Error())
	if d.server != nil || listen == "" {
		return
	}
	ln, err := Listen(ctx, listen)
	if err != nil {
		log.Error(err, "cannot serve the status page while the write-ahead log is not open")
		return
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Second}
	go d.server.Serve(ln)
}

func (d *diskWaitHandler) stop() {
	if d.server != nil {
		d.server.Close()
	}
}

func (d *diskWaitHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	reason := "the log can't be opened: " + d.reason.Load().(string)
	switch q.URL.Path {
	case "/live":
		writeJSON(w, http.StatusOK, []byte(`{"live":true}`))
	case "/v1/status":
		writeJSON(w, http.StatusOK, wire.EncodeBody(diskWaitStatus{Reason: reason}))
	default:
		WriteError(w, apierror.New(apierror.NotReady, "", reason))
	}
}

// diskWaitStatus is what a status page says before there is a member.
type diskWaitStatus struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason"`
}
