package server

import (
	"context"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
	"coppercourse/internal/supervisor"
)

// Serve runs a daemon on its endpoints until ctx ends. It then shuts the daemon down: it is
// not ready any more and hands its duties over, all that was read is answered, and only
// then are the listeners closed. The error is that of an endpoint that can't be listened
// on, or of a part of the daemon that failed for good.
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
// goroutines of the daemon have ended, but for HTTP handlers that outlast the shutdown.
func serve(
	ctx context.Context,
	logger logr.Logger,
	h *Handlers,
	timing ShutdownTiming,
	servers []*endpointServer,
) error {
	// The parts of the daemon outlive ctx, until the shutdown is over.
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
	parts := []supervisor.Child{
		{Name: "event loop", Vital: true, Run: h.Loop.Run},
		{Name: "shutdown", Run: waitAndShutDown},
	}
	for _, server := range servers {
		parts = append(parts, supervisor.Child{Name: "http " + server.endpoint.Addr, Vital: true, Run: server.run})
	}
	if disk := h.Loop.disk; disk != nil {
		parts = append(parts, supervisor.Child{Name: "disk writer", Vital: true, Run: disk.run})
	}
	err := supervisor.Run(running, logger, supervisor.Branch(logger, "daemon", parts...))
	h.Loop.Close()
	return err
}
