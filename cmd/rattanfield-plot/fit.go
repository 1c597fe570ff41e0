package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// fitted is a figure of the results that is fitted as a linear function of the number of
// nodes.
type fitted struct {
	name    string
	pattern string // glob pattern of the result files
	mode    string // mode of the rows; empty: all rows
	field   string // JSON key of the value
}

// fits lists the figures. Link bytes are those over the links between regions.
var fits = []fitted{
	{"bytes/s per node, idle", "scale-*.json", "", "idle_bytes_per_s_and_node"},
	{"bytes/s per node, target", "scale-*.json", "", "target_bytes_per_s_and_node"},
	{"% of a core per node, target", "scale-*.json", "", "target_cpu_percent_of_a_core_per_node"},
	{"CPU ms per change and node", "scale-*.json", "", "cpu_ms_per_change_and_node"},
	{"live KB per node", "scale-*.json", "", "live_kb_per_node"},
	{"bytes per change and node", "scale-*.json", "", "bytes_per_change_and_node"},
	{"link bytes per change", "scale-*.json", "", "remote_link_bytes_per_change"},
	{"link bytes/s, target", "scale-*.json", "", "target_remote_link_bytes_per_s"},
	{"link bytes per restart", "scale-*.json", "", "remote_link_bytes_per_restart"},
	{"convergence p99, ms", "convergence.json", "delta", "p99_ms"},
	{"storm, bytes per node", "storm.json", "", "bytes_per_node"},
	{"storm, recovered after ms", "storm.json", "", "recovered_ms"},
}

// writeFits fits a line through each figure by least squares and writes a table of the
// lines and their largest residuals to fits.md.
func writeFits(a arguments) error {
	var out strings.Builder
	out.WriteString("| figure | values by nodes | at 0 | per 100 nodes | largest residual | line at 980 |\n|---|---|---|---|---|---|\n")
	for _, f := range fits {
		xs, ys, err := f.values(a.Results)
		if err != nil {
			return err
		}
		base, slope := stat.LinearRegression(xs, ys, nil, false)
		residual := 0.0
		values := make([]string, len(xs))
		for i := range xs {
			residual = max(residual, math.Abs(ys[i]-base-slope*xs[i]))
			values[i] = fmt.Sprintf("%.0f: %.4g", xs[i], ys[i])
		}
		fmt.Fprintf(&out, "| %s | %s | %.4g | %.3g | %.3g | %.4g |\n",
			f.name, strings.Join(values, ", "), base, 100*slope, residual, base+980*slope)
	}
	return os.WriteFile(filepath.Join(a.Results, "fits.md"), []byte(out.String()), 0o644)
}

// values returns the numbers of nodes in ascending order and the value of each. It
// returns an error when there are fewer than minSizes.
func (f fitted) values(directory string) (xs, ys []float64, err error) {
	files, err := filepath.Glob(filepath.Join(directory, f.pattern))
	if err != nil {
		return nil, nil, err
	}
	byNodes := map[float64]float64{}
	for _, file := range files {
		var content struct {
			Rows []map[string]any `json:"rows"`
		}
		if err := readJSON(file, &content); err != nil {
			return nil, nil, err
		}
		for _, r := range content.Rows {
			nodes, okNodes := r["nodes"].(float64)
			value, okValue := r[f.field].(float64)
			if okNodes && okValue && (f.mode == "" || r["mode"] == f.mode) {
				byNodes[nodes] = value
			}
		}
	}
	if len(byNodes) < minSizes {
		return nil, nil, fmt.Errorf("%s: %d sizes in %s, at least %d are needed for a line", f.name, len(byNodes), f.pattern, minSizes)
	}
	for _, nodes := range sortedKeys(byNodes) {
		xs, ys = append(xs, nodes), append(ys, byNodes[nodes])
	}
	return xs, ys, nil
}

// minSizes is the minimum number of sizes for a fit.
const minSizes = 4
