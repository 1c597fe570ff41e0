package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// row is one measurement of rattanfield-capacity; the JSON keys are those of its results
// files.
type row struct {
	Nodes           float64 `json:"nodes"`
	Mode            string  `json:"mode"`
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	LinkBytes       float64 `json:"remote_link_bytes_per_change"`          // between regions, of relays and nodes, without the replicated log
	LinkLogBytes    float64 `json:"remote_link_log_bytes_per_change"`      // between regions, of the replicated log; computed, not measured
	BaselineBytes   float64 `json:"baseline_remote_link_bytes_per_change"` // between regions, with a full snapshot for each node
	TargetNodeBytes float64 `json:"target_bytes_per_s_and_node"`
}

// rows returns the rows of all files that match a pattern, ordered by the number of nodes.
// It returns an error when there are none.
func rows(directory, pattern string) ([]row, error) {
	files, err := filepath.Glob(filepath.Join(directory, pattern))
	if err != nil {
		return nil, err
	}
	var all []row
	for _, f := range files {
		var content struct {
			Rows []row `json:"rows"`
		}
		if err := readJSON(f, &content); err != nil {
			return nil, err
		}
		all = append(all, content.Rows...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("no results in %s", filepath.Join(directory, pattern))
	}
	slices.SortStableFunc(all, func(a, b row) int { return cmp.Compare(a.Nodes, b.Nodes) })
	return all, nil
}

// callResult is the results file of a run of rattanfield-callbench.
type callResult struct {
	Overload []struct {
		Variant string  `json:"variant"`
		Load    float64 `json:"load"`
		Goodput float64 `json:"goodput_of_capacity"`
	} `json:"overload"`
}

// readJSON decodes a file into the value that into points to.
func readJSON(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

func sortedKeys(m map[float64]float64) []float64 { return slices.Sorted(maps.Keys(m)) }
