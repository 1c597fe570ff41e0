package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// buildBinary builds the program that the soak runs.
func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "rattanfield-platform")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/rattanfield/rattanfield/cmd/rattanfield-platform").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// Guards against violated guarantees, which come about by killing, pausing, stopping
// and wiping real processes. The seeds and the schedule are fixed; longer runs are
// started by hand with rattanfield-soak. In the schedule of the second seed, all control hosts are killed during an
// evacuation, a node of the other failure domain is killed, and three upstreams are replaced by cold ones.
func TestShortSoak(t *testing.T) {
	binary := buildBinary(t)
	for _, seed := range []uint64{1, 16584} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			r, err := Run(context.Background(), Options{
				Binary: binary, Dir: filepath.Join(t.TempDir(), "run"), Seed: seed, Length: 6 * time.Second, Nodes: 3, Controls: 3,
				Subnet: 10 + os.Getpid()%40, Out: t.Output(),
			})
			is.NoErr(err)
			is.Equal(r.Violations, nil)
			is.True(r.Answered > 0 && r.NewestPlan > 0)
			is.True(r.Coverage.Denied > 0 && r.Coverage.MostOfQuota > 0 && r.Coverage.ColdPhases > 0)
			// In the schedule of seed 1, nodes are in touch for too short a time, and there is no evacuation. Stalls of the
			// machine extend the bounds, also beyond the end of the evacuation of the other seed.
			if seed != 1 && r.Stops.Delay < minStall {
				is.True(r.Coverage.Withdrawn > 0 && r.Coverage.Evacuated > 0 && r.Coverage.MostCold > 0)
			}
			t.Logf("%d of %d requests answered, newest plan %d, %+v", r.Answered, r.Requests, r.NewestPlan, r.Coverage)
		})
	}
}

// Guards against requests that are lost at planned stops, and against stops that last longer than
// the grace time. The first event reproduces the incident of 2026-12-05: until the end of its drain
// a node passed requests on to upstreams of the other failure domain and then cut them. The others stop
// the whole site, with a reload and a second SIGTERM while the stop is under way.
func TestStopsLoseNoRequest(t *testing.T) {
	is := is.New(t)
	r, err := Run(context.Background(), Options{
		Binary: buildBinary(t), Dir: filepath.Join(t.TempDir(), "run"), Seed: 1, Nodes: 4, Controls: 3, Subnet: 130 + os.Getpid()%40, Out: t.Output(),
		Events: []Event{
			{At: 500 * time.Millisecond, Kind: StopDomain, Target: 0, Spread: 100 * time.Millisecond, Length: 300 * time.Millisecond},
			{At: 2 * time.Second, Kind: Reload, Target: 0},
			{At: 10 * time.Second, Kind: StopSite, Spread: 200 * time.Millisecond, Length: 300 * time.Millisecond},
			{At: 11500 * time.Millisecond, Kind: Stop, Target: 1, Length: 300 * time.Millisecond},
			{At: 13 * time.Second, Kind: Reload, Target: 2},
		},
	})
	is.NoErr(err)
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	t.Logf("%d of %d requests answered; stops: %+v", r.Answered, r.Requests, r.Stops)
	is.True(r.Stops.Stops >= 6)
	is.True(r.Stops.Executed > 0) // otherwise no request could be lost
}

// Guards against a stop that waits without end for a process that ignores SIGTERM, and against
// one that hides that the process was killed.
func TestStopKillsAfterGraceTime(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "ignores-sigterm")
	is.NoErr(os.WriteFile(binary, []byte("#!/bin/sh\ntrap '' TERM\necho ready\nexec sleep 60\n"), 0o700)) // exec keeps the ignored signal
	p, err := newProcess(binary, "node", dir, platformtest.Host{IP: "127.0.0.1"}, &timerDelays{})
	is.NoErr(err)
	defer p.close()
	is.NoErr(p.start())
	for out := ""; out == ""; time.Sleep(10 * time.Millisecond) {
		b, err := os.ReadFile(p.log.Name())
		is.NoErr(err)
		out = string(b)
	}
	began := time.Now()
	killed := make(chan bool, 2)
	for range 2 {
		go func() {
			signalled, k := p.stop()
			if signalled.Before(began) {
				t.Error("no time of SIGTERM")
			}
			killed <- k
		}()
	}
	first, second := <-killed, <-killed
	is.True(first != second) // one of the two calls reports it
	is.True(time.Since(began) >= platformtest.Grace)
	signalled, _ := p.stop()
	is.True(signalled.IsZero()) // it does not run any more
}

// Guards against a run on the data of an earlier one: plans were rejected with status 412, because a newer one was in force.
func TestRunBeginsWithoutData(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	data := filepath.Join(dir, "127.0.0.1", "data")
	is.NoErr(os.MkdirAll(data, 0o700))
	p, err := newProcess("", "control", dir, platformtest.Host{IP: "127.0.0.1"}, &timerDelays{})
	is.NoErr(err)
	p.close()
	is.Equal(p.host.DataDir, data)
	_, err = os.Stat(data)
	is.True(errors.Is(err, os.ErrNotExist))
}

// Guards against a grace time that delays of the machine make endless, and against one that is
// extended without them.
func TestGraceTimeLeft(t *testing.T) {
	is := is.New(t)
	d := &timerDelays{}
	d.add(time.Second) // before the stop
	now := time.Now()
	p := &process{delays: d, terminated: now, delaysBefore: d.sum()}
	is.Equal(p.graceLeft(now), platformtest.Grace)
	is.Equal(p.graceLeft(now.Add(platformtest.Grace)), time.Duration(0))
	d.add(minTimerDelay / 2)
	is.Equal(p.graceLeft(now.Add(platformtest.Grace)), time.Duration(0))
	d.add(time.Second)
	is.Equal(p.graceLeft(now.Add(platformtest.Grace)), time.Second)
	d.add(time.Minute)
	is.Equal(p.graceLeft(now.Add(2*platformtest.Grace)), time.Duration(0))
	is.Equal(time.Duration(d.longest.Load()), time.Minute)
}

