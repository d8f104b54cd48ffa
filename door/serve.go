// Running a daemon: listen, keep its parts going under the supervisor, and on
// a warning stop in order. First it says that it is not ready and hands its
// duties over, then it waits until all that was read is answered, and only
// then does it close the listener and end.
package door

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"coppercourse/care"
	"coppercourse/fault"
)

const (
	linger = 700 * time.Millisecond
	finish = 4 * time.Second
	conns  = 4096
)

// Serve runs the daemon until ctx is done, then stops it in order.
func Serve(ctx context.Context, log logr.Logger, listen string, p *Pages, h http.Handler) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fault.Wrap(fault.BadSetting, err, "listen")
	}
	srv := &http.Server{Handler: p.Wrap(h), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	root, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	kids := []care.Child{
		{Name: "owner", Vital: true, Run: p.Owner.Run},
		{Name: "http", Vital: true, Run: func(c context.Context) error {
			if err := srv.Serve(netutil.LimitListener(ln, conns)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}},
		{Name: "stop", Run: func(c context.Context) error {
			select {
			case <-ctx.Done():
				p.wind(c, log)
				stop()
			case <-c.Done():
			}
			end, done := context.WithTimeout(context.Background(), finish)
			defer done()
			if err := srv.Shutdown(end); err != nil {
				srv.Close()
			}
			return nil
		}},
	}
	if p.Owner.disk != nil {
		kids = append(kids, care.Child{Name: "disk", Vital: true, Run: p.Owner.disk.Run})
	}
	log.Info("serving", "listen", listen)
	return care.Run(root, log, care.Branch(log, "daemon", kids...))
}

// wind stops taking part: unready first, duties handed over, then answers.
func (p *Pages) wind(ctx context.Context, log logr.Logger) {
	log.Info("stopping: not ready, handing duties over")
	p.drain.Store(true)
	p.Owner.Close()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	from := time.Now()
	for time.Since(from) < finish {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.shut.Store(time.Since(from) > linger)
		if p.shut.Load() && p.Owner.Idle() && p.under.Load() == 0 {
			break
		}
	}
	log.Info("stopped", "unanswered", p.under.Load(), "after", time.Since(from).String())
}
