package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a full ring that blocks its producer or loses an item without counting it.
func TestTryPushRejectsAndCountsWhenFull(t *testing.T) {
	is := is.New(t)
	r := New[int](2)
	is.True(r.TryPush(1))
	is.True(r.TryPush(2))
	is.True(!r.TryPush(3))
	is.Equal(r.Dropped(), uint64(1))
	is.Equal(<-r.Items(), 1)
	is.True(r.TryPush(4))
	is.Equal(r.Depth(), 2)
}

// Guards against a producer that keeps waiting on a full ring after its context has ended.
func TestPushEndsWithContext(t *testing.T) {
	is := is.New(t)
	r := New[int](1)
	is.NoErr(r.Push(context.Background(), 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(r.Push(ctx, 2), context.Canceled)
}
