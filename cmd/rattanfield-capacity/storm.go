package main

import (
	"time"

	"github.com/rattanfield/rattanfield/app/fleet"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// stormRow holds the results for one number of nodes.
type stormRow struct {
	Nodes         int     `json:"nodes"`
	BytesPerNode  float64 `json:"bytes_per_node"`
	SnapshotBytes int     `json:"full_snapshot_bytes"`       // whole configuration, uncompressed
	Compressed    int     `json:"projection_snapshot_bytes"` // what a node of one service gets, compressed
	Ratio         float64 `json:"ratio_to_full_snapshot"`    // BytesPerNode / SnapshotBytes
	RecoveredMs   float64 `json:"recovered_ms"`              // until a change that is accepted during the storm is applied on all nodes
	Relays        []int   `json:"nodes_per_remaining_relay"`
}

// storm measures the loss of the relay that all nodes poll: all of them
// reconnect to the remaining relays at once.
func storm() (any, error) {
	var rows []stormRow
	for _, n := range []int{50, 100, 200, 400} {
		row, err := stormAt(n)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// stormAt measures a storm of n nodes.
func stormAt(n int) (stormRow, error) {
	row := stormRow{Nodes: n}
	o := fleet.Options{Domains: fourDomains, InterRegionDelay: interRegionDelay, Configuration: configuration()}
	reduceProbes(&o)
	f, err := fleet.New(o)
	if err != nil {
		return row, err
	}
	defer f.Close()
	if err := startNodes(f, fourDomains[:1], n); err != nil { // all in one failure domain
		return row, err
	}
	time.Sleep(time.Second)
	all := func() (sum uint64) {
		for l := range linkCount {
			sum += socketBytes(f, l)
		}
		return sum
	}
	before, start := all(), time.Now()
	f.Relays()[0].Stop()
	f.Source().Accept(change(1))
	if err := await("change after the storm", func() bool { return allApplied(f, 2) }); err != nil {
		return row, err
	}
	row.RecoveredMs = float64(time.Since(start).Microseconds()) / 1000
	time.Sleep(settleWait)
	row.BytesPerNode = float64(all()-before) / float64(n)
	c := f.Source().Configuration()
	full, _, err := config.Encode(c, false)
	if err != nil {
		return row, err
	}
	projection, _, err := config.Encode(config.Project(c, &pb.Interests{Services: []string{serviceName(0)}}), true)
	if err != nil {
		return row, err
	}
	row.SnapshotBytes, row.Compressed = len(full), len(projection)
	row.Ratio = row.BytesPerNode / float64(len(full))
	counts := make(map[string]int)
	for _, node := range f.Nodes() {
		counts[node.Follower.Relay()]++
	}
	for _, r := range f.Relays()[1:] {
		row.Relays = append(row.Relays, counts[r.ID])
	}
	return row, nil
}
