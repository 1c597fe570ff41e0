// Package quota divides the quotas of organisations among the nodes. A quota allows rate x window + burst requests in any
// window. Each node holds a capacity, a part of that number, and keeps its own count in the window within it. It reports the
// demand it sees and the capacity it holds. Control hosts return the sums over the other nodes, and the node moves its capacity
// towards its share of the demand: it gives up at once, and takes only from what no node holds.
// See docs/design/quotas.md.
//
// The package does no I/O, starts no goroutine and reads no clock. Times are durations since any fixed moment.
package quota

import (
	"hash/fnv"
	"time"
)

// ID identifies an organisation in messages.
type ID uint64

// IDOf returns the ID of the organisation with this name.
func IDOf(name string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return ID(h.Sum64())
}

// Settings are the bounds that all nodes together must keep.
type Settings struct {
	Window        time.Duration
	Excess, Slack float64 // in a window, a quota may be exceeded by Excess of it and Slack requests
}

// DefaultSettings apply where a deployment states none.
var DefaultSettings = Settings{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// Limit is the quota of an organisation over all nodes.
type Limit struct{ Rate, Burst float64 }

// Demand is what one node, or all nodes of one control host, report of an organisation.
type Demand struct {
	Rate     float64 // requests per second that callers sent, rejected ones included
	Capacity float64 // requests that may run in a window
	Used     float64 // requests that have run within the last window
	// Allowance is what all capacities together may reach. Control hosts, which do not read the plan, tell from it that a limit is near.
	Allowance float64
	Nodes     int
	Urgent    bool // the capacity is nearly used up
	Limited   bool // requests were rejected within the last window, or the limit is near
}

// plus returns the sum of two demands.
func (d Demand) plus(o Demand) Demand {
	return Demand{
		Rate: d.Rate + o.Rate, Capacity: d.Capacity + o.Capacity, Used: d.Used + o.Used, Allowance: max(d.Allowance, o.Allowance), Nodes: d.Nodes + o.Nodes,
		Urgent: d.Urgent || o.Urgent, Limited: d.Limited || o.Limited,
	}
}

// nearLimit returns the demand, marked as limited if the limit is near.
func (d Demand) nearLimit() Demand {
	d.Limited = d.Limited || (d.Allowance > 0 && d.Used > calmShare*d.Allowance)
	return d
}

// Report is the demand of an organisation.
type Report struct {
	ID ID
	Demand
}
