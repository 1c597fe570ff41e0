package main

import (
	"fmt"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

	"github.com/rattanfield/rattanfield/core/move/simulate"
)

// curveDeadlines are the deadlines of the moves that --curve measures.
var curveDeadlines = []time.Duration{time.Minute, 2 * time.Minute, 3 * time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute}

// curveCases are the names of the cases that --curve measures.
var curveCases = []string{"good, none", "1.5x slower at once", "2x slower at once", "fails after 50%", "2x slower after 50%"}

// measureCurve measures both risk preferences for the service of each deployment that moves
// most often.
func measureCurve(args arguments, r *report) {
	for _, s := range simulate.Services() {
		if s.Name != "bookings" && s.Name != "plank-desk" {
			continue
		}
		for _, p := range []pb.RiskPreference{pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL} {
			s.Preference = p
			for _, deadline := range curveDeadlines {
				measureCurvePoint(args, r, s, deadline)
			}
		}
	}
}

// measureCurvePoint measures all curve cases of a service with one deadline.
func measureCurvePoint(args arguments, r *report, s simulate.Service, deadline time.Duration) {
	for _, c := range simulate.Cases() {
		for _, name := range curveCases {
			if c.Name != name {
				continue
			}
			label := fmt.Sprintf("%s, deadline %s", s.Preference, deadline)
			sum := simulate.Summarize(s, c, label, deadline, args.Trials, controllers(s)[0].make, parallel(args.Workers))
			r.Results = append(r.Results, sum)
			total := sum.Faulty
			if sum.Good {
				total = sum.Trials
			}
			fmt.Printf("%-11s %-42s %-22s completed %5.1f%%  rolled back %5.1f%%  mean %4.0f s  bad calls %6.3f%%\n",
				s.Name, label, c.Name, percent(sum.Completed, sum.Trials), percent(sum.RolledBack, total), sum.MeanSeconds, 100*sum.BadShare)
		}
	}
}
