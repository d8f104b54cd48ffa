// Package supervisor is the supervisor tree. A branch runs its children until its
// context ends; a child that fails or panics is started again after a pause,
// but one that fails too often, or that must not fail at all, brings down its
// branch, and with it in the end the process.
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

// Child is one thing to keep running. A vital one is never started again: what
// it held is gone, and a fresh process is the honest way back.
type Child struct {
	Name  string
	Vital bool
	Run   func(context.Context) error
}

const (
	often  = 5
	window = 30 * time.Second
	pause  = 100 * time.Millisecond
)

// Branch makes a child out of children.
func Branch(log logr.Logger, name string, kids ...Child) Child {
	return Child{Name: name, Vital: true, Run: func(ctx context.Context) error { return Run(ctx, log, kids...) }}
}

// Run keeps the children going and returns the first failure that could not be
// mended, once all of them have ended. The first child to return without error
// ends the others too, if it is vital.
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
			return apierror.Wrap(apierror.Unfit, err, k.Name)
		}
		log.Error(err, "child starts again", "child", k.Name)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func once(ctx context.Context, k Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: panic: %v\n%s", k.Name, p, debug.Stack())
		}
	}()
	return k.Run(ctx)
}
