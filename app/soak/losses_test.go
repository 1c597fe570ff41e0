package soak

import (
	"testing"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// lossCase is a request to node 0, which received SIGTERM at time 0 unless unstopped is set. All
// times are in seconds.
type lossCase struct {
	sent, ended, limit float64
	outcome            outcome
	began, until       float64 // of the execution on node 1; both 0: none
	stop               float64 // of node 1; 0: none
	unstopped          bool
	disturbed          float64 // time of a disturbance of node 1; 0: none
	read               bool
	delays             float64
}

func (c lossCase) judge() []string {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	l := newLosses()
	if !c.unstopped {
		l.stops = append(l.stops, span{node: 0, from: at(0), to: at(5.6)})
	}
	if c.stop != 0 {
		l.stops = append(l.stops, span{node: 1, from: at(c.stop), to: at(c.stop + 5.6)})
	}
	if c.disturbed != 0 {
		l.disturbances = append(l.disturbances, span{node: 1, from: at(c.disturbed), to: at(c.disturbed)})
	}
	if c.until != 0 {
		l.recordExecution("r-1", execution{node: 1, began: at(c.began), until: at(c.until)})
	}
	l.recordRequest(sentRequest{id: "r-1", sent: at(c.sent), ended: at(c.ended), limit: at(c.limit).Sub(start), outcome: c.outcome, read: c.read, delays: at(c.delays).Sub(start)})
	violations, _ := l.judge()
	return violations
}

// Guards against a check that passes although a request was lost.
func TestLossesAreFound(t *testing.T) {
	for name, c := range map[string]lossCase{
		"late request":                 {sent: 5.3, ended: 5.52, limit: 5, outcome: cut, began: 5.31, until: 5.8},
		"sent after 3 s, long work":    {sent: 3.1, ended: 5.52, limit: 5, outcome: cut, began: 3.11, until: 6},
		"sent before SIGTERM":          {sent: -0.1, ended: 0.1, limit: 5, outcome: cut, began: -0.05, until: 0.3},
		"cut before the last sixth":    {sent: 2, ended: 4.9, limit: 5, outcome: cut, began: 2, until: 5.5},
		"work done before last sixth":  {sent: 2, ended: 5.52, limit: 5, outcome: cut, began: 2, until: 4.9},
		"cut before it reached":        {sent: 5.5, ended: 5.52, limit: 5, outcome: cut, began: 5.6, until: 5.8},
		"answered while at work":       {sent: 4, ended: 5.4, limit: 5, outcome: failed, began: 4.1, until: 5.6},
		"no stop":                      {sent: 1, ended: 2, limit: 5, outcome: cut, began: 1, until: 3, unstopped: true},
		"old disturbance":              {sent: 4, ended: 5.52, limit: 5, outcome: cut, began: 4.1, until: 5.6, disturbed: 0.9},
		"long after the other's stop":  {sent: 3.5, ended: 4.5, limit: 5, outcome: cut, began: 3.5, until: 4.8, stop: -0.7},
		"read, not executed":           {sent: 5.3, ended: 5.52, limit: 5, outcome: cut, read: true},
		"at once after the grace time": {sent: 4, ended: 6.5, limit: 5, outcome: cut, began: 4, until: 6.6},
	} {
		if got := c.judge(); len(got) != 1 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against violations for requests on an upstream that has crashed and is not back when the run ends.
func TestCrashExcusesBeforeTheUpstreamIsBack(t *testing.T) {
	r := &run{losses: newLosses(), crashes: &crashes{at: make(map[string][]time.Time)}}
	sent := time.Now().Add(-time.Millisecond)
	nodeObserver{run: r, node: 1}.crashed("/read/crash-1")
	if !r.losses.isDisturbed([]int{0, 1}, sent, time.Now().Add(time.Millisecond)) {
		t.Error("the crash is no disturbance of the node")
	}
}

// Guards against violations for what the users' rules allow.
func TestAllowedLossesAreExcused(t *testing.T) {
	for name, c := range map[string]lossCase{
		"not executed":                     {sent: 5.3, ended: 5.52, limit: 5, outcome: cut},
		"read, close crossed it":           {sent: 5.3, ended: 5.45, limit: 5, outcome: cut, read: true},
		"read, busy machine":               {sent: 5.1, ended: 5.52, limit: 5, outcome: cut, read: true, delays: 0.3},
		"read, not executed, no stop":      {sent: 5.1, ended: 5.52, limit: 5, outcome: cut, read: true, unstopped: true},
		"answered":                         {sent: 5.3, ended: 5.5, limit: 5, outcome: answered, began: 5.3, until: 5.4},
		"refused":                          {sent: 5.3, ended: 5.31, limit: 5, outcome: refused},
		"client gave up":                   {sent: 3.5, ended: 5.3, limit: 1.8, outcome: gaveUp, began: 3.5, until: 5.9},
		"time limit":                       {sent: 3.5, ended: 5.3, limit: 1.8, outcome: cut, began: 3.5, until: 5.9},
		"at work in the last sixth":        {sent: 2.9, ended: 5.52, limit: 5, outcome: cut, began: 3, until: 5.7},
		"at work in the last sixth, gate":  {sent: 1, ended: 3.6, limit: 5, outcome: failed, began: 1.1, until: 3.8, stop: -1.9},
		"failed after the work":            {sent: 3, ended: 4, limit: 5, outcome: failed, began: 3, until: 3.9},
		"failed without a stop":            {sent: 3, ended: 4, limit: 5, outcome: failed, began: 3, until: 4.9, unstopped: true},
		"upstream disturbed just before":   {sent: 3.5, ended: 4, limit: 5, outcome: cut, began: 3.5, until: 4.5, disturbed: 1},
		"upstream disturbed while at work": {sent: 3.5, ended: 4, limit: 5, outcome: cut, began: 3.5, until: 4.5, disturbed: 3.9},
	} {
		if got := c.judge(); len(got) != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against processes that are killed at the end of the grace time without a violation. Only
// a pause of the process excuses it.
func TestOverdueStops(t *testing.T) {
	start := time.Now().Add(-platformtest.Grace)
	for kind, want := range map[Kind]int{Reload: 1, Replace: 1, Pause: 0} {
		l := newLosses()
		l.recordStop(0, start, false)
		l.recordStop(1, start, true)
		l.recordDisturbance(1, kind, start.Add(time.Second))
		if got, n := l.judge(); len(got) != want || n.Stops != 2 {
			t.Errorf("%s: %v, %d stops", kind, got, n.Stops)
		}
	}
}
