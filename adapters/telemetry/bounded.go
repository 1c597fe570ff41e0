package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"github.com/rattanfield/rattanfield/ring"
)

const (
	// maxLinesPerSecond bounds the cost of logs under overload, when each refused request has
	// a line: at 300 bytes a line, 30 KB a second.
	maxLinesPerSecond = 100
	lineBurst         = 300
	lineCapacity      = 1024
	suppressedReport  = time.Second
)

// Bounded is a logger that never blocks: lines go through a bounded ring to one
// writer. Lines above the rate are suppressed, and their number is logged.
type Bounded struct {
	lines      *ring.Ring[[]any]
	limiter    *rate.Limiter
	suppressed atomic.Uint64
	sink       log.Logger
}

// NewBounded returns a logger whose lines carry time, program and id; Run writes them.
func NewBounded(w io.Writer, program, id string) *Bounded {
	sink := log.With(log.NewLogfmtLogger(w), "program", program, "id", id)
	return &Bounded{lines: ring.New[[]any](lineCapacity), limiter: rate.NewLimiter(maxLinesPerSecond, lineBurst), sink: sink}
}

// Log takes one line; the values must not change afterwards.
func (b *Bounded) Log(keyvals ...any) error {
	if !b.limiter.Allow() {
		b.suppressed.Add(1)
		return nil
	}
	line := append([]any{"ts", time.Now().UTC().Format("15:04:05.000")}, keyvals...)
	b.lines.TryPush(line) // the ring counts what it drops
	return nil
}

// Suppressed is the number of lines above the rate or the capacity.
func (b *Bounded) Suppressed() uint64 { return b.suppressed.Load() + b.lines.Dropped() }

// Run writes lines until the context ends, and then those that wait.
func (b *Bounded) Run(ctx context.Context) {
	ticker := time.NewTicker(suppressedReport)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-b.lines.Items():
			_ = b.sink.Log(line...) // there is nowhere to report a failing log
		case <-ticker.C:
			if n := b.Suppressed(); n > reported {
				_ = b.sink.Log("event", "lines suppressed", "lines", n-reported)
				reported = n
			}
		case <-ctx.Done():
			b.flush()
			return
		}
	}
}

func (b *Bounded) flush() {
	for {
		select {
		case line := <-b.lines.Items():
			_ = b.sink.Log(line...)
		default:
			return
		}
	}
}

var _ log.Logger = (*Bounded)(nil)
