package telemetry

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a logger that blocks its callers when no line is written, and
// against suppressed lines that are not counted.
func TestBoundedNeverBlocks(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := NewBoundedLogger(&out, "p", "i")
	const lines = 5000
	for n := range lines {
		is.NoErr(b.Log("event", "x", "n", n)) // Run is not called yet
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run(ctx)
	written := strings.Count(out.String(), "event=x")
	is.True(written >= lineBurst)
	is.Equal(uint64(written)+b.Suppressed(), uint64(lines))
}
