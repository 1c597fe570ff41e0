// Package lifecycle runs the long-lived tasks of a process, each in its own goroutine.
// All of them end when one fails or when the process is told to stop.
package lifecycle

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Group is a set of tasks that end together.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
}

// NewGroup returns a group whose tasks end with the parent context.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go starts a task. An error that it returns ends the group, unless it is
// context.Canceled; nil does not end the group.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		err := run(g.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			g.cancel(eris.Wrap(err, name))
		}
	}()
}

// Done returns a channel that is closed when the group ends: a task failed, Stop was
// called or the parent context ended.
func (g *Group) Done() <-chan struct{} { return g.ctx.Done() }

// Stop ends the group and waits for all tasks. It returns the error of the first task
// that failed, and nil if none did.
func (g *Group) Stop() error {
	g.cancel(context.Canceled)
	g.wait.Wait()
	if err := context.Cause(g.ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Pause waits for d. It returns false if the context ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
