package plan

import (
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Splitter distributes the requests of routes over their targets by smooth
// weighted round robin, so that the shares match the weights over short times
// too. It is not safe for concurrent use.
type Splitter struct {
	routes map[string]*splitState
}

// splitState is the state of one route. The next target is the one with the
// highest current value, after each value was raised by its target's weight; it is
// then lowered by the sum of the weights.
type splitState struct {
	weights []uint32 // of the targets for which the state was made
	current []int64
}

// NewSplitter returns a Splitter without state of any route.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitState)} }

// Pick returns the target service of the next request of a route, or "" if no target
// has a weight above 0. A random u in [0,1) sets where the rotation of a route starts,
// so that nodes do not select the same targets at the same time.
func (s *Splitter) Pick(r *pb.PlanRoute, u float64) string {
	targets := r.GetTargets()
	if !slices.ContainsFunc(targets, func(t *pb.PlanTarget) bool { return t.GetWeight() > 0 }) {
		return "" // Validate rejects such a route, but another version of this program may have accepted it
	}
	if len(targets) == 1 {
		return targets[0].GetService()
	}
	key := r.GetHost() + " " + r.GetPathPrefix()
	st := s.routes[key]
	if st == nil || !st.matches(targets) {
		if len(s.routes) >= maxSplits {
			clear(s.routes)
		}
		st = newSplitState(targets, u)
		s.routes[key] = st
	}
	return targets[st.next()].GetService()
}

// newSplitState returns the state of a route whose rotation has been advanced by
// the fraction u of a round, by at most maxInitialSteps.
func newSplitState(targets []*pb.PlanTarget, u float64) *splitState {
	st := &splitState{weights: make([]uint32, len(targets)), current: make([]int64, len(targets))}
	total := int64(0)
	for i, t := range targets {
		st.weights[i] = t.GetWeight()
		total += int64(t.GetWeight())
	}
	for range int(u * float64(min(total, maxInitialSteps))) {
		st.next()
	}
	return st
}

// maxSplits bounds the number of routes with state, which includes routes of earlier plans.
const maxSplits = 4096

// maxInitialSteps bounds the steps that set where the rotation of a route starts.
const maxInitialSteps = 128

// matches reports whether the state was made for the weights of these targets.
func (st *splitState) matches(targets []*pb.PlanTarget) bool {
	if len(st.weights) != len(targets) {
		return false
	}
	for i, t := range targets {
		if st.weights[i] != t.GetWeight() {
			return false
		}
	}
	return true
}

// next returns the index of the target of the next request. A weight must be above 0.
func (st *splitState) next() int {
	best, total := -1, int64(0)
	for i, w := range st.weights {
		if w == 0 {
			continue
		}
		st.current[i] += int64(w)
		total += int64(w)
		if best < 0 || st.current[i] > st.current[best] {
			best = i
		}
	}
	st.current[best] -= total
	return best
}
