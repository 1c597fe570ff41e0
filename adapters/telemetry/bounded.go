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
	// maxLinesPerSecond bounds the cost of logging under overload, when each rejected request
	// logs a line: 30 KB per second at 300 bytes per line.
	maxLinesPerSecond   = 100
	lineBurst           = 300
	lineCapacity        = 1024 // lines that wait for the writer
	suppressionInterval = time.Second
)

// BoundedLogger is a rate-limited logger that never blocks: Log queues lines in a bounded
// ring, and Run writes them. Lines above the rate or the capacity are suppressed and
// counted, and Run logs their number. It is safe for concurrent use.
type BoundedLogger struct {
	lines      *ring.Ring[[]any]
	limiter    *rate.Limiter
	suppressed atomic.Uint64
	sink       log.Logger
}

// NewBoundedLogger returns a logger that writes to w. Every line carries time, program
// and id. Nothing is written until Run is called.
func NewBoundedLogger(w io.Writer, program, id string) *BoundedLogger {
	sink := log.With(log.NewLogfmtLogger(w), "program", program, "id", id)
	return &BoundedLogger{lines: ring.New[[]any](lineCapacity), limiter: rate.NewLimiter(maxLinesPerSecond, lineBurst), sink: sink}
}

// Log queues one line and always returns nil. The caller must not modify the values
// afterwards.
func (b *BoundedLogger) Log(keyvals ...any) error {
	if !b.limiter.Allow() {
		b.suppressed.Add(1)
		return nil
	}
	line := append([]any{"ts", time.Now().UTC().Format("15:04:05.000")}, keyvals...)
	b.lines.TryPush(line) // the ring counts dropped lines
	return nil
}

// Suppressed returns the number of lines suppressed so far, above the rate or the
// capacity.
func (b *BoundedLogger) Suppressed() uint64 { return b.suppressed.Load() + b.lines.Dropped() }

// Run writes queued lines until the context ends. It then writes the lines that are
// still queued and returns.
func (b *BoundedLogger) Run(ctx context.Context) {
	ticker := time.NewTicker(suppressionInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-b.lines.Items():
			_ = b.sink.Log(line...) // a failure of the log cannot be reported anywhere
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

// flush writes the lines that are queued now.
func (b *BoundedLogger) flush() {
	for {
		select {
		case line := <-b.lines.Items():
			_ = b.sink.Log(line...)
		default:
			return
		}
	}
}

var _ log.Logger = (*BoundedLogger)(nil)
