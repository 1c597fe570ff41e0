package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// check is the result of one expectation.
type check struct {
	Name   string `json:"name"`
	Passed bool   `json:"passed"`
	Detail string `json:"detail"`
}

// Report holds the measured values and the checks of a run.
type Report struct {
	Rows   [][2]string `json:"rows"`
	Checks []check     `json:"checks"`
}

func (r *Report) row(name, format string, args ...any) {
	r.Rows = append(r.Rows, [2]string{name, fmt.Sprintf(format, args...)})
}

func (r *Report) check(name string, passed bool, format string, args ...any) {
	r.Checks = append(r.Checks, check{name, passed, fmt.Sprintf(format, args...)})
}

// Passed reports whether every check passed; a run without checks has not passed.
func (r *Report) Passed() bool {
	for _, c := range r.Checks {
		if !c.Passed {
			return false
		}
	}
	return len(r.Checks) > 0
}

// Write prints the measured values and the checks as tables.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\n", row[0], row[1])
	}
	fmt.Fprintln(t)
	for _, c := range r.Checks {
		mark := "ok"
		if !c.Passed {
			mark = "FAILED"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", mark, c.Name, c.Detail)
	}
	return t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond)) }
