package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// width and height are the size of a plot.
const (
	width  = 6 * vg.Inch
	height = 4 * vg.Inch
)

// line is a named series of points.
type line struct {
	name   string
	points plotter.XYs
}

// draw writes a plot of lines to a file, whose extension selects the format.
func draw(file, title, x, y string, logarithmic bool, lines ...line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	if logarithmic {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	var series []any
	for _, l := range lines {
		series = append(series, l.name, l.points)
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return err
	}
	// Leave room for the legend above the lines.
	if logarithmic {
		p.Y.Max *= 20
	} else {
		p.Y.Max *= 1.3
	}
	return p.Save(width, height, file)
}

// points returns the value of each row that keep selects, by number of nodes.
func points(all []row, keep func(row) bool, value func(row) float64) plotter.XYs {
	var out plotter.XYs
	for _, r := range all {
		if keep(r) {
			out = append(out, plotter.XY{X: r.Nodes, Y: value(r)})
		}
	}
	return out
}

// mode returns a filter for the rows of one mode.
func mode(name string) func(row) bool { return func(r row) bool { return r.Mode == name } }

// allRows is a filter that selects all rows.
func allRows(row) bool { return true }

// drawConvergence draws the convergence time of deltas and of full snapshots.
func drawConvergence(a arguments) error {
	all, err := rows(a.Results, "convergence.json")
	if err != nil {
		return err
	}
	p99 := func(r row) float64 { return r.P99 }
	return draw(filepath.Join(a.Out, "convergence.png"), "Accepted to applied, p99", "nodes", "ms", false,
		line{"deltas", points(all, mode("delta"), p99)},
		line{"full snapshots (baseline)", points(all, mode("full"), p99)})
}

// drawBytes draws the bytes over the links between regions per change. The title of the plot
// calls them the region link.
func drawBytes(a arguments) error {
	all, err := rows(a.Results, "scale-*.json")
	if err != nil {
		return err
	}
	system := func(r row) float64 { return r.LinkBytes + r.LinkLogBytes }
	baseline := func(r row) float64 { return r.BaselineBytes }
	return draw(filepath.Join(a.Out, "link-bytes.png"), "Bytes over the region link per change", "nodes", "bytes", true,
		line{"deltas through relays", points(all, allRows, system)},
		line{"full snapshot per node (baseline)", points(all, allRows, baseline)})
}

// drawGoodput draws the goodput under overload, as the mean of all runs.
func drawGoodput(a arguments) error {
	files, err := filepath.Glob(filepath.Join(a.Results, "calls-*.json"))
	if err != nil {
		return err
	}
	sums, counts := map[string]map[float64]float64{}, map[string]map[float64]float64{}
	for _, f := range files {
		var r callResult
		if err := readJSON(f, &r); err != nil {
			return err
		}
		for _, o := range r.Overload {
			if sums[o.Variant] == nil {
				sums[o.Variant], counts[o.Variant] = map[float64]float64{}, map[float64]float64{}
			}
			sums[o.Variant][o.Load] += o.Goodput
			counts[o.Variant][o.Load]++
		}
	}
	mean := func(variant string) plotter.XYs {
		var out plotter.XYs
		for _, load := range []float64{0.5, 1, 2, 4} {
			if n := counts[variant][load]; n > 0 {
				out = append(out, plotter.XY{X: load, Y: sums[variant][load] / n})
			}
		}
		return out
	}
	return draw(filepath.Join(a.Out, "goodput.png"), "Goodput under overload, mean of the runs", "offered load / capacity", "goodput / capacity", false,
		line{"system", mean("system")}, line{"round robin, no limits (baseline)", mean("baseline")})
}
