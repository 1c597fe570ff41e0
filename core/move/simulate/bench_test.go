package simulate

import (
	"testing"
	"time"
)

// BenchmarkGoodMove measures the simulation of one complete move of a good version.
func BenchmarkGoodMove(b *testing.B) {
	s := Services()[0]
	for i := range b.N {
		t := Trial{Service: s, Deadline: 10 * time.Minute, Seed: uint64(i)}
		Run(&t, judge(s))
	}
}
