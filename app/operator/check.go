package operator

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/query"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/platform"
)

// check checks a file with a plan. Without a second file it is compared with the plan in force, if there are control hosts.
func (s *Session) check(ctx context.Context, c *query.Check) (int, error) {
	if s.MemoryMB < 0 || s.MemoryMB > maxMemoryMB {
		return ExitInvalid, eris.Errorf("--memory-mb: want a number from 0 to %d", maxMemoryMB)
	}
	file, err := readPlanFile(c.File)
	if err != nil {
		return ExitFailed, err
	}
	var inForce *platform.PlanInForce
	var freshness *pb.Freshness
	switch {
	case c.Against != "":
		against, err := readPlanFile(c.Against)
		if err != nil {
			return ExitFailed, err
		}
		inForce = &platform.PlanInForce{File: &against}
	case s.Client != nil:
		if inForce, freshness, err = s.planInForce(ctx); err != nil {
			return ExitFailed, err
		}
	}
	report := platform.CheckPlan(file, inForce, s.largestBody())
	if err := s.printer().report(report, freshness); err != nil {
		return ExitFailed, err
	}
	switch {
	case report.Errors > 0:
		return ExitInvalid, nil
	case report.Warnings > 0:
		return ExitWarnings, nil
	}
	return ExitOK, nil
}

// readPlanFile reads a file up to one byte beyond the size that the platform accepts.
func readPlanFile(path string) (platform.PlanFile, error) {
	f, err := os.Open(path)
	if err != nil {
		return platform.PlanFile{}, eris.Wrapf(err, "cannot read %s", path)
	}
	defer func() { _ = f.Close() }()
	body, err := io.ReadAll(io.LimitReader(f, platform.MaxPlanBytes+1))
	if err != nil {
		return platform.PlanFile{}, eris.Wrapf(err, "cannot read %s", path)
	}
	return platform.PlanFile{Name: path, Body: body}, nil
}

// planInForce returns the plan of the first control host that answers.
func (s *Session) planInForce(ctx context.Context) (*platform.PlanInForce, *pb.Freshness, error) {
	response, err := s.Client.Query(ctx, &pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_PLAN}})
	if err != nil {
		return nil, nil, err
	}
	stored := response.GetPlan()
	switch {
	case stored == nil:
		return nil, nil, eris.Errorf("control host %s cannot report the plan in force", response.GetFreshness().GetHost())
	case len(stored.GetPayload()) == 0:
		return &platform.PlanInForce{}, response.GetFreshness(), nil
	}
	p, err := plan.Decode(stored.GetPayload())
	if err != nil {
		return nil, nil, eris.Wrap(err, "read the plan in force")
	}
	return &platform.PlanInForce{Plan: p}, response.GetFreshness(), nil
}

const (
	bytesPerMB  = 1_000_000 // the unit of the setting for the memory of a host
	maxMemoryMB = 1 << 20   // the largest value of that setting
)

// largestBody returns the largest body that the memory of a host holds; 0: the memory is not known.
func (s *Session) largestBody() uint64 {
	if s.MemoryMB <= 0 {
		return 0
	}
	return uint64(lifecycle.NewResources(s.MemoryMB*bytesPerMB, 0).LargestBody())
}

// report prints the findings of a check. JSON has the freshness only if the plan in force may be outdated.
func (p printer) report(r *platform.PlanReport, f *pb.Freshness) error {
	if p.json {
		fields := map[string]any{"findings": r.Findings, "errors": r.Errors, "warnings": r.Warnings, "changes": r.Changes}
		if f.GetConfirmed() {
			f = nil
		}
		return p.object(fields, f)
	}
	p.freshness(f)
	for _, finding := range r.Findings {
		if _, err := fmt.Fprintln(p.out, describeFinding(finding)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(p.out, "%s, %s, %s\n", count(r.Errors, "error"), count(r.Warnings, "warning"), count(r.Changes, "change"))
	return err
}

func describeFinding(f platform.PlanFinding) string {
	place := "in force"
	if f.File != "" {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	out := fmt.Sprintf("%s: %s: %s: %s", place, f.Severity, f.Subject, f.Message)
	if f.Expected != "" {
		out += fmt.Sprintf(" (expected: %s)", f.Expected)
	}
	return out
}
