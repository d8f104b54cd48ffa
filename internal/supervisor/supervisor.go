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
	often  = 5
	window = 30 * time.Second
	pause  = 100 * time.Millisecond
)

// Branch makes a vital child that supervises children of its own.
func Branch(log logr.Logger, name string, kids ...Child) Child {
	return Child{Name: name, Vital: true, Run: func(ctx context.Context) error { return Run(ctx, log, kids...) }}
}

// Run supervises the children and returns, once all of them have ended, the first
// failure that a restart could not mend. A vital child that returns without
// error ends the others too.
func Run(ctx context.Context, log logr.Logger, kids ...Child) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var all sync.WaitGroup
	for _, k := range kids {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := keep(ctx, log, k); err != nil || k.Vital {
				stop(err)
			}
		}()
	}
	all.Wait()
	if err := context.Cause(ctx); err != nil && err != context.Canceled {
		return err
	}
	return nil
}

// keep runs one child until its context ends, it returns without error, or its
// failures pass the restart limits.
func keep(ctx context.Context, log logr.Logger, k Child) error {
	var fails []time.Time
	for {
		err := once(ctx, k)
		if ctx.Err() != nil || err == nil {
			return err
		}
		now := time.Now()
		fails = append(fails, now)
		for len(fails) > 0 && now.Sub(fails[0]) > window {
			fails = fails[1:]
		}
		if k.Vital || len(fails) > often {
			return apierror.Wrap(apierror.Unusable, err, k.Name)
		}
		log.Error(err, "child starts again", "child", k.Name)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// once runs a child one time and turns a panic into an error.
func once(ctx context.Context, k Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: panic: %v\n%s", k.Name, p, debug.Stack())
		}
	}()
	return k.Run(ctx)
}
