package pace

import "time"

// stage of the plan: the share from a part of the duration on.
type stage struct {
	from  float64
	share uint32 // permille
}

// A version may turn bad at any time, and what it got before counts against the
// bound of a tenth of all requests too. So it is watched for most of the duration
// at a share whose sum stays small, more at first as most faults show at once, and
// gets the rest late: the integral of the shares up to completeAt is 0.096 of the
// duration, so a version that is found bad at any moment before is within the bound.
var (
	watch  = []stage{{0, 40}, {0.5, 20}}
	raises = []stage{{0.81, 100}, {0.835, 300}, {0.86, fullShare}}
)

const (
	fullShare = 1000
	// completeAt leaves the last step the time of a few decisions.
	completeAt = 0.92
	// stageTime is the least part of the duration in which a leader sees a version at one share
	// before the next, and fullTime at the full share before it is complete. Requests on the old
	// version end in it, and the counts of all nodes arrive.
	stageTime = 0.02
	fullTime  = 0.04
	// suspicion is the evidence at which a version does not get more requests.
	suspicion = harmedBound
	// lastCall is the part of the duration at which a version that is suspected still is taken back.
	lastCall = 0.97
)

// position of a rollout on the stages, as its judge has seen it.
type position struct {
	share   uint32        // in force
	since   time.Duration // when the judge decided it, or saw it first
	decided time.Duration // last change of the share by the judge
	wanted  uint32        // share of that change
}

// see takes the share in force.
func (p *position) see(in Input, first bool) {
	switch {
	case !first && p.share == in.SharePermille:
		return
	case !first && p.wanted == in.SharePermille:
		p.since = p.decided
	default:
		p.since = in.Elapsed
	}
	p.share = in.SharePermille
}

// decide notes a share that the judge wants from now on.
func (p *position) decide(in Input, share uint32) {
	if share != p.wanted {
		p.wanted, p.decided = share, in.Elapsed
	}
}

// held tells that the share has been in force for a part of the duration.
func (p *position) held(in Input, part float64) bool {
	return in.Elapsed-p.since >= time.Duration(part*float64(in.Duration))
}

// next share. The raises come one after the other, each seen for some time, and are not undone
// by a leader whose clock is behind.
func (p *position) next(in Input, part float64) uint32 {
	if p.share < raises[0].share && part < raises[0].from {
		return watchShare(part)
	}
	for _, s := range raises {
		if s.share > p.share {
			if part >= s.from && p.held(in, stageTime) {
				return s.share
			}
			break
		}
	}
	return max(p.share, watchShare(part))
}

func watchShare(part float64) uint32 {
	share := watch[0].share
	for _, s := range watch {
		if part >= s.from {
			share = s.share
		}
	}
	return share
}
