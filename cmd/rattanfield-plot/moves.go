package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"
)

// curveService and curveCase select the results that drawMoves plots.
const (
	curveService = "bookings"
	curveCase    = "1.5x slower at once"
)

// curveResult is the results file of rattanfield-movebench --curve.
type curveResult struct {
	Results []struct {
		Service    string  `json:"service"`
		Case       string  `json:"case"`
		Controller string  `json:"controller"` // "PREFERENCE, deadline 1m0s"
		BadCalls   float64 `json:"bad_calls_share"`
	} `json:"results"`
}

// drawMoves draws the share of calls that a bad version answers against the deadline of
// the move, for both risk preferences.
func drawMoves(a arguments) error {
	var content curveResult
	if err := readJSON(filepath.Join(a.Results, "movebench-curve.json"), &content); err != nil {
		return err
	}
	byPreference := map[string]plotter.XYs{}
	for _, r := range content.Results {
		if r.Service != curveService || !strings.HasPrefix(r.Case, curveCase) {
			continue
		}
		preference, text, found := strings.Cut(r.Controller, ", deadline ")
		deadline, err := time.ParseDuration(text)
		if !found || err != nil {
			return fmt.Errorf("controller %q: expected PREFERENCE, deadline DURATION", r.Controller)
		}
		name := strings.ToLower(strings.TrimPrefix(preference, "RISK_PREFERENCE_"))
		byPreference[name] = append(byPreference[name], plotter.XY{X: deadline.Minutes(), Y: 100 * r.BadCalls})
	}
	if len(byPreference) == 0 {
		return fmt.Errorf("no results of %s, %s", curveService, curveCase)
	}
	var lines []line
	for _, name := range []string{"cautious", "punctual"} {
		points := byPreference[name]
		slices.SortFunc(points, func(p, q plotter.XY) int { return int(p.X - q.X) })
		lines = append(lines, line{name, points})
	}
	return draw(filepath.Join(a.Out, "moves.png"), "Calls of a version that is 1.5 times slower, bookings", "deadline, minutes", "% of the service's calls", false, lines...)
}
