package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteJSON writes the summary as indented JSON.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// WriteTable writes the summary as a text table followed by lines of counts.
func (s *Summary) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "calls\tsent\tanswered\tfailed\trejected\tunknown\tlost\tcorrupt\tp50 ms\tp99 ms\tmax ms\n")
	row := func(name string, g *Group) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n", name, g.Sent, g.Answered, g.Failed,
			g.Rejected, g.Unknown, g.Lost, g.Corrupt, g.Latency.P50, g.Latency.P99, g.Latency.Max)
	}
	row("all", s.All)
	for _, name := range slices.Sorted(maps.Keys(s.Tenants)) {
		row("tenant "+name, s.Tenants[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		row("route "+name, s.Routes[name])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "%.1f s at %.0f calls/s, %d skipped, %d resends, %d failovers, %d unmarked\n",
		s.Seconds, s.Rate, s.Skipped, s.Resends, s.Failovers, s.Unmarked)
	if s.Added.SampledPairs > 0 {
		fmt.Fprintf(w, "added latency over %d pairs: p50 %.2f ms, p99 %.2f ms (difference of the p99s: %.2f ms)\n",
			s.Added.SampledPairs, s.Added.P50, s.Added.P99, s.Added.QuantileP99)
	}
	s.writeCounts(w, "version", s.Versions)
	s.writeCounts(w, "not answered", s.Reasons)
	for _, o := range slices.Sorted(maps.Keys(s.KeyResends)) {
		fmt.Fprintf(w, "resent with the same key: %s %d\n", o, s.KeyResends[o])
	}
	return nil
}

func (s *Summary) writeCounts(w io.Writer, title string, counts map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %s %d\n", title, name, counts[name])
	}
}
