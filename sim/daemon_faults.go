// Faults of daemons' processes and processors: kills, freezes, restarts, losses of power.

package sim

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

const (
	shutdownGrace    = 5 * time.Second        // from the warning until a process is killed
	restartDelay     = 300 * time.Millisecond // from a kill until the process boots again
	rollingBootDelay = 5 * time.Second        // from the end of a rolling restart until all boot
)

// bootIfDown boots a daemon that does not run, unless it was replaced.
func bootIfDown(n *world.Node) {
	if n.Machine == nil {
		n.Start()
	}
}

// killFault kills one running daemon until the fault ends.
func killFault(pick nodePicker) Fault {
	return oneDaemonFault(pick, func(n *world.Node) func() {
		n.Kill()
		return func() { bootIfDown(n) }
	})
}

// freezeFault freezes one running daemon until the fault ends.
func freezeFault(pick nodePicker) Fault {
	return oneDaemonFault(pick, func(n *world.Node) func() {
		n.Pause()
		return n.Resume
	})
}

// oneDaemonFault strikes one running daemon, which it draws.
func oneDaemonFault(pick nodePicker, strike func(*world.Node) (end func())) Fault {
	return func(r *Run, _ time.Duration) func() {
		candidates := running(pick(r))
		if len(candidates) == 0 {
			return nil
		}
		n := pickOne(r.Random, candidates)
		r.markAffected(n.Addr)
		return strike(n)
	}
}

// leaderFault strikes the leader, if there is one.
func leaderFault(strike func(r *Run, leader *world.Node, duration time.Duration) (end func())) Fault {
	return func(r *Run, duration time.Duration) func() {
		leader := r.leader()
		if leader == nil {
			return nil
		}
		return strike(r, leader, duration)
	}
}

// powerLossFault cuts the power of all daemons that it picks.
func powerLossFault(pick nodePicker) Fault {
	return func(r *Run, _ time.Duration) func() { return r.powerLossOf(pick(r)) }
}

// powerLossOf kills daemons, and returns what boots them again.
func (r *Run) powerLossOf(daemons []*world.Node) (end func()) {
	for _, n := range daemons {
		if n.Machine != nil {
			n.Kill()
		}
	}
	return func() {
		for _, n := range daemons {
			bootIfDown(n)
		}
	}
}

// killControllers kills all controllers. Those that are there when the fault ends boot,
// unless they are being shut down.
func killControllers(r *Run, _ time.Duration) func() {
	for _, n := range r.controllers {
		if n.Machine != nil {
			n.Kill()
		}
	}
	return func() {
		for _, n := range r.controllers {
			if !n.Stopping {
				bootIfDown(n)
			}
		}
	}
}

// Shutdown warns a daemon, as the platform does before it kills it.
func (r *Run) Shutdown(n *world.Node) {
	n.Stopping = true
	n.Deliver(func() { n.Step(wire.Event{Shutdown: true}) })
	incarnation := n.Incarnation
	r.After(shutdownGrace, func() {
		if n.Incarnation == incarnation && n.Machine != nil {
			n.Kill()
		}
	})
}

// shutdownLeader shuts the leader down, which transfers its leadership.
func shutdownLeader(r *Run, leader *world.Node, _ time.Duration) func() {
	r.Shutdown(leader)
	return func() { bootIfDown(leader) }
}

// rollingRestartFault shuts the daemons that it picks down one after the other. They boot
// some time after the fault's end.
func rollingRestartFault(pick nodePicker) Fault {
	return func(r *Run, duration time.Duration) func() {
		daemons := slices.Clone(pick(r))
		for i, n := range daemons {
			r.After(time.Duration(i)*duration/time.Duration(len(daemons)), func() {
				if n.Machine != nil && !n.Paused && n.NewMachine != nil {
					r.Shutdown(n)
				}
			})
		}
		return func() {
			for _, n := range daemons {
				r.After(rollingBootDelay, func() { bootIfDown(n) })
			}
		}
	}
}

// restart kills daemons, and boots each a little later.
func (r *Run) restart(daemons ...*world.Node) {
	for _, n := range daemons {
		if n.Machine != nil {
			n.Kill()
		}
		r.After(restartDelay, func() { bootIfDown(n) })
	}
}

// slowProcessor makes a daemon's processor slower by a factor for a while.
func (r *Run) slowProcessor(n *world.Node, factor float64, duration time.Duration) {
	n.Slowdown = factor
	r.Record(history.Event{
		Kind:     history.FaultStarted,
		Text:     "slow-processor for " + duration.String(),
		Affected: []types.Addr{n.Addr},
	})
	r.After(duration, func() { n.Slowdown = 1 })
}
