// Package supervisor runs goroutines in a supervision tree. A supervisor runs its children
// until its context ends. A child that fails or panics is restarted after a delay; one that
// fails too often, or that is vital, ends its supervisor, and with it in the end the
// process.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
)

// Child is a function that a supervisor keeps running.
type Child struct {
	Name string // for the log
	// Vital means that the child can't be restarted, since its state is lost with it: the
	// process must start anew. The end of a vital child ends its supervisor.
	Vital bool
	// Run runs until its context ends. It may return earlier, without an error if it has
	// nothing left to do.
	Run func(context.Context) error
}

// A child that is not vital may fail maxFailures times within failureWindow, and is
// restarted after restartDelay.
const (
	maxFailures   = 5
	failureWindow = 30 * time.Second
	restartDelay  = 100 * time.Millisecond
)

// Branch returns a vital child that supervises children of its own.
func Branch(log logr.Logger, name string, children ...Child) Child {
	return Child{Name: name, Vital: true, Run: func(ctx context.Context) error {
		return Run(ctx, log, children...)
	}}
}

// Run runs children, each in a goroutine of its own, until ctx ends or one of them ends the
// supervisor. It returns once all of them have ended. The error is the first failure after
// which a child was not restarted.
func Run(ctx context.Context, log logr.Logger, children ...Child) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var running sync.WaitGroup
	for _, child := range children {
		running.Go(func() {
			if err := superviseChild(ctx, log, child); err != nil || child.Vital {
				stop(err)
			}
		})
	}
	running.Wait()
	err := context.Cause(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// superviseChild runs a child until its context ends, it returns without an error, or it
// has failed too often.
func superviseChild(ctx context.Context, log logr.Logger, child Child) error {
	var failures recentFailures
	for {
		err := runOnce(ctx, child)
		if ctx.Err() != nil || err == nil {
			return err
		}
		failures.add(time.Now())
		if child.Vital || len(failures) > maxFailures {
			return apierror.Wrap(apierror.Unusable, err, child.Name)
		}
		log.Error(err, "restarting failed child", "child", child.Name)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// recentFailures holds the times of a child's failures within failureWindow, oldest first.
type recentFailures []time.Time

// add adds a failure and forgets those that are too old.
func (f *recentFailures) add(now time.Time) {
	*f = append(*f, now)
	for now.Sub((*f)[0]) > failureWindow {
		*f = (*f)[1:]
	}
}

// runOnce runs a child once and turns a panic into an error.
func runOnce(ctx context.Context, child Child) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("%s: panic: %v\n%s", child.Name, panicked, debug.Stack())
		}
	}()
	return child.Run(ctx)
}
