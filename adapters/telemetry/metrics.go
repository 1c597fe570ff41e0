package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/ports"
	"github.com/rattanfield/rattanfield/ring"
)

// AddRing registers metrics for depth, capacity and drops of a ring; name is the
// value of their label ring.
func AddRing(set *metrics.Set, name string, r ring.Gauge) {
	gauge := func(metric string, read func() float64) {
		set.NewGauge(fmt.Sprintf("%s{ring=%q}", metric, name), read)
	}
	gauge("rattanfield_ring_depth", func() float64 { return float64(r.Depth()) })
	gauge("rattanfield_ring_capacity", func() float64 { return float64(r.Capacity()) })
	gauge("rattanfield_ring_dropped_total", func() float64 { return float64(r.Dropped()) })
}

// AddLinks registers metrics for the bytes that a client sends and receives, per link
// class and direction.
func AddLinks(set *metrics.Set, c *rpc.Client) {
	for l := range ports.Link(ports.LinkCount) {
		bytes := c.Bytes(l)
		set.NewGauge(fmt.Sprintf("rattanfield_link_bytes_total{link=%q,direction=%q}", l, "sent"),
			func() float64 { return float64(bytes.Sent.Load()) })
		set.NewGauge(fmt.Sprintf("rattanfield_link_bytes_total{link=%q,direction=%q}", l, "received"),
			func() float64 { return float64(bytes.Received.Load()) })
	}
}

// addBuild registers the build information metric, whose labels are program and
// version and whose value is 1.
func addBuild(set *metrics.Set, program string) {
	set.NewGauge(fmt.Sprintf("rattanfield_build_info{program=%q,version=%q}", program, Version()),
		func() float64 { return 1 })
}
