package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File     string
	Line     int
	Path     string // for example addresses.gate
	Found    string
	Expected string
}

func (p Problem) String() string {
	where := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Line == 0 {
		where = p.File + ": "
	}
	if p.Path != "" {
		where += p.Path + ": "
	}
	return where + "found " + p.Found + ", expected " + p.Expected
}

// Report is the error of settings that are not valid; it holds every problem.
type Report struct {
	Problems []Problem
}

func (r *Report) Error() string {
	lines := make([]string, 0, len(r.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings are not valid, %d problem(s):", len(r.Problems)))
	for _, p := range r.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// err returns nil when the report is empty, else itself in the order of the files' lines.
func (r *Report) err() error {
	if len(r.Problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.Problems, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return r
}