// Guards against checks that pass although a guarantee is violated.
func TestChecksReportViolations(t *testing.T) {
	is := is.New(t)
	for name, act := range map[string]func(*checks){
		"ran twice":        func(c *checks) { c.recordRun("w-1", 0); c.recordRun("w-1", 0) },
		"ran after":        func(c *checks) { c.recordAnswer("w-1", 0, platformtest.Answer{Status: 503}); c.recordRun("w-1", 0) },
		"rejected read":    func(c *checks) { c.recordRun("r-1", 0); c.recordAnswer("r-1", 0, platformtest.Answer{Status: 503}) },
		"read ran after":   func(c *checks) { c.recordAnswer("r-1", 0, platformtest.Answer{Status: 503}); c.recordRun("r-1", 0) },
		"rejected and ran": func(c *checks) { c.recordRun("w-1", 0); c.recordAnswer("w-1", 0, platformtest.Answer{Status: 429}) },
		"unsigned":         func(c *checks) { c.recordAnswer("r-1", 0, platformtest.Answer{Status: 200, Body: "body-r-1"}) },
		"another's answer": func(c *checks) {
			c.recordAnswer("r-1", 0, platformtest.Answer{Status: 200, Signed: true, Body: "body-r-2"})
		},
		"denied":     func(c *checks) { c.recordAnswer("r-1", 0, platformtest.Answer{Status: 404}) },
		"older plan": func(c *checks) { c.recordAcknowledged(5); c.checkRead("h", 4, c.newestAcknowledged()) },
	} {
		c := newChecks()
		act(c)
		if len(c.allViolations()) != 1 {
			t.Errorf("%s: %v", name, c.allViolations())
		}
	}
	c := newChecks()
	c.recordRun("r-1", 0)
	c.recordRun("r-1", 0)
	c.recordAnswer("r-1", 0, platformtest.Answer{Status: 200, Signed: true, Body: "body-r-1"})
	c.recordAnswer("w-2", 0, platformtest.Answer{Status: 502})
	c.recordRun("w-2", 0)
	is.Equal(c.allViolations(), nil)
}

// Checks that a seed always gives the same schedule, and that every kind of fault occurs.
func TestScheduleIsSeeded(t *testing.T) {
	is := is.New(t)
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		a := Schedule(seed, 20*time.Second, 4, 4)
		is.Equal(a, Schedule(seed, 20*time.Second, 4, 4))
		for _, e := range a {
			seen[e.Kind] = true
		}
	}
	is.Equal(len(seen), len(kinds)+4) // StopDomain, StopSite, Crash and Evacuate are drawn apart from the others
}

// Guards against a soak that does not notice a crashing request that is sent on after three crashes.
func TestLateCrashesAreViolations(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	runs := func(seconds ...float64) *crashes {
		c := &crashes{at: make(map[string][]time.Time)}
		for _, s := range seconds {
			c.at["/read/crash-1"] = append(c.at["/read/crash-1"], start.Add(time.Duration(s*float64(time.Second))))
		}
		return c
	}
	is.Equal(len(runs(0, 0.1, 9, 9.5, 10, 11).violations(clock{}, nil)), 0)                                          // the third crash is at 9 s
	is.Equal(len(runs(0, 0.1, 0.2, 1, 2, 3, 5, 6, 7).violations(clock{}, nil)), 0)                                   // three of them late
	is.Equal(len(runs(0, 0.1, 0.2, 3.3, 3.4, 3.5, 3.6).violations(clock{}, nil)), 1)                                 // four
	is.Equal(runs(0, 0.1, 0.2, 3.3, 3.4, 3.5, 3.6).violations(clock{}, nil)[0][:28], "request /read/crash-1 ran 7 ") // names it
}

// Checks that a seed always gives the same planned work, and that it holds no disturbance, which
// would excuse losses.
func TestStopScheduleHoldsPlannedWorkOnly(t *testing.T) {
	is := is.New(t)
	seen, twice := make(map[Kind]bool), false
	for seed := range uint64(20) {
		a := StopSchedule(seed, 30*time.Second, 4)
		is.Equal(a, StopSchedule(seed, 30*time.Second, 4))
		for _, e := range a {
			is.True(!e.isDisturbance() && !e.Control)
			seen[e.Kind] = true
			twice = twice || e.Again
		}
	}
	is.Equal(seen, map[Kind]bool{Stop: true, StopDomain: true, StopSite: true, Reload: true, Leave: true})
	is.True(twice)
}

// Checks that work times are those of the users' upstreams: mostly tens to hundreds of
// milliseconds, some 1 to 3 s, and the same for each run of a seed.
func TestWorkTimes(t *testing.T) {
	is := is.New(t)
	slow, short, n := 0, 0, 2000
	for i := range n {
		s := platformtest.ReceivedRequest{ID: fmt.Sprint("r-", i), Path: platformtest.LongReadPath + "x"}
		w := workTime(1, s)
		is.Equal(w, workTime(1, s))
		is.True(w >= minWork && w <= 3*slowWork)
		switch {
		case w >= slowWork:
			slow++
		case w < 30*time.Millisecond:
			short++
		}
		s.Path = platformtest.ReadPath + "x"
		is.True(workTime(1, s) < 22*time.Millisecond)
	}
	is.True(slow > n*3/100 && slow < n*7/100)
	is.True(short < n/4)
}
