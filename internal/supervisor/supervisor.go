// Package supervisor runs goroutines in a supervision tree. A supervisor runs its
// children until its context ends. A child that fails or panics is restarted
// after a pause; one that fails too often, or that is vital, ends its supervisor,
// and with it in the end the process.
package supervisor

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/apierror"
)

// Child is one function to keep running. A vital child is never restarted: the
// state that it held is lost, so the process has to start afresh.
type Child struct {
	Name  string
	Vital bool
	Run   func(context.Context) error
}

// Restart limits: a child may fail often times within window, and is restarted
// after pause.
const (
	maxFailures   = 5
	failureWindow = 30 * time.Second
	restartDelay  = 100 * time.Millisecond
)

// Branch makes a vital child that supervises children of its own.
func Branch(log logr.Logger, name string, children ...Child) Child {
	return Child{Name: name, Vital: true, Run: func(ctx context.Context) error { return Run(ctx, log, children...) }}
}

// Run supervises the children and returns, once all of them have ended, the first
// failure that a restart could not mend. A vital child that returns without
// error ends the others too.
func Run(ctx context.Context, log logr.Logger, children ...Child) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var running sync.WaitGroup
	for _, child := range children {
		running.Add(1)
		go func() {
			defer running.Done()
			if err := superviseChild(ctx, log, child); err != nil || child.Vital {
				stop(err)
			}
		}()
	}
	running.Wait()
	if err := context.Cause(ctx); err != nil && err != context.Canceled {
		return err
	}
	return nil
}

// superviseChild runs one child until its context ends, it returns without error, or its
// failures pass the restart limits.
func superviseChild(ctx context.Context, log logr.Logger, child Child) error {
	var failures []time.Time
	for {
		err := runOnce(ctx, child)
		if ctx.Err() != nil || err == nil {
			return err
		}
		now := time.Now()
		failures = append(failures, now)
		for len(failures) > 0 && now.Sub(failures[0]) > failureWindow {
			failures = failures[1:]
		}
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

// runOnce runs a child one time and turns a panic into an error.
func runOnce(ctx context.Context, child Child) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("%s: panic: %v\n%s", child.Name, panicked, debug.Stack())
		}
	}()
	return child.Run(ctx)
}
