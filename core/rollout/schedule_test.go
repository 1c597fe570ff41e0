package rollout

import "testing"

// Guards against canary shares that are one permille lower than the exposure bound states, because a product of decimal
// numbers was truncated.
func TestCanarySharesFollowTheBoundExactly(t *testing.T) {
	for thousandths := uint32(80); thousandths <= 200; thousandths++ { // from minScale to maxScale
		s := newSchedule(float64(thousandths) / 1000)
		for i, permille := range []uint32{40, 20} {
			if got, want := s.canary[i].share, permille*thousandths/100; got != want {
				t.Errorf("bound 0.%03d: canary share %d is %d, not %d permille", thousandths, i, got, want)
			}
		}
	}
}
