// Package lifecycle runs the responsibilities of one process: each in its own
// goroutine, all ended when one of them fails or the process is asked to stop.
package lifecycle

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Group is a set of responsibilities with a common end.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
}

// NewGroup returns a group whose responsibilities end with the parent context.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go starts a responsibility. Its error ends the group; nil does not.
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

// Done is closed when the group must end.
func (g *Group) Done() <-chan struct{} { return g.ctx.Done() }

// Stop ends the group and waits for all responsibilities. It returns the error
// of the first one that failed, nil after a requested stop.
func (g *Group) Stop() error {
	g.cancel(context.Canceled)
	g.wait.Wait()
	if err := context.Cause(g.ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Pause waits for a time; it reports false when the context ended first.
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
