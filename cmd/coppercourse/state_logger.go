package main

import "github.com/go-logr/logr"

// daemonState is the part of a daemon's status that is logged when it changes: what an
// operator needs to know of the daemon's life.
type daemonState[S any] interface {
	comparable
	// changeMessage names the change since the previous state.
	changeMessage(previous S) string
	// pairs returns the names and values to log.
	keysAndValues() []any
}

// stateLogger logs each change of one daemon's state, once. It is not safe for concurrent
// use.
type stateLogger[S daemonState[S]] struct {
	log    logr.Logger
	last   S
	logged bool
}

// update logs a state unless it is the one that was logged last.
func (sl *stateLogger[S]) update(state S) {
	if sl.logged && state == sl.last {
		return
	}
	sl.log.Info(state.changeMessage(sl.last), state.keysAndValues()...)
	sl.last, sl.logged = state, true
}
