package lifecycle

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// Guards against a failed task that leaves the others running or whose error is dropped.
func TestFailureEndsAllAndIsReported(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	failure := errors.New("disk full")
	g := NewGroup(context.Background())
	g.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	g.Go("fails", func(context.Context) error { return failure })
	<-g.Done()
	err := g.Stop()
	is.True(errors.Is(err, failure))
}

// Guards against a requested stop that is reported as a failure.
func TestStopIsNoFailure(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewGroup(context.Background())
	g.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	is.New(t).NoErr(g.Stop())
}
