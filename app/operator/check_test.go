package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/platform"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Guards against a wrong exit status of a check, against one that needs control hosts although none is given, and against a
// plan in force that is taken for missing.
func TestCheckStatement(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, body string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(body), 0o600))
		return path
	}
	newer := string(platformtest.Plan{Number: 8, Base: 7, Service: "s", Extra: 1}.Encode())
	good := write("good.json", newer)
	warned := write("warned.json", strings.Replace(newer, `"500ms"`, `"9s"`, 1))
	wrong := write("wrong.json", strings.Replace(newer, `"idempotent"`, `"other"`, 1))
	old := write("old.json", string(platformtest.Plan{Number: 7, Base: 6, Service: "s"}.Encode()))

	var stored pb.StoredPlan
	var err error
	stored.Payload, _, err = plan.Encode(&pb.Plan{Number: 7, Services: []*pb.PlanService{{Name: "gone"}}})
	is.NoErr(err)
	host := func(answer *pb.QueryResponse) []string {
		return []string{(&controlHost{shared: newShared(answer)}).start(t)}
	}
	inForce := host(&pb.QueryResponse{Plan: &stored})
	for _, c := range []struct {
		statement string
		hosts     []string
		code      int
		want      string // in the output or the error
	}{
		{"check " + good, nil, ExitOK, "0 errors, 0 warnings, 0 changes"},
		{"check " + warned, nil, ExitWarnings, "warned.json:1: warning: route/read: the goal 9000ms is above the timeout 1500ms (expected: at most 1500ms)"},
		{"check " + wrong, nil, ExitInvalid, `wrong.json:1: error: route/read: kind "other" is not known`},
		{"check " + good + " against " + old, nil, ExitOK, "good.json:1: change: route/x0: is added"},
		{"check " + good + " against " + warned, inForce, ExitOK, "route/read: goal: 9000ms -> 500ms"},
		{"check " + good, inForce, ExitOK, "in force: change: service/gone: is removed"},
		{"check " + good, host(&pb.QueryResponse{Plan: &pb.StoredPlan{}}), ExitOK, "7 is not the version in force, 0; the plan is rejected with 412"},
		{"check " + good, host(&pb.QueryResponse{}), ExitFailed, "cannot report the plan in force"},
		{"check " + good, host(&pb.QueryResponse{Plan: &pb.StoredPlan{Payload: []byte{7}}}), ExitFailed, "read the plan in force"},
		{"check " + good, []string{closedPort(t)}, ExitFailed, "no control host answers"},
		{"check " + good + ".missing", nil, ExitFailed, "cannot read"},
		{"check " + good + " against " + good + ".missing", nil, ExitFailed, "cannot read"},
		{"show moves", nil, ExitInvalid, "no control host is given"},
	} {
		var out bytes.Buffer
		s := &Session{Out: &out, Now: time.Now}
		if c.hosts != nil {
			s = session(t, &out, c.hosts...)
		}
		code, err := s.Run(context.Background(), c.statement)
		if err != nil {
			out.WriteString(err.Error())
		}
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: status %d, want %d with %q, got %s", c.statement, code, c.code, c.want, out.String())
		}
	}
}

// Guards against JSON with other fields than the documented ones, and against an outdated plan in force that is taken for
// the current one.
func TestCheckPrintsJSON(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "plan.json")
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(string(platformtest.Plan{Number: 1, Service: "s"}.Encode()), `"500ms"`, `"9s"`, 1)), 0o600))
	var out bytes.Buffer
	s := &Session{Out: &out, Now: time.Now, JSON: true, MemoryMB: 128}
	code, err := s.Run(context.Background(), "check "+file)
	is.NoErr(err)
	is.Equal(code, ExitWarnings)
	var report platform.PlanReport
	d := json.NewDecoder(&out)
	d.DisallowUnknownFields()
	is.NoErr(d.Decode(&report))
	is.Equal(report, platform.PlanReport{Warnings: 1, Findings: []platform.PlanFinding{{
		Severity: "warning", File: file, Line: 1, Subject: "route/read", Message: "the goal 9000ms is above the timeout 1500ms", Expected: "at most 1500ms",
	}}})
	h := &controlHost{shared: newShared(&pb.QueryResponse{Plan: &pb.StoredPlan{}}), freshness: &pb.Freshness{Host: "c2", AgeMs: 65_000}}
	s = session(t, &out, h.start(t))
	_, err = s.Run(context.Background(), "check "+file)
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "not confirmed: c2"))
	s.MemoryMB = 2 // its account holds no body of 1 MiB
	code, err = s.Run(context.Background(), "check "+file)
	is.NoErr(err)
	is.Equal(code, ExitWarnings)
	is.True(strings.Contains(out.String(), "that the memory of the host holds"))
}
