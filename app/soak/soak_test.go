package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Guards against violated guarantees, which come about by killing, pausing, stopping
// and wiping real processes. The seed and the schedule are fixed; longer runs are
// started by hand with rattanfield-soak.
func TestShortSoak(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "rattanfield-platform")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/rattanfield/rattanfield/cmd/rattanfield-platform").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	r, err := Run(context.Background(), Options{
		Binary: binary, Dir: filepath.Join(dir, "run"), Seed: 1, Length: 6 * time.Second, Nodes: 3, Controls: 3,
		Subnet: 10 + os.Getpid()%40, Out: t.Output(),
	})
	is.NoErr(err)
	is.Equal(r.Violations, nil)
	is.True(r.Answered > 0 && r.NewestPlan > 0)
	t.Logf("%d of %d requests answered, newest plan %d", r.Answered, r.Requests, r.NewestPlan)
}

// Guards against checks that pass although a guarantee is violated.
func TestChecksReportViolations(t *testing.T) {
	is := is.New(t)
	for name, act := range map[string]func(*checks){
		"ran twice":        func(c *checks) { c.recordRun("w-1"); c.recordRun("w-1") },
		"ran after":        func(c *checks) { c.recordAnswer("w-1", platformtest.Answer{Status: 503}); c.recordRun("w-1") },
		"rejected and ran": func(c *checks) { c.recordRun("w-1"); c.recordAnswer("w-1", platformtest.Answer{Status: 429}) },
		"unsigned":         func(c *checks) { c.recordAnswer("r-1", platformtest.Answer{Status: 200, Body: "body-r-1"}) },
		"another's answer": func(c *checks) {
			c.recordAnswer("r-1", platformtest.Answer{Status: 200, Signed: true, Body: "body-r-2"})
		},
		"denied":     func(c *checks) { c.recordAnswer("r-1", platformtest.Answer{Status: 404}) },
		"older plan": func(c *checks) { c.recordAcknowledged(5); c.checkRead("h", 4, c.newestAcknowledged()) },
	} {
		c := newChecks()
		act(c)
		if len(c.allViolations()) != 1 {
			t.Errorf("%s: %v", name, c.allViolations())
		}
	}
	c := newChecks()
	c.recordRun("r-1")
	c.recordRun("r-1")
	c.recordAnswer("r-1", platformtest.Answer{Status: 200, Signed: true, Body: "body-r-1"})
	c.recordAnswer("w-2", platformtest.Answer{Status: 502})
	c.recordRun("w-2")
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
	is.Equal(len(seen), len(kinds))
}
