package lifecycle

import "github.com/rattanfield/rattanfield/adapters/body"

const (
	// collectAbovePercent is the part of the memory of a process, in percent, above which garbage is collected sooner than usual.
	// The rest is room for what is allocated until a collection ends.
	collectAbovePercent = 60
	// heapAndBodiesPercent is the part of the memory of a process, in percent, that the program, the runtime and large request
	// bodies together stay below.
	heapAndBodiesPercent = 95
	// programBytes is the resident size of the program itself, which the limit of the runtime does not count.
	programBytes = 16_000_000
)

// LimitHeap limits the heap of a process that may use a number of bytes.
func LimitHeap(bytes int64) {
	body.LimitHeap(bytes/100*collectAbovePercent, bytes/100*heapAndBodiesPercent-programBytes)
}
