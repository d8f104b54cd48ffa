package server

import (
	"context"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
	"coppercourse/internal/supervisor"
)

// Serve runs a daemon on its endpoints until ctx ends. Then it shuts the daemon down
// gracefully: the daemon is not ready any more and transfers its leadership, all requests
// that were read are answered, and only then are the listeners closed. The error is that of
// an endpoint whose address can't be listened on, or of a part of the daemon that failed
// for good.
func Serve(ctx context.Context, logger logr.Logger, h *Handlers, timing ShutdownTiming, endpoints ...Endpoint) error {
	var servers []*endpointServer
	for _, endpoint := range endpoints {
		listener, err := Listen(ctx, endpoint.Addr)
		if err != nil {
			return apierror.Wrap(apierror.BadSetting, err, "listen")
		}
		servers = append(servers, newEndpointServer(listener, h, endpoint))
		logger.Info("listening", "listen", endpoint.Addr)
	}
	return serve(ctx, logger, h, timing, servers)
}

// serve runs a daemon on endpoints that are listened on already. When it returns, all
// goroutines of the daemon have ended, except HTTP handlers that outlast the shutdown.
func serve(
	ctx context.Context,
	logger logr.Logger,
	h *Handlers,
	timing ShutdownTiming,
	servers []*endpointServer,
) error {
	// The parts of the daemon run on after ctx has ended, until the shutdown is complete.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	waitAndShutDown := func(running context.Context) error {
		select {
		case <-ctx.Done():
			h.shutDown(running, logger, timing)
			stop()
		case <-running.Done():
		}
		for _, server := range servers {
			server.close()
		}
		return nil
	}
	parts := append(daemonChildren(h.Loop, servers), supervisor.Child{Name: "shutdown", Run: waitAndShutDown})
	err := supervisor.Run(running, logger, supervisor.Branch(logger, "daemon", parts...))
	h.Loop.Close()
	return err
}

// daemonChildren returns what the supervisor runs of a daemon, besides its shutdown. Each part
// is vital: its state is lost with its goroutine.
func daemonChildren(loop *EventLoop, servers []*endpointServer) []supervisor.Child {
	parts := []supervisor.Child{{Name: "event loop", Vital: true, Run: loop.Run}}
	for _, server := range servers {
		parts = append(parts, supervisor.Child{Name: "http " + server.endpoint.Addr, Vital: true, Run: server.run})
	}
	if loop.disk != nil {
		parts = append(parts, supervisor.Child{Name: "disk writer", Vital: true, Run: loop.disk.run})
	}
	return parts
}
