package simulate

import (
	"slices"
	"time"
)

// Summary holds the results of all trials of one case with one controller.
type Summary struct {
	Deployment string `json:"deployment"`
	Service    string `json:"service"`
	Case       string `json:"case"`
	Controller string `json:"controller"`
	Good       bool   `json:"good"`
	Trials     int    `json:"trials"`
	Completed  int    `json:"completed_by_deadline"`
	Late       int    `json:"completed_late"`
	// RolledBack counts, for a bad version, only trials in which the fault began.
	RolledBack int `json:"rolled_back"`
	// Faulty counts the trials in which the fault began.
	Faulty int `json:"fault_began"`
	// Early counts bad versions that were rolled back before their fault began.
	Early int `json:"rolled_back_before_fault"`
	// P50Seconds, P99Seconds and MaxSeconds are of the time from the start of the fault to
	// the last call of the new version, in trials that were rolled back.
	P50Seconds int `json:"fault_to_last_call_p50_s"`
	P99Seconds int `json:"fault_to_last_call_p99_s"`
	MaxSeconds int `json:"fault_to_last_call_max_s"`
	// BadShare and AffectedShare are fractions of the calls within the planned time, averaged
	// over all trials in which the fault began.
	BadShare      float64 `json:"bad_calls_share"`
	AffectedShare float64 `json:"affected_calls_share"`
	// BadShareP99 is the fraction that 99 of 100 trials do not exceed.
	BadShareP99 float64 `json:"bad_calls_share_p99"`
	// BadShareUntilEnd is the fraction of the calls from the start to the end of the move.
	BadShareUntilEnd float64  `json:"bad_calls_share_until_end"`
	MeanSeconds      float64  `json:"mean_move_s"`
	Failures         []uint64 `json:"seeds_with_the_wrong_end"`
}

// maxSeeds bounds the seeds that a summary lists.
const maxSeeds = 20

// Summarize runs the trials of a case and returns their summary. It passes run the number of
// trials and a function that executes trial i; run may call it concurrently.
func Summarize(s Service, c Case, controller string, deadline time.Duration, trials int, newController func() Controller,
	run func(n int, trial func(i int)),
) Summary {
	results := make([]Result, trials)
	trialList := make([]Trial, trials)
	run(trials, func(i int) {
		trialList[i] = c.Trial(s, uint64(i)+1)
		trialList[i].Deadline = deadline
		results[i] = Run(&trialList[i], newController)
	})
	sum := Summary{
		Deployment: s.Deployment, Service: s.Name, Case: c.Name, Controller: controller,
		Good: c.Fault == nil, Trials: trials,
	}
	var seconds []int
	var shares []float64
	for i := range results {
		sum.add(&trialList[i], &results[i], &seconds, &shares)
	}
	sum.finish(seconds, shares)
	return sum
}

func (s *Summary) add(t *Trial, r *Result, seconds *[]int, shares *[]float64) {
	done := r.Completed(t)
	if done {
		s.Completed++
	} else if !r.RolledBack() && r.EndedAt > 0 {
		s.Late++
	}
	switch {
	case r.RolledBack() && !s.Good && r.FaultAt < 0:
		s.Early++
	case r.RolledBack():
		s.RolledBack++
	}
	if (s.Good && !done || !s.Good && r.FaultAt >= 0 && !r.RolledBack()) && len(s.Failures) < maxSeeds {
		s.Failures = append(s.Failures, t.Seed)
	}
	s.MeanSeconds += float64(r.EndedAt)
	if r.FaultAt < 0 {
		return
	}
	s.Faulty++
	share := float64(r.BadCalls) / float64(r.PlannedCalls)
	s.BadShare += share
	s.AffectedShare += r.AffectedCalls / float64(r.PlannedCalls)
	s.BadShareUntilEnd += float64(r.BadCalls) / float64(max(1, r.CallsUntilEnd))
	*shares = append(*shares, share)
	if r.RolledBack() {
		*seconds = append(*seconds, r.LastNewCallAt-r.FaultAt)
	}
}

func (s *Summary) finish(seconds []int, shares []float64) {
	s.MeanSeconds /= float64(s.Trials)
	if s.Faulty > 0 {
		s.BadShare /= float64(s.Faulty)
		s.AffectedShare /= float64(s.Faulty)
		s.BadShareUntilEnd /= float64(s.Faulty)
		slices.Sort(shares)
		s.BadShareP99 = shares[(len(shares)-1)*99/100]
	}
	if len(seconds) > 0 {
		slices.Sort(seconds)
		s.P50Seconds = seconds[(len(seconds)-1)/2]
		s.P99Seconds = seconds[(len(seconds)-1)*99/100]
		s.MaxSeconds = seconds[len(seconds)-1]
	}
}
