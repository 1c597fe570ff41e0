package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one invalid or missing value of a settings file.
type Problem struct {
	File     string
	Line     int    // from 1; 0 when the file could not be read
	Path     string // for example addresses.gate
	Found    string
	Expected string
}

// String returns the problem on one line, with file, line and path.
func (p Problem) String() string {
	location := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Line == 0 {
		location = p.File + ": "
	}
	if p.Path != "" {
		location += p.Path + ": "
	}
	return location + "found " + p.Found + ", expected " + p.Expected
}

// Report is the error for settings that are not valid. It lists every problem.
type Report struct {
	Problems []Problem
}

// Error returns one line per problem after a summary line.
func (r *Report) Error() string {
	lines := make([]string, 0, len(r.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings are not valid, %d problem(s):", len(r.Problems)))
	for _, p := range r.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// err sorts the problems by file and line and returns r, or returns nil when there
// are none.
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
