package lifecycle

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process whose garbage takes the memory of its host because the runtime knows no limit.
func TestLimitHeap(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	LimitHeap(200_000_000)
	is.Equal(debug.SetMemoryLimit(-1), int64(120_000_000))
	LimitHeap(math.MaxInt64)
}
