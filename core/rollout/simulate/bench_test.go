package simulate

import (
	"testing"
	"time"
)

// BenchmarkGoodMove measures one whole move of a good version.
func BenchmarkGoodMove(b *testing.B) {
	s := Services()[0]
	for i := range b.N {
		t := Trial{Service: s, Deadline: 10 * time.Minute, Seed: uint64(i)}
		Run(&t, judge(s))
	}
}
