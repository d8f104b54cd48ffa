package main

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/server"
	"coppercourse/platform"
)

// maxPeerConnections is the maximum number of connections to an endpoint that only operators
// or one worker use.
const maxPeerConnections = 256

// How far the heap grows between two garbage collections, in percent. For gateways and
// agents, half of Go's default costs a tenth more processor time and saves memory. A leading
// controller allocates tens of megabytes a second with a small heap, so that it would
// collect 25 times a second, with processor time that its heartbeats need.
const (
	gcPercentSmall      = 50
	gcPercentController = 200
)

func gcPercent(role membership.Role) int {
	if role == membership.RoleController {
		return gcPercentController
	}
	return gcPercentSmall
}

// newPlatformClients returns what serves the platform's clients, or nil for a daemon that
// does not. A controller without a disk runs as a gateway, but serves no clients.
func (d *daemon) newPlatformClients(requester platform.Requester) *platform.GatewayHandler {
	if d.platform == nil || d.platform.Role != membership.RoleGateway {
		return nil
	}
	return platform.NewGatewayHandler(requester)
}

// platformEndpoints returns the endpoints that the platform calls, none if the daemon does
// not run there. The role in the settings decides, not the one that the daemon runs as: a
// controller without a disk runs as a gateway, but serves the operator.
func (d *daemon) platformEndpoints(handlers *server.Handlers, clients *platform.GatewayHandler) []server.Endpoint {
	if d.platform == nil {
		return nil
	}
	s := d.platform
	switch s.Role {
	case membership.RoleGateway:
		return []server.Endpoint{
			{Addr: s.ClientAddr, Handler: clients, Limits: clients, MaxConns: s.Daemon.MaxConns},
			{Addr: s.ReadinessAddr, Handler: platform.ReadinessHandler(handlers.IsReady), MaxConns: maxPeerConnections},
		}
	case membership.RoleController:
		operator := platform.NewControlHandler(handlers.Loop, s.ControlAddr)
		return []server.Endpoint{
			{Addr: s.ControlAddr, Handler: operator.Handler(), MaxConns: maxPeerConnections},
		}
	default:
		worker := platform.NewAgentHandler(handlers.Loop, s.WorkerAddr)
		return []server.Endpoint{
			{Addr: s.ControlAddr, Handler: worker.Handler(), MaxConns: maxPeerConnections},
		}
	}
}
